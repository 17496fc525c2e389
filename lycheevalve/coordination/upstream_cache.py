"""
A cache of registered upstreams on the disk of a control replica.

After a power loss of the whole site no control replica has a registration until
the upstreams' next announcements. The cached registrations bridge that gap: they
are restored with a short lease, which the next announcement replaces.
"""

import attrs

from lycheevalve.coordination.storage import (
    RecordKind,
    encode_record,
    read_records,
    replace_file,
)
from lycheevalve.exceptions import FrameError, StorageError
from lycheevalve.schema.frames import decode_struct, encode_struct
from lycheevalve.schema.generated.messages import Registrations
from lycheevalve.schema.lookups import RESTORED_LEASE_SECONDS, TABLE_FILE_NAME, encode_table

FILE_NAME = "upstreams"
RESTORED_LEASE_MS = round(1000 * RESTORED_LEASE_SECONDS)
# Changes of the table are written in batches, at most this often.
WRITE_INTERVAL_SECONDS = 0.5


def write_upstream_cache(folder, registrations):
    """Write the registrations of the table; raise StorageError on failure."""
    body = encode_struct(Registrations(registrations))
    try:
        replace_file(folder / FILE_NAME, encode_record(RecordKind.UPSTREAMS, body))
    except OSError as error:
        raise StorageError(str(error), "write upstream cache", str(folder)) from error


def write_lookup_table(folder, targets, key):
    """Write the Targets of lookups; raise StorageError on failure."""
    try:
        replace_file(folder / TABLE_FILE_NAME, encode_table(key, targets))
    except OSError as error:
        raise StorageError(str(error), "write lookup table", str(folder)) from error


def read_upstream_cache(folder):
    """Return the cached registrations with short leases; raise StorageError on failure."""
    path = folder / FILE_NAME
    try:
        data = path.read_bytes() if path.exists() else b""
        records, _ = read_records(data, FILE_NAME)
        found = [decode_struct(Registrations, body) for _, body in records]
    except (OSError, FrameError) as error:
        raise StorageError(str(error), "read upstream cache", str(folder)) from error
    return [
        attrs.evolve(registration, lifetime_ms=RESTORED_LEASE_MS)
        for registrations in found
        for registration in registrations.registrations
        if not registration.leaving
    ]
