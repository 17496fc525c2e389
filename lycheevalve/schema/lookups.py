"""
Lookups: datagrams with which an instance that has just started asks a control replica
where to forward the packets that it holds.

The format is not Thrift: importing Thrift takes longer than such an instance needs for
its first packets. It uses modules written in C only. All integers are big-endian.

A lookup is the prefix, the nonce (8 bytes), the number of cookies, that of front doors and
the length of the sender's data centre (1 byte each), the data centre, the cookies (4 bytes
each) and the front doors (ip and port, 6 bytes each).

An answer is the prefix, the nonce of the lookup, the revision of the configuration (8
bytes), the number of targets and that of front doors (1 byte each), the targets of the
known cookies, and for each front door its 6 bytes, the number of its targets (1 byte) and
the targets. A target is its cookie, ip and port, its slots, 1 if it is in the sender's data
centre, the length of its name (1 byte each) and the name.

A check asks a replica to check the upstream of a cookie: the prefix and the cookie. It has
no answer.

A table has all targets that a replica knows, and is stored on its disk: the prefix and the
targets.

Each ends with a keyed BLAKE2 hash, which both sides verify.
"""

import struct
from _blake2 import blake2s

PREFIX = struct.Struct(">BBBB")
MAGIC = 0x4C
VERSION = 1
LOOKUP, ANSWER, TABLE, CHECK = 1, 2, 3, 4
NONCE = struct.Struct(">Q")
COUNTS = struct.Struct(">BBB")
COOKIE = struct.Struct(">I")
FRONT_DOOR = struct.Struct(">4sH")
ANSWER_HEAD = struct.Struct(">QBB")
TARGET = struct.Struct(">I4sHBBB")
COUNT = struct.Struct(">B")
SIGNATURE_BYTES = 16
# What one lookup asks for: the answer fits in a packet of the network.
MAX_COOKIES = 24
MAX_FRONT_DOORS = 2
MAX_TARGETS = 8
MAX_BYTE = 255
# The name of the stored table in a replica's data folder.
TABLE_FILE_NAME = "lookups"
# Upstreams announce themselves about once a second; this tolerates one lost announcement.
RESTORED_LEASE_SECONDS = 2.0


class Target:
    """An upstream that may get packets; `address` is (packed ip, port)."""

    __slots__ = ("address", "cookie", "is_local", "name", "slots")

    def __init__(self, cookie, address, slots, is_local, name):
        self.cookie = cookie
        self.address = address
        self.slots = slots
        self.is_local = is_local
        self.name = name


class Lookup:
    """A request of an instance; `front_doors` are (packed ip, port)."""

    __slots__ = ("cookies", "data_centre", "front_doors", "nonce")

    def __init__(self, nonce, data_centre, cookies=(), front_doors=()):
        self.nonce = nonce
        self.data_centre = data_centre
        self.cookies = cookies
        self.front_doors = front_doors


class Answer:
    """
    What a control replica vouches for.

    `targets` has the upstreams of the cookies that it knows; `candidates` has, by front
    door, those that may get new flows, under the configuration `revision`.
    """

    __slots__ = ("candidates", "nonce", "revision", "targets")

    def __init__(self, nonce, revision, targets=(), candidates=None):
        self.nonce = nonce
        self.revision = revision
        self.targets = targets
        self.candidates = candidates or {}


def derive_key(key):
    """Return the key of the hashes from the key of the site's links, as bytes."""
    return blake2s(key).digest()


def sign(key, data):
    """Return data with its keyed hash."""
    return data + blake2s(data, key=key, digest_size=SIGNATURE_BYTES).digest()


def verify(key, datagram, kind):
    """Return the body of a signed datagram; raise ValueError for any other."""
    data, signature = datagram[:-SIGNATURE_BYTES], datagram[-SIGNATURE_BYTES:]
    if len(data) < PREFIX.size:
        raise ValueError(f"a datagram of {len(datagram)} bytes is too short for a lookup")
    if PREFIX.unpack_from(data) != (MAGIC, VERSION, kind, 0):
        raise ValueError("unknown magic, version or kind of a lookup")
    # Timing reveals nothing useful: a sender has one attempt for each datagram.
    if blake2s(data, key=key, digest_size=SIGNATURE_BYTES).digest() != signature:
        raise ValueError("wrong signature of a lookup")
    return data[PREFIX.size :]


def encode_lookup(key, lookup):
    """Return a Lookup as a signed datagram."""
    data_centre = lookup.data_centre.encode()[:MAX_BYTE]
    counts = len(lookup.cookies), len(lookup.front_doors), len(data_centre)
    parts = [PREFIX.pack(MAGIC, VERSION, LOOKUP, 0), NONCE.pack(lookup.nonce)]
    parts += [COUNTS.pack(*counts), data_centre]
    parts += [COOKIE.pack(cookie) for cookie in lookup.cookies]
    parts += [FRONT_DOOR.pack(*front_door) for front_door in lookup.front_doors]
    return sign(key, b"".join(parts))


