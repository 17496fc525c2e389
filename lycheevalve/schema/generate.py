"""
Generate the attrs classes of the Thrift schema.

Run by developers and by CI (`--check`); daemons need only the generated modules.
"""

import sys
from pathlib import Path

import thriftpy2
from thriftpy2.thrift import TType

SCHEMA = Path(__file__).parent
TARGET = SCHEMA / "generated"
FILES = ("settings", "messages")

SCALARS = {
    TType.BOOL: ("bool", "False", "None"),
    TType.I16: ("int", "0", "None"),
    TType.I32: ("int", "0", "None"),
    TType.I64: ("int", "0", "None"),
    TType.DOUBLE: ("float", "0.0", "None"),
    TType.STRING: ("str", '""', '"UTF8"'),
    TType.BINARY: ("bytes", 'b""', '"BINARY"'),
}
# Apache Thrift encodes strings and bytes with the same wire type.
WIRE_TYPES = {TType.BINARY: TType.STRING}


def describe_type(ttype, detail):
    """Return the source of (annotation, default, type arguments) of a schema type."""
    if ttype == TType.LIST:
        inner_type, inner_detail = detail if isinstance(detail, tuple) else (detail, None)
        annotation, _, arguments = describe_type(inner_type, inner_detail)
        wire = WIRE_TYPES.get(inner_type, inner_type)
        return f"list[{annotation}]", "list", f"({wire}, {arguments}, False)"
    if ttype == TType.STRUCT:
        name = detail.__name__
        return f"{name} | None", "None", f"[{name}, {name}.thrift_spec]"
    return SCALARS[ttype]


def build_field(number, spec, default):
    """Return the source lines of a field's attribute and of its specification."""
    ttype, name = spec[0], spec[1]
    detail = spec[2] if len(spec) > 3 else None
    annotation, zero, arguments = describe_type(ttype, detail)
    if ttype == TType.LIST:
        value = "attrs.field(factory=list)"
    else:
        value = repr(default) if default is not None else zero
    wire = WIRE_TYPES.get(ttype, ttype)
    attribute = f"    {name}: {annotation} = {value}"
    specification = f'    ({number}, {wire}, "{name}", {arguments}, None),'
    return attribute, specification


def build_struct(struct):
    """Return the source of one attrs class with its `thrift_spec`."""
    defaults = dict(struct.default_spec)
    fields = [
        build_field(number, spec, defaults.get(spec[1]))
        for number, spec in sorted(struct.thrift_spec.items())
    ]
    name = struct.__name__
    lines = ["@attrs.define(eq=False, repr=False)", f"class {name}(Struct):"]
    lines.append(f'    """The struct {name} of the schema."""\n')
    lines.append("    thrift_spec: ClassVar[tuple]\n")
    lines += [attribute for attribute, _ in fields]
    lines += ["", "", f"{name}.thrift_spec = (", "    None,"]
    lines += [specification for _, specification in fields]
    lines += [")"]
    return "\n".join(lines)


def order_structs(module):
    """Return the structs of `module`, each after the structs that it uses."""
    ordered = []

    def visit(struct):
        if struct in ordered:
            return
        for spec in struct.thrift_spec.values():
            for part in spec[2:3]:
                inner = part[1] if isinstance(part, tuple) else part
                if isinstance(inner, type):
                    visit(inner)
        ordered.append(struct)

    for struct in module.__thrift_meta__["structs"]:
        visit(struct)
    return ordered


def build_kinds(module):
    """Return the source of the enum of message kinds and their classes."""
    kinds = module.Kind._VALUES_TO_NAMES
    lines = ["class Kind(enum.IntEnum):", '    """The kind of a frame."""\n']
    lines += [f"    {name} = {value}" for value, name in sorted(kinds.items())]
    lines += ["", "", "CLASSES = {"]
    for value, name in sorted(kinds.items()):
        lines.append(f"    {value}: {name.title().replace('_', '')},")
    lines += ["}", "KINDS = {cls: kind for kind, cls in CLASSES.items()}"]
    return "\n".join(lines)


def build_module(name):
    """Return the generated source of the schema file `name`."""
    module = thriftpy2.load(str(SCHEMA / f"{name}.thrift"), module_name=f"{name}_thrift")
    structs = order_structs(module)
    own = [s for s in structs if s.__module__ == module.__name__]
    imported = sorted(s.__name__ for s in structs if s not in own)
    header = f'"""Generated from {name}.thrift by schema/generate.py; do not edit."""\n'
    imports = ["import enum"] if hasattr(module, "Kind") else []
    imports += ["from typing import ClassVar", "", "import attrs", ""]
    imports += ["from lycheevalve.schema.structs import Struct"]
    if imported:
        names = ", ".join(imported)
        imports[-1:-1] = [f"from lycheevalve.schema.generated.settings import {names}"]
    parts = [header + "\n" + "\n".join(imports)]
    parts += [build_struct(struct) for struct in own]
    if hasattr(module, "Kind"):
        parts.append(build_kinds(module))
    return "\n\n\n".join(parts) + "\n"


def main(arguments):
    """Write the generated modules, or with `--check` compare them; return the exit code."""
    stale = []
    for name in FILES:
        path = TARGET / f"{name}.py"
        source = build_module(name)
        if "--check" in arguments:
            if not path.exists() or path.read_text() != source:
                stale.append(path.name)
        else:
            path.write_text(source)
    if stale:
        print(f"generated code is out of date: {', '.join(stale)}", file=sys.stderr)
        print("run: python -m lycheevalve.schema.generate", file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
