"""
Samples of what processes write to disks and send each other, and reading them.

It runs with the package of any version, which is why it imports only what all versions
have: the samples of one version are read by another.

    python bench/formats.py write FOLDER     writes the samples of the package that is imported
    python bench/formats.py read FOLDER      reads samples; prints what was read as JSON
"""

import json
import sys
import tempfile
from pathlib import Path

import attrs

from lycheevalve.coordination.replica import Effects
from lycheevalve.coordination.storage import Storage
from lycheevalve.coordination.upstream_cache import (
    read_upstream_cache,
    write_lookup_table,
    write_upstream_cache,
)
from lycheevalve.exceptions import LycheevalveError
from lycheevalve.flows.cookies import build_cookie
from lycheevalve.schema import lookups
from lycheevalve.schema.frames import decode_struct, encode_struct
from lycheevalve.schema.generated import messages

KEY = lookups.derive_key(b"key of the samples")
# Types of Thrift on the wire.
STRING, STRUCT, LIST, BOOLEAN = 11, 12, 15, 2
MESSAGES = "messages.json"
LOOKUPS = "lookups.json"
COOKIES = "cookies.json"
DISK_FILES = ("log", "snapshot", "upstreams", "lookups")
TARGET = lookups.Target(7, (bytes((10, 0, 0, 9)), 8080), 2, True, "i-7f3a91c2")


def build_value(wire_type, detail, number):
    """Return a value of a Thrift type, different for each number."""
    if wire_type == STRUCT:
        return build_struct(detail[0])
    if wire_type == LIST:
        return [build_value(detail[0], detail[1], number)]
    if wire_type == STRING:
        text = f"10.0.0.{number}:70"
        return text.encode() if detail == "BINARY" else text
    return True if wire_type == BOOLEAN else number


def build_struct(cls):
    """Return an instance of a generated class with a value in each field."""
    values = {
        name: build_value(wire_type, detail, number)
        for number, wire_type, name, detail, _ in filter(None, cls.thrift_spec)
    }
    return cls(**values)


def list_messages():
    """Return the classes of all messages by their names."""
    return {cls.__name__: cls for cls in messages.CLASSES.values()}


def build_registration(number):
    """Return the registration of an upstream."""
    return messages.Registration(
        service_name="nightsync",
        address=f"10.0.0.{number}:8080",
        data_centre="dc1",
        incarnation=1000 + number,
        sequence=3,
        lifetime_ms=4000,
        slots=2,
        name=f"i-{number:08x}",
    )


def build_entry(index):
    """Return an entry of the log with a whole configuration."""
    change = messages.Change(f"d{index}", target_revision=index, document=b'{"version": 1}')
    return messages.Entry(index=index, term=2, kind=1, change=change)


def write(folder):
    """Write the samples into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    encoded = {
        name: encode_struct(build_struct(cls)).hex() for name, cls in list_messages().items()
    }
    (folder / MESSAGES).write_text(json.dumps(encoded, indent=1) + "\n")
    registrations = [build_registration(1), build_registration(2)]
    write_upstream_cache(folder, registrations)
    write_lookup_table(folder, [TARGET], KEY)
    storage = Storage(folder)
    storage.load()
    hard_state = messages.HardState()
    hard_state.term = 2
    entries = [build_entry(1), build_entry(2)]
    storage.write(Effects(entries=entries, hard_state=hard_state))
    configuration = messages.Configuration(1, document=b'{"version": 1}')
    snapshot = messages.Snapshot(index=1, term=2, configuration=configuration)
    storage.write(Effects(snapshot=snapshot))
    storage.close()
    cookies = {
        registration.address: build_cookie(registration) for registration in registrations
    }
    (folder / COOKIES).write_text(json.dumps(cookies) + "\n")
    lookup = lookups.Lookup(5, "dc1", [7], [(bytes((198, 18, 0, 1)), 443)])
    answer = lookups.Answer(5, 9, [TARGET], {(bytes((198, 18, 0, 1)), 443): [TARGET]})
    datagrams = {
        "lookup": lookups.encode_lookup(KEY, lookup).hex(),
        "answer": lookups.encode_answer(KEY, answer).hex(),
        "probe": lookups.encode_lookup(KEY, lookups.Lookup(6, "dc1")).hex(),
    }
    (folder / LOOKUPS).write_text(json.dumps(datagrams) + "\n")


def describe(value):
    """Return a value of a message as JSON can hold it, without the fields that are unset."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, list):
        return [describe(item) for item in value]
    if attrs.has(type(value)):
        fields = {f.name: getattr(value, f.name) for f in attrs.fields(type(value))}
        return {name: describe(item) for name, item in fields.items() if item not in (None, [])}
    return value


def describe_target(target):
    """Return a Target of a lookup as JSON can hold it."""
    ip, port = target.address
    return [target.cookie, ip.hex(), port, target.slots, target.is_local, target.name]


def read_messages(folder):
    """Return the messages that this version knows as text, by name."""
    known = list_messages()
    return {
        name: describe(decode_struct(known[name], bytes.fromhex(text)))
        for name, text in json.loads((folder / MESSAGES).read_text()).items()
        if name in known
    }


def read_disk(folder):
    """Return what a replica restores from its disk; the samples stay as they are."""
    with tempfile.TemporaryDirectory() as copy:
        for name in DISK_FILES:
            (Path(copy) / name).write_bytes((folder / name).read_bytes())
        storage = Storage(Path(copy))
        stored = storage.load()
        storage.close()
        cached = read_upstream_cache(Path(copy))
    targets = lookups.decode_table(KEY, (folder / "lookups").read_bytes())
    return {
        "damage": stored.damage,
        "hard_state": describe(stored.hard_state),
        "snapshot": describe(stored.snapshot),
        "entries": describe(stored.entries),
        "upstreams": describe(cached),
        "targets": [describe_target(target) for target in targets],
    }


def read_datagrams(folder):
    """Return what the datagrams of lookups hold."""
    datagrams = json.loads((folder / LOOKUPS).read_text())
    datagrams = {name: bytes.fromhex(text) for name, text in datagrams.items()}
    lookup = lookups.decode_lookup(KEY, datagrams["lookup"])
    probe = lookups.decode_lookup(KEY, datagrams["probe"])
    answer = lookups.decode_answer(KEY, datagrams["answer"])
    return {
        "lookup": [lookup.nonce, lookup.data_centre, lookup.cookies, len(lookup.front_doors)],
        "probe": [probe.nonce, probe.data_centre, probe.cookies, probe.front_doors],
        "answer": [answer.nonce, answer.revision, [describe_target(t) for t in answer.targets]],
    }


def read(folder):
    """Return all that the samples in a folder hold, as this version reads it."""
    cookies = {
        registration.address: build_cookie(registration)
        for registration in (build_registration(1), build_registration(2))
    }
    return {
        "messages": read_messages(folder),
        "disk": read_disk(folder),
        "datagrams": read_datagrams(folder),
        "cookies": cookies == json.loads((folder / COOKIES).read_text()),
    }


def main(arguments):
    """Run a command; return the exit code."""
    command, folder = arguments[0], Path(arguments[1])
    try:
        if command == "write":
            write(folder)
        else:
            print(json.dumps(read(folder)))
    except (OSError, ValueError, LycheevalveError) as error:
        print(f"{folder}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
