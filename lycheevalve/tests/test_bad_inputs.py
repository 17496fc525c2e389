"""Malformed input on each port of real processes, which serve valid calls all the while."""

import http.client
import json
import os
import random
import socket
import struct

import pytest

from lycheevalve.platform import headers
from lycheevalve.tests.fakes.operators import build_heartbeat, build_value, encode
from lycheevalve.tests.fakes.role_processes import build_control, build_entry, wait_for

TIMEOUT_SECONDS = 5.0
TARGET_HOST = "127.0.0.9"
FRONT_DOOR = bytes([198, 18, 0, 1])
CALLER = bytes([100, 64, 0, 7])
# The front doors of the serving target and of the foreign ones.
PORT, ODD_PORT = 443, 9090
HEARTBEAT = "/Instances.Heartbeat/i-0badc0de"
REPLACE = "/Config.Replace"
DEEP = b"[" * 900 + b"]" * 900


def build_configuration(version=1, **changes):
    """Return the body of a configuration with routes to both front doors."""
    value = build_value(version, **changes)
    odd = {"name": "odd", "pathPrefix": f"/{ODD_PORT}/", "service": "b"}
    value["routes"].append(build_value()["routes"][0] | odd)
    return encode(value)


def insert(body, text):
    """Return the body of an object with the text as the value of another field."""
    return body[:-1] + b', "other": ' + text + b"}"


def build_head(method, path, *lines):
    """Return the head of a request."""
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: a", *lines, "", ""]).encode()


# Calls to the operators' port that must be refused: path and body.
REFUSED_CALLS = {
    "service with a lone surrogate": (HEARTBEAT, build_heartbeat(service="night\ud800")),
    "service that is not UTF-8": (
        HEARTBEAT,
        build_heartbeat(service="night").replace(b"night", b"night\xed\xa0\x80"),
    ),
    "zone with a lone surrogate": (HEARTBEAT, build_heartbeat(zone="\udfff")),
    "slots beyond 32 bits": (HEARTBEAT, build_heartbeat(slots=2**31)),
    "warm-up beyond 32 bits": (HEARTBEAT, build_heartbeat(warmupLeftMs=2**31)),
    "negative slots": (HEARTBEAT, build_heartbeat(slots=-1)),
    "sequence beyond 64 bits": (HEARTBEAT, build_heartbeat(sequence=2**63)),
    "null in a required field": (HEARTBEAT, b'{"service": null}'),
    "heartbeat that is cut": (HEARTBEAT, build_heartbeat()[:-5]),
    "deep heartbeat": (HEARTBEAT, insert(build_heartbeat(), DEEP)),
    "heartbeat beyond the reader's depth": (HEARTBEAT, b"[" * 100_000),
    "huge service": (HEARTBEAT, build_heartbeat(service="s" * 3_000_000)),
    "huge id": ("/Instances.Heartbeat/" + "i" * 10_000, build_heartbeat()),
    "no id": ("/Instances.Heartbeat/", build_heartbeat()),
    "deregistration without an id": ("/Instances.Deregister/", b""),
    "version beyond 64 bits": (REPLACE, build_configuration(2**63)),
    "time-out beyond a double": (REPLACE, build_configuration(9, timeoutMs=10**400)),
    "latency beyond a double": (REPLACE, build_configuration(9, targetLatencyMs=10**400)),
    "infinite latency": (REPLACE, build_configuration(9, targetLatencyMs=float("inf"))),
    "weight beyond a double": (
        REPLACE,
        build_configuration(9, weightedBackends=[{"service": "a", "weight": 10**400}]),
    ),
    "configuration with NaN": (REPLACE, insert(build_configuration(9), b"NaN")),
    "configuration with a repeated key": (
        REPLACE,
        insert(build_configuration(9), b'1, "version": 8'),
    ),
    "configuration that is not UTF-8": (
        REPLACE,
        build_configuration(9).replace(b"r-1", b"r-\xed\xa0\x80"),
    ),
    "deep configuration": (REPLACE, insert(build_configuration(9), DEEP)),
    "cut configuration": (REPLACE, build_configuration(9)[:-20]),
    "configuration of null": (REPLACE, b"null"),
    "order with a body": ("/Evacuations.Start/dc1", b"\xff"),
}
# Bytes that are sent to each HTTP port.
HTTP_BYTES = {
    "HEAD": build_head("HEAD", "/ready") + build_head("HEAD", "/metrics"),
    "HEAD of an unknown path": build_head("HEAD", "/Config.Read"),
    "CONNECT": build_head("CONNECT", "/ready"),
    "CONNECT to the metrics": build_head("CONNECT", "/metrics"),
    "an unknown method": build_head("BREW", "/ready"),
    "pipelined requests": build_head("GET", "/metrics") * 40,
    "an expectation": build_head("POST", REPLACE, "Content-Length: 9", "Expect: 100-continue"),
    "an upgrade": build_head("GET", "/ready", "Connection: upgrade", "Upgrade: h2c"),
    "the preface of HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "a length of too many digits": build_head("POST", "/", "Content-Length: " + "9" * 5000),
    "a negative length": build_head("POST", "/", "Content-Length: -1"),
    "two lengths": build_head("POST", "/", "Content-Length: 1", "Content-Length: 2"),
    "a chunk of an invalid size": build_head("POST", "/", "Transfer-Encoding: chunked")
    + b"zz\r\n",
    "a chunk of 2^80 bytes": build_head("POST", "/", "Transfer-Encoding: chunked")
    + b"f" * 20
    + b"\r\n",
    "oversized headers": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000,
    "a path that is not ASCII": b"GET /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n",
    "random bytes": random.Random(1).randbytes(2000),
}
# Bytes that are sent to the ports of the links.
LINK_BYTES = {
    "nothing": b"",
    "a frame that is cut": struct.pack(">I", 100) + bytes(50),
    "a frame beyond the limit": struct.pack(">I", 2**32 - 1) + bytes(50),
    "an empty frame": struct.pack(">I", 0),
    "an unsigned frame": struct.pack(">I", 40) + bytes([0x4C, 1, 33, 0]) + bytes(36),
    "random bytes": random.Random(2).randbytes(2000),
}
# Addresses that name no host, and one of a host that does not answer.
ODD_ADDRESSES = ("255.255.255.255:1", "0.0.0.0:1", "224.0.0.1:9")
SILENT_ADDRESS = "10.0.0.0:65535"


