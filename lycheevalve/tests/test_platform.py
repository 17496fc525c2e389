"""The adapter to the users' platform: packets, heartbeats, API calls."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.coordination.configuration import Outcome
from lycheevalve.exceptions import (
    AnnouncementError,
    DatagramError,
)
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.platform import headers, packets
from lycheevalve.platform.heartbeats import read_heartbeat
from lycheevalve.schema.frames import decode_struct, encode_struct
from lycheevalve.schema.generated.messages import Registration
from lycheevalve.tests.fakes.entry import build_registration
from lycheevalve.tests.fakes.operators import (
    FakeProcess,
    build_heartbeat,
    build_value,
    call,
    encode,
)

SYN = bytes.fromhex("000000001122334400000000a1b2c3d5080000006440000701bb9c41c61200010000")
RESET = bytes.fromhex("0000000000000000000000000000000004000000c61200019c4101bb644000070000")
FABRIC_PORT = 8172
FRONT_DOOR = (bytes([198, 18, 0, 1]), 443)


class TestPackets:
    """The header of 34 bytes; SYN and RESET are examples from the platform's page."""

    def test_documented_opening_packet(self):
        packet = packets.read_packet(SYN)
        assert (packet.opens, packet.copy, packet.cookie, packet.size) == (True, 0, 0, 0)
        assert (packet.front_door, packet.sequence) == (FRONT_DOOR, 0x11223344)

    def test_documented_reset(self):
        data, address = packets.build_reset(packets.read_packet(SYN), FABRIC_PORT)
        assert data == RESET
        assert address == ("100.64.0.7", FABRIC_PORT)

    def test_reset_carries_the_last_acknowledgement(self):
        packet = packets.read_packet(build_data(acknowledged=777))
        data, _ = packets.build_reset(packet, FABRIC_PORT)
        assert headers.HEADER.unpack(data)[1] == 777

    def test_forwarding_changes_only_the_cookie(self):
        upstreams = Upstreams()
        upstreams.update(build_registration(1, name="i-7f3a91c2"), 0.0)
        (upstream,) = upstreams.by_index.values()
        data, address = packets.build_forward(upstream, 0xCAFE, packets.read_packet(SYN))
        assert data[:8] == bytes.fromhex("000000007f3a91c2")
        assert data[8:12] == bytes.fromhex("0000cafe")
        assert data[12:] == SYN[4:]
        assert address == ("10.128.0.1", 8080)

    def test_opening_packet_has_its_retransmission_count(self):
        data = headers.HEADER.pack(0, 5, 2, 9, headers.SYN, bytes(3), b"abcd", 1, 2, b"efgh", 0)
        packet = packets.read_packet(data)
        assert (packet.opens, packet.copy) == (True, 2)

    @pytest.mark.parametrize("size", [0, 1, 33])
    def test_short_datagram_is_refused(self, size):
        with pytest.raises(DatagramError, match="shorter than the header"):
            packets.read_packet(SYN[:size])

    def test_wrong_length_is_refused(self):
        with pytest.raises(DatagramError, match="length"):
            packets.read_packet(SYN + b"x")

    def test_unknown_flags_are_refused(self):
        with pytest.raises(DatagramError, match="flags"):
            packets.read_packet(SYN[:16] + b"\x48" + SYN[17:])

    @given(st.binary(max_size=80))
    def test_any_bytes_are_a_packet_or_refused(self, data):
        try:
            packet = packets.read_packet(data)
        except DatagramError:
            return
        assert packet.raw == data

    def test_invalid_id_addresses_any_target(self):
        assert packets.encode_target("i-zzz") == bytes(8)
        assert packets.encode_target("i-" + "f" * 17) == bytes(8)


def build_data(acknowledged=0, data=b"GET / HTTP/1.1\r\n"):
    """Return a data packet of an established flow."""
    fields = (1, 5, acknowledged, 9, headers.ACK, bytes(3), b"abcd", 1, 2, b"efgh", len(data))
    return headers.HEADER.pack(*fields) + data


