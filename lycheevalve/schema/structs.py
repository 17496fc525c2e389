"""What all generated classes have in common."""

import attrs


class Struct:
    """
    Comparison and text of a generated class, by its fields.

    They stand here once: methods that attrs makes for each class cost a third of
    the start of a process.
    """

    __slots__ = ()
    __hash__ = None

    def __eq__(self, other):
        if type(other) is not type(self):
            return NotImplemented
        names = [field.name for field in attrs.fields(type(self))]
        return all(getattr(self, name) == getattr(other, name) for name in names)

    def __repr__(self):
        names = [field.name for field in attrs.fields(type(self))]
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{type(self).__name__}({values})"