class RunningSite:
    """A control replica, an entry instance and the socket of a target."""

    def __init__(self, folder):
        self.control = build_control(folder).start()
        self.control.wait_until_started()
        self.entry = build_entry(folder, self.control).start()
        self.entry.wait_until_started()
        self.target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.target.bind((TARGET_HOST, 0))
        self.target.settimeout(0.2)
        self.numbers = iter(range(1, 10_000))

    @property
    def target_address(self):
        """Return the address of the target, as text."""
        return f"{TARGET_HOST}:{self.target.getsockname()[1]}"

    def build_heartbeat(self, sequence):
        """Return the body of a heartbeat of the target."""
        values = {"zone": "dc1", "service": "a", "address": self.target_address}
        return build_heartbeat(sequence=sequence, **values)

    def close(self):
        """Kill both processes."""
        self.control.stop()
        self.entry.stop()
        self.target.close()

    def list_http_addresses(self):
        """Return the addresses of all HTTP ports."""
        return [
            self.control.address("operators"),
            self.control.address("metrics"),
            self.entry.address("metrics"),
            self.entry.address("readiness"),
        ]

    def call(self, method, path, body=b""):
        """Return the status and body of the answer to a call at the operators' port."""
        connection = http.client.HTTPConnection(
            *self.control.address("operators"), timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def send_packet(self, port, number):
        """Send the opening packet of a flow to the entry instance."""
        flow = (bytes(3), CALLER, port, 20_000 + number, FRONT_DOOR, 0)
        data = headers.HEADER.pack(0, number, 0, 9, headers.SYN, *flow)
        send_datagram(self.entry.address("packets"), data)
        return data

    def check(self):
        """Check that both processes run and serve a valid call of each kind."""
        assert self.control.is_running(), self.control.read_output()
        assert self.entry.is_running(), self.entry.read_output()
        number = next(self.numbers)
        body = build_configuration(number)
        assert self.call("POST", REPLACE, body)[0] == 200
        assert self.call("GET", "/Config.Read") == (200, body)
        wait_for(lambda: self.is_served(number))
        for process in (self.control, self.entry):
            assert process.read_events("task_failed") == []

    def is_served(self, number):
        """Return whether the target gets the opening packet of a new flow."""
        heartbeat = self.build_heartbeat(number)
        assert self.call("POST", "/Instances.Heartbeat/i-7", heartbeat)[0] == 200
        data = self.send_packet(PORT, number)
        try:
            while self.target.recv(2000)[12:] != data[4:]:
                pass
        except TimeoutError:
            return False
        return True


def send_datagram(address, data):
    """Send a datagram."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, address)


def send_bytes(address, data):
    """Send bytes on a connection, half close it, and return what is answered."""
    with socket.create_connection(address, timeout=TIMEOUT_SECONDS) as connection:
        answer = b""
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65_536):
                answer += chunk
        except OSError:
            # The process closes the connection as soon as it finds the error.
            pass
    return answer


@pytest.fixture(scope="class")
def site(tmp_path_factory):
    """Return a RunningSite that the tests of a class share."""
    running = RunningSite(tmp_path_factory.mktemp("site"))
    try:
        running.check()
        yield running
    finally:
        running.close()


@pytest.fixture(scope="class")
def fresh_site(tmp_path_factory):
    """Return a RunningSite whose target has not been announced yet."""
    running = RunningSite(tmp_path_factory.mktemp("odd"))
    try:
        body = build_configuration(next(running.numbers))
        assert running.call("POST", REPLACE, body)[0] == 200
        yield running
    finally:
        running.close()


class TestOddEntries:
    """
    Odd entries among those of the targets, and a target that comes later.

    Guards against a list that is not followed any more after an odd entry: the target is found
    and gets packets, whatever was announced before it.
    """

    def test_target_is_found_after_thousands_of_odd_entries(self, fresh_site):
        bodies = [
            *(insert(build_heartbeat(), b"[" * n + b"]" * n) for n in (100, 30_000)),
            *(build_heartbeat(slots=10**n) for n in (10, 300, 4000)),
            *(build_heartbeat(address=f"127.0.0.9:{10**n}") for n in (5, 50, 200)),
            *(build_heartbeat(address=address) for address in ODD_ADDRESSES),
            *(build_heartbeat(born=value) for value in (None, 2**62, 10**300)),
            build_heartbeat(service="never seen", born=4_000_000_000_000),
        ]
        connection = http.client.HTTPConnection(
            *fresh_site.control.address("operators"), timeout=TIMEOUT_SECONDS
        )
        for number in range(2000):
            path = f"/Instances.Heartbeat/i-{number % 8:x}"
            connection.request("POST", path, bodies[number % len(bodies)])
            connection.getresponse().read()
        connection.close()
        fresh_site.check()

    @pytest.mark.parametrize("name", ["i-7", "i-8"])
    def test_entry_of_an_unknown_service_takes_no_address(self, fresh_site, name):
        """It took the target's address with a later start, or its name with a later number."""
        fresh_site.check()
        address = fresh_site.target_address
        start = 1_700_000_000_000 if name == "i-7" else 1_800_000_000_000
        body = build_heartbeat(service="x", address=address, born=start, sequence=10**6)
        assert fresh_site.call("POST", f"/Instances.Heartbeat/{name}", body)[0] == 503
        fresh_site.check()

    def test_target_is_found_where_an_unknown_service_came_first(self, fresh_site):
        """It held the address by its later start, and the target was ignored."""
        address = fresh_site.target_address
        body = build_heartbeat(service="x", address=address, born=1_800_000_000_000)
        # Refused until the replica knows all upstreams in use.
        wait_for(lambda: fresh_site.call("POST", "/Instances.Heartbeat/i-8", body)[0] == 200)
        fresh_site.check()

    @pytest.mark.parametrize(("name", "sequence"), [("i-7", 10**6), ("i-8", 100)])
    def test_copy_of_its_heartbeat_hides_no_later_one(self, fresh_site, name, sequence):
        """Later heartbeats of the target were ignored, or it was sent packets for i-8."""
        fresh_site.check()
        body = fresh_site.build_heartbeat(sequence)
        assert fresh_site.call("POST", f"/Instances.Heartbeat/{name}", body)[0] == 503
        fresh_site.check()


class TestBadInputs:
    """No input ends a process, or keeps it from serving others."""

    @pytest.mark.parametrize(("path", "body"), REFUSED_CALLS.values(), ids=REFUSED_CALLS)
    def test_invalid_call_is_refused(self, site, path, body):
        """Many of these calls were acknowledged, and ended a replica or an entry instance."""
        status, answer = site.call("POST", path, body)
        assert status == 400
        assert json.loads(answer)["error"]
        site.check()

    @pytest.mark.parametrize("data", HTTP_BYTES.values(), ids=HTTP_BYTES)
    def test_http_ports(self, site, data):
        """The error of one connection ended the process, as with HEAD and CONNECT."""
        for address in site.list_http_addresses():
            send_bytes(address, data)
        site.check()

    @pytest.mark.parametrize("data", LINK_BYTES.values(), ids=LINK_BYTES)
    def test_links(self, site, data):
        """The frames of a peer without the key must not reach the process."""
        send_bytes(site.control.link_address(), data)
        site.check()

    def test_datagrams(self, site):
        """Datagrams of any content and length arrive at the packet and lookup sockets."""
        generator = random.Random(3)
        addresses = [
            site.entry.address("packets"),
            site.entry.link_address(),
            site.control.link_address(),
        ]
        prefixes = (
            b"",
            bytes([0x4C, 1, 1, 0]),
            bytes([0x4C, 1, 4, 0]),
            os.urandom(16) + b"\x08",
        )
        for size in range(0, 120, 3):
            for address in addresses:
                for prefix in prefixes:
                    send_datagram(address, prefix + generator.randbytes(size))
        site.check()

    @pytest.mark.parametrize("address", ODD_ADDRESSES)
    def test_addresses_of_no_host(self, site, address):
        """The system refuses to send to them; a heartbeat may name them."""
        body = build_heartbeat(service="b", zone="dc1", address=address)
        assert site.call("POST", HEARTBEAT, body)[0] == 400
        for number in range(5):
            site.send_packet(ODD_PORT, 30_000 + number)
        site.check()

    def test_address_that_does_not_answer(self, site):
        body = build_heartbeat(service="b", zone="dc1", address=SILENT_ADDRESS)
        assert site.call("POST", HEARTBEAT, body)[0] == 200
        for number in range(5):
            site.send_packet(ODD_PORT, 30_000 + number)
        site.check()