class TestHeartbeats:
    """Heartbeats of targets, including those of other implementations."""

    def test_fields_of_the_registration(self):
        registration = read_heartbeat("i-7", build_heartbeat(state="draining"), 770)
        assert registration.name == "i-7"
        assert registration.data_centre == "ikeja-a"
        assert registration.draining
        assert registration.incarnation == 1_700_000_000_000
        assert registration.lifetime_ms == 5 * 770

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": None},
            {"service": ""},
            {"address": "nowhere"},
            {"address": 5},
            {"state": "sleeping"},
            {"state": None},
            {"slots": "2"},
            {"slots": -1},
            {"sequence": None},
            {"sequence": 1.5},
            {"sequence": 2**70},
            {"born": "now"},
            {"born": True},
            {"zone": []},
            {"slots": 2**31},
            {"warmupLeftMs": 2**31},
            {"sequence": 2**63},
            {"service": "night\ud800sync"},
            {"zone": "ikeja\udfff"},
            {"address": "10.128.0.9:8080\udfff"},
            {"service": "s" * 256},
            {"zone": "z" * 4096},
        ],
    )
    def test_invalid_heartbeat_is_refused(self, changes):
        """One that can't be encoded for other processes ended the one that took it."""
        with pytest.raises(AnnouncementError):
            read_heartbeat("i-7", build_heartbeat(**changes), 770)

    @pytest.mark.parametrize("port", ["8080", "08080"])
    def test_address_has_one_spelling(self, port):
        """Two spellings counted as one upstream in some tables and as two in others."""
        body = build_heartbeat(address=f"10.128.0.9:{port}")
        assert read_heartbeat("i-7", body, 770).address == "10.128.0.9:8080"

    def test_largest_values_are_read(self):
        """The limits must not refuse what can be encoded."""
        body = build_heartbeat(slots=2**31 - 1, warmupLeftMs=2**31 - 1, service="s" * 255)
        registration = read_heartbeat("i" * 255, body, 770)
        assert decode_struct(Registration, encode_struct(registration)) == registration

    @pytest.mark.parametrize("name", ["", "i" * 256])
    def test_id_of_a_wrong_length_is_refused(self, name):
        """A longer id is cut in answers to lookups, so that it is that of another target."""
        with pytest.raises(AnnouncementError, match="id must have 1 to 255 characters"):
            read_heartbeat(name, build_heartbeat(), 770)

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"null", b"[" * 99_999])
    def test_unparsable_body_is_refused(self, body):
        with pytest.raises(AnnouncementError):
            read_heartbeat("i-7", body, 770)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_refused_or_read(self, body):
        try:
            read_heartbeat("i-7", body, 770)
        except AnnouncementError:
            pass