def decode_lookup(key, datagram):
    """Return the Lookup in a datagram; raise ValueError if it is not a valid one."""
    body = verify(key, datagram, LOOKUP)
    try:
        (nonce,) = NONCE.unpack_from(body)
        cookies, front_doors, length = COUNTS.unpack_from(body, NONCE.size)
        start = NONCE.size + COUNTS.size
        data_centre = body[start : start + length].decode()
        start += length
        end = start + cookies * COOKIE.size
        found = [cookie for (cookie,) in COOKIE.iter_unpack(body[start:end])]
        doors = list(FRONT_DOOR.iter_unpack(body[end:]))
    except struct.error as error:
        raise ValueError(f"truncated lookup: {error}") from error
    if len(found) != cookies or len(doors) != front_doors:
        raise ValueError("the counts of a lookup do not match its length")
    return Lookup(nonce, data_centre, found, doors)


def encode_answer(key, answer):
    """Return an Answer as a signed datagram."""
    parts = [PREFIX.pack(MAGIC, VERSION, ANSWER, 0), NONCE.pack(answer.nonce)]
    counts = len(answer.targets), len(answer.candidates)
    parts.append(ANSWER_HEAD.pack(answer.revision, *counts))
    parts += map(encode_target, answer.targets)
    for front_door, targets in answer.candidates.items():
        parts += [FRONT_DOOR.pack(*front_door), COUNT.pack(len(targets))]
        parts += map(encode_target, targets)
    return sign(key, b"".join(parts))


def encode_target(target):
    """Return a Target as bytes."""
    name = target.name.encode()[:MAX_BYTE]
    slots, local = min(target.slots, MAX_BYTE), int(target.is_local)
    return TARGET.pack(target.cookie, *target.address, slots, local, len(name)) + name


def decode_answer(key, datagram):
    """Return the Answer in a datagram; raise ValueError if it is not a valid one."""
    body = verify(key, datagram, ANSWER)
    try:
        (nonce,) = NONCE.unpack_from(body)
        revision, known, front_doors = ANSWER_HEAD.unpack_from(body, NONCE.size)
        targets, start = decode_targets(body, NONCE.size + ANSWER_HEAD.size, known)
        candidates = {}
        for _ in range(front_doors):
            front_door = FRONT_DOOR.unpack_from(body, start)
            (count,) = COUNT.unpack_from(body, start + FRONT_DOOR.size)
            start += FRONT_DOOR.size + COUNT.size
            candidates[front_door], start = decode_targets(body, start, count)
    except struct.error as error:
        raise ValueError(f"truncated answer to a lookup: {error}") from error
    return Answer(nonce, revision, targets, candidates)


def encode_check(key, cookie):
    """Return the signed datagram that asks for a check of an upstream."""
    return sign(key, PREFIX.pack(MAGIC, VERSION, CHECK, 0) + COOKIE.pack(cookie))


def is_check(datagram):
    """Return whether a datagram claims to be a check."""
    return datagram[: PREFIX.size] == PREFIX.pack(MAGIC, VERSION, CHECK, 0)


def decode_check(key, datagram):
    """Return the cookie in a check; raise ValueError if it is not a valid one."""
    body = verify(key, datagram, CHECK)
    if len(body) != COOKIE.size:
        raise ValueError(f"a check of {len(body)} bytes instead of {COOKIE.size}")
    return COOKIE.unpack(body)[0]


def encode_table(key, targets):
    """Return Targets as a signed table."""
    prefix = PREFIX.pack(MAGIC, VERSION, TABLE, 0)
    return sign(key, prefix + b"".join(map(encode_target, targets)))


def decode_table(key, data):
    """Return the Targets of a table; raise ValueError if it is damaged."""
    body, targets, start = verify(key, data, TABLE), [], 0
    try:
        while start < len(body):
            found, start = decode_targets(body, start, 1)
            targets += found
    except struct.error as error:
        raise ValueError(f"truncated table: {error}") from error
    return targets


def decode_targets(body, start, count):
    """Return (list of `count` Targets, their end)."""
    targets = []
    for _ in range(count):
        cookie, ip, port, slots, local, length = TARGET.unpack_from(body, start)
        start += TARGET.size
        name = body[start : start + length]
        if len(name) < length:
            raise ValueError("truncated name in the answer to a lookup")
        targets.append(Target(cookie, (ip, port), slots, bool(local), name.decode()))
        start += length
    return targets, start
