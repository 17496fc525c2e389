"""Invalid and malicious input: frames, datagrams, announcements."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.exceptions import (
    AnnouncementError,
    DatagramError,
    FrameError,
    LycheevalveError,
    SettingsError,
)
from lycheevalve.flows import announcements, coap
from lycheevalve.schema.frames import FrameCodec, decode_struct
from lycheevalve.schema.generated.messages import CLASSES, Digest
from lycheevalve.tests.fakes.proxy import build_header
from lycheevalve.tests.fakes.site import FABRIC, FRONT_DOORS, Site
from lycheevalve.utils.addresses import parse_address

KEY = b"a key of the site"
PARAMETERS = {
    "ep": "u1",
    "d": "nightsync",
    "base": "coap://10.1.0.1:7300",
    "dc": "dc1",
    "lt": 3,
    "inc": 1,
    "seq": 1,
    "slots": 3,
    "conn": 2000,
    "busy": 0,
    "queued": 0,
    "sessions": 0,
}


class TestFrames:
    """Signed frames between processes."""

    def pair(self):
        return FrameCodec(KEY, "a1", 5), FrameCodec(KEY, "a2", 6)

    def test_round_trip(self):
        one, other = self.pair()
        header, message = other.decode(one.encode(Digest(3, 4)))
        assert (header.sender, message) == ("a1", Digest(3, 4))

    def test_every_truncation_is_refused(self):
        one, other = self.pair()
        frame = one.encode(Digest(3, 4))
        for size in range(len(frame)):
            with pytest.raises(FrameError):
                other.decode(frame[:size])

    def test_every_flipped_byte_is_refused(self):
        one, other = self.pair()
        frame = one.encode(Digest(3, 4))
        for position in range(len(frame)):
            flipped = bytearray(frame)
            flipped[position] ^= 1
            with pytest.raises(FrameError):
                other.decode(bytes(flipped))

    def test_replayed_frame_is_refused(self):
        one, other = self.pair()
        frame = one.encode(Digest(3, 4))
        other.decode(frame)
        with pytest.raises(FrameError, match="replayed"):
            other.decode(frame)

    def test_frame_of_an_older_incarnation_is_refused(self):
        _, other = self.pair()
        other.decode(FrameCodec(KEY, "a1", 9).encode(Digest()))
        with pytest.raises(FrameError, match="replayed"):
            other.decode(FrameCodec(KEY, "a1", 8).encode(Digest()))

    def test_frame_of_another_context_is_refused(self):
        one, other = self.pair()
        with pytest.raises(FrameError, match="signature"):
            other.decode(one.encode(Digest(), b"nonce"), b"another")

    @given(st.binary(max_size=120))
    def test_any_bytes_are_refused(self, data):
        with pytest.raises(FrameError):
            self.pair()[1].decode(data)

    @given(st.sampled_from(sorted(CLASSES)), st.binary(max_size=120))
    def test_any_body_is_decoded_or_refused(self, kind, data):
        try:
            decode_struct(CLASSES[kind], data)
        except FrameError:
            pass


class TestDatagrams:
    """Datagrams from the fabric, upstreams, instances and unknown addresses."""

    site = Site(1)
    site.run_until_settled()

    def deliver(self, datagram, source):
        instance = self.site.running["a1"]
        instance.handle_datagram(datagram, source, self.site.now)
        instance.datagrams.clear()
        return instance

    @given(st.binary(max_size=200), st.booleans(), st.booleans())
    def test_any_bytes_are_handled(self, data, relayed, from_upstream):
        source = next(iter(self.site.upstreams)) if from_upstream else FABRIC
        prefix = b"\x52\x00" if relayed else b""
        self.deliver(prefix + data, source)

    @given(st.binary(max_size=200), st.sampled_from(sorted(FRONT_DOORS)))
    def test_any_payload_is_handled(self, payload, front_door):
        header = build_header(("10.5.0.1", 5000), parse_address(FRONT_DOORS[front_door]))
        self.deliver(header + payload, FABRIC)
        self.deliver(header + payload, next(iter(self.site.upstreams)))

    def test_truncated_and_oversized_are_counted(self):
        header = build_header(("10.5.0.1", 5000), parse_address("10.8.0.1:7001"))
        before = self.site.running["a1"].counters.get("bad_datagrams", 0)
        for size in range(28):
            instance = self.deliver(header[:size], FABRIC)
        assert instance.counters["bad_datagrams"] == before + 28
        self.deliver(header + bytes(65_000), FABRIC)

    def test_unknown_source_is_counted(self):
        header = build_header(("10.5.0.1", 5000), parse_address("10.8.0.1:7001"))
        instance = self.deliver(header + b"x", ("10.66.0.1", 1))
        assert instance.counters["foreign_datagrams"] >= 1

    def test_unknown_front_door_is_counted(self):
        header = build_header(("10.5.0.1", 5000), ("10.8.0.9", 7001))
        instance = self.deliver(header + b"x", FABRIC)
        assert instance.counters["unknown_front_door"] >= 1


class TestAnnouncements:
    """Signed announcements of upstreams."""

    def read(self, key=KEY, **changes):
        data = announcements.build_announcement(key, 1, b"t", PARAMETERS | changes)
        return announcements.read_announcement(KEY, coap.decode_message(data))

    def test_round_trip(self):
        assert self.read().address == "10.1.0.1:7300"

    def test_wrong_key_is_refused(self):
        with pytest.raises(AnnouncementError, match="signature"):
            self.read(key=b"another key")

    @pytest.mark.parametrize(
        "changes", [{"lt": 0}, {"lt": 99999}, {"slots": "x"}, {"busy": -1}, {"base": "nowhere"}]
    )
    def test_bad_values_are_refused(self, changes):
        with pytest.raises(AnnouncementError):
            self.read(**changes)

    def test_unknown_service_and_data_centre_are_refused(self):
        services = {s.name: s for s in Site(1).configuration.services}
        for changes in ({"d": "nightsink"}, {"dc": "dc9"}):
            with pytest.raises(AnnouncementError):
                announcements.check_registration(self.read(**changes), services)

    def test_repeated_registration_changes_nothing(self):
        site = TestDatagrams.site
        upstreams = site.running["a1"].upstreams
        current = next(iter(upstreams.by_address.values())).registration
        assert not upstreams.update(current, site.now)

    @given(st.binary(max_size=150))
    def test_arbitrary_bytes_are_read_or_rejected(self, data):
        try:
            announcements.read_announcement(KEY, coap.decode_message(data))
        except (DatagramError, AnnouncementError):
            pass

    @given(st.dictionaries(st.sampled_from(sorted(PARAMETERS)), st.text(max_size=20)))
    def test_any_values_are_read_or_refused(self, values):
        try:
            announcements.read_registration(PARAMETERS | values)
        except AnnouncementError:
            pass


class TestErrors:
    """Exception messages."""

    def test_message_names_step_and_peer(self):
        error = SettingsError("wrong", "check", "a1")
        assert str(error) == "check, a1: wrong"
        assert isinstance(error, LycheevalveError)