class TestCalls:
    """The API calls of operators and targets."""

    def test_valid_configuration_is_proposed_and_acknowledged(self):
        process = FakeProcess()
        response = call(process, "POST", "/Config.Replace", encode(build_value(7)))
        assert response.status == 200
        assert process.proposed[0].target_revision == 7

    def test_invalid_configuration_is_refused_without_a_proposal(self):
        process = FakeProcess()
        body = encode(build_value(7, timeoutMs=0))
        assert call(process, "POST", "/Config.Replace", body).status == 400
        assert process.proposed == []

    def test_committed_revision_is_acknowledged_without_a_leader(self):
        process = FakeProcess(held=9, leaderless=True)
        for version in (7, 9):
            body = encode(build_value(version))
            assert call(process, "POST", "/Config.Replace", body).status == 200

    def test_invalid_configuration_with_an_old_revision_is_refused(self):
        body = encode(build_value(7, service="unknown"))
        assert call(FakeProcess(held=9), "POST", "/Config.Replace", body).status == 400

    def test_without_a_leader_nothing_is_acknowledged_or_read(self):
        process = FakeProcess(leaderless=True)
        body = encode(build_value(7))
        assert call(process, "POST", "/Config.Replace", body).status == 503
        assert call(process, "GET", "/Config.Read").status == 503

    def test_read_returns_the_text(self):
        response = call(FakeProcess(), "GET", "/Config.Read")
        assert response.status == 200
        assert json.loads(response.body) == build_value()

    def test_heartbeat_and_deregistration(self):
        process = FakeProcess()
        path = "/Instances.Heartbeat/i-7f3a91c2"
        assert call(process, "POST", path, build_heartbeat()).status == 200
        assert process.announced[0].name == "i-7f3a91c2"
        assert call(process, "POST", "/Instances.Deregister/i-7f3a91c2").status == 200
        body = encode({"born": 1_700_000_000_000, "sequence": 5})
        assert call(process, "POST", "/Instances.Deregister/i-7f3a91c2", body).status == 200
        names = [("i-7f3a91c2", None), ("i-7f3a91c2", 1_700_000_000_000)]
        assert process.deregistered == names

    def test_invalid_heartbeat_registers_nothing(self):
        process = FakeProcess()
        path = "/Instances.Heartbeat/i-7f3a91c2"
        assert call(process, "POST", path, b"\x00").status == 400
        assert process.announced == []

    @pytest.mark.parametrize(
        ("path", "body"),
        [
            ("/Instances.Heartbeat/i-7", build_heartbeat(service="night\ud800sync")),
            ("/Instances.Heartbeat/i-7", build_heartbeat(slots=2**31)),
            ("/Instances.Heartbeat/", build_heartbeat()),
            ("/Instances.Deregister/", b""),
            ("/Instances.Deregister/" + "i" * 256, b""),
            ("/Instances.Deregister/i-7", b"\x00"),
            ("/Instances.Deregister/i-7", b"[]"),
            ("/Instances.Deregister/i-7", encode({"born": None})),
            ("/Instances.Deregister/i-7", encode({"born": "now"})),
            ("/Instances.Deregister/i-7", encode({"born": 1.5})),
            ("/Instances.Deregister/i-7", encode({"born": -1})),
            ("/Instances.Deregister/i-7", b'{"born": 1, "born": 2}'),
            ("/Config.Replace", encode(build_value(2**63))),
        ],
    )
    def test_call_that_cannot_be_encoded_is_refused_with_a_reason(self, path, body):
        """Such a call was acknowledged, and ended the process that encoded it later."""
        process = FakeProcess()
        response = call(process, "POST", path, body)
        assert response.status == 400
        assert json.loads(response.body)["error"]
        assert process.announced == process.proposed == process.deregistered == []

    def test_reason_of_a_refusal_is_short(self):
        """A log line or an answer of megabytes delays others."""
        body = encode(build_value(7, service="s" * 1_000_000))
        response = call(FakeProcess(), "POST", "/Config.Replace", body)
        assert response.status == 400
        assert len(response.body) < 1000

    def test_order_that_cannot_be_encoded_is_refused(self, monkeypatch):
        """The name of a data centre comes from the path, where the site has no list of them."""
        monkeypatch.setattr(FakeProcess.Settings, "data_centres", ())
        process = FakeProcess()
        assert call(process, "POST", "/Evacuations.Start/ikeja\ud800").status == 400
        assert process.proposed == []

    @pytest.mark.parametrize(
        ("verb", "orders"),
        [("Start", (["ikeja-a"], [])), ("Stop", ([], ["ikeja-a"]))],
    )
    @pytest.mark.parametrize("body", [b"", b"{}"])
    def test_order_about_a_data_centre_is_proposed(self, verb, orders, body):
        process = FakeProcess()
        assert call(process, "POST", f"/Evacuations.{verb}/ikeja-a", body).status == 200
        (change,) = process.proposed
        assert (change.evacuates, change.restores) == orders
        assert change.keeps_revision

    def test_order_that_is_sent_again_is_another_change(self):
        process = FakeProcess()
        for _ in range(2):
            assert call(process, "POST", "/Evacuations.Start/ikeja-a").status == 200
        assert len({change.change_id for change in process.proposed}) == 2

    @pytest.mark.parametrize(
        ("name", "body", "status"),
        [
            ("ikeja-z", b"", 404),
            ("", b"", 404),
            ("ikeja-a/", b"", 404),
            ("ikeja-a", b'{"zone": "ikeja-a"}', 400),
            ("ikeja-a", b"\xff", 400),
        ],
    )
    def test_invalid_order_is_refused_with_a_reason(self, name, body, status):
        process = FakeProcess()
        response = call(process, "POST", f"/Evacuations.Start/{name}", body)
        assert response.status == status
        assert b"data centre" in response.body
        assert process.proposed == []

    def test_order_that_the_leader_refuses_is_not_acknowledged(self):
        """A leader of an earlier version refuses it by its base revision."""
        process = FakeProcess()
        process.outcome = Outcome.CONFLICT
        assert call(process, "POST", "/Evacuations.Start/ikeja-a").status == 503

    def test_without_a_leader_no_order_is_acknowledged(self):
        process = FakeProcess(leaderless=True)
        assert call(process, "POST", "/Evacuations.Start/ikeja-a").status == 503

    def test_unknown_call(self):
        assert call(FakeProcess(), "GET", "/elsewhere").status == 404
        assert call(FakeProcess(), "GET", "/Config.Replace").status == 404
