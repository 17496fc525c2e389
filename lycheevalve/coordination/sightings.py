"""
Sightings: the upstreams that a control replica knew, on its disk.

After a loss of power everywhere nobody knows an upstream until its next
announcement. What was known before fills the gap for a moment: it is evidence
with an age, a short lease that the first real announcement replaces.
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

FILE_NAME = "upstreams"
# Upstreams announce themselves about once a second; this bears one lost announcement.
LEASE_MS = 2000
# Changes of the table are written together, at most this often.
WRITE_SECONDS = 0.5


def write_sightings(folder, registrations):
    """Store the upstreams of the table; raise StorageError."""
    body = encode_struct(Registrations(registrations))
    try:
        replace_file(folder / FILE_NAME, encode_record(RecordKind.UPSTREAMS, body))
    except OSError as error:
        raise StorageError(str(error), "write sightings", str(folder)) from error


def read_sightings(folder):
    """Return the stored upstreams with short leases; raise StorageError."""
    path = folder / FILE_NAME
    try:
        data = path.read_bytes() if path.exists() else b""
        records, _ = read_records(data, FILE_NAME)
        found = [decode_struct(Registrations, body) for _, body in records]
    except (OSError, FrameError) as error:
        raise StorageError(str(error), "read sightings", str(folder)) from error
    return [
        attrs.evolve(registration, lifetime_ms=LEASE_MS)
        for registrations in found
        for registration in registrations.registrations
        if not registration.leaving
    ]
