"""The wire formats of the platform's callers, upstreams and operators."""

import json
import re
import socket

import attrs

from lycheevalve.platform.headers import ACK, FIN, HEADER, RST, SYN, TARGET, ZERO_PADDING

__all__ = ["ACK", "FIN", "RST", "SYN"]
READY_PATH = "/ready"
READ_PATH = "/Config.Read"
REPLACE_PATH = "/Config.Replace"
HEARTBEAT_PATH = "/Instances.Heartbeat/"
DEREGISTER_PATH = "/Instances.Deregister/"
EVACUATE_PATH = "/Evacuations.Start/"
RESTORE_PATH = "/Evacuations.Stop/"
REQUEST_ID = re.compile(rb"X-Lycheevalve-Request-Id: (\S+)")

# The body of a sound heartbeat.
HEARTBEAT = {
    "service": "nightsync",
    "address": "127.0.0.9:9000",
    "zone": "dc1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}


@attrs.frozen
class Segment:
    """One packet of a flow; `sender` and `receiver` are (ip, port)."""

    sender: tuple
    receiver: tuple
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    cookie: int = 0
    data: bytes = b""

    def encode(self):
        """Return the segment as bytes; the checksum stays 0, as the fakes do not check it."""
        head = HEADER.pack(
            self.cookie,
            self.sequence,
            self.acknowledged,
            0,
            self.flags,
            ZERO_PADDING,
            socket.inet_aton(self.sender[0]),
            self.receiver[1],
            self.sender[1],
            socket.inet_aton(self.receiver[0]),
            len(self.data),
        )
        return head + self.data


def read_segment(data):
    """Return the Segment of a packet."""
    cookie, sequence, ack, _, flags, _, src, dport, sport, dst, size = HEADER.unpack_from(data)
    return Segment(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        sequence,
        ack,
        cookie,
        data[HEADER.size : HEADER.size + size],
    )


def split_target(data):
    """Return (integer id of the intended upstream, packet)."""
    return TARGET.unpack_from(data)[0], data[TARGET.size :]


def build_request(request_id):
    """Return an HTTP request with this id, as bytes."""
    return f"GET / HTTP/1.1\r\nX-Lycheevalve-Request-Id: {request_id}\r\n\r\n".encode()


def read_request_id(data):
    """Return the id of an HTTP request."""
    return REQUEST_ID.search(data)[1].decode()


def build_heartbeat(service, address, zone, state, sequence, born):
    """Return the body of an upstream's heartbeat; `born` in Unix milliseconds."""
    body = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": state,
        "warmupLeftMs": 0,
        "sequence": sequence,
        "born": born,
    }
    return json.dumps(body).encode()


def build_configuration(version, front_doors, unsafe_ports=()):
    """Return the body of a configuration; `front_doors` is {(ip, port): service}."""
    routes = [
        {
            "name": f"r-{port}",
            "host": host,
            "pathPrefix": f"/{port}/",
            "routeType": "unsafe" if port in unsafe_ports else "safe",
            "timeoutMs": 2000,
            "service": service,
        }
        for (host, port), service in front_doors.items()
    ]
    names = sorted(set(front_doors.values()))
    services = [{"name": name, "healthCheckPath": "/health"} for name in names]
    value = {"version": version, "routes": routes, "services": services, "limits": {}}
    return json.dumps(value).encode()
