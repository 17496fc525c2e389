"""What is done with flows on upstreams that cannot be reached."""

import pytest

from lycheevalve.tests.fakes.entry import FRONT_DOOR, OTHER_FRONT_DOOR, build_packet
from lycheevalve.tests.fakes.region import TICK_SECONDS, Region


class TestFlowsAcrossTheCut:
    """What is done with flows on a data centre that is cut off."""

    def open_flow(self, region, key, front_door, name):
        """Return the upstream of an idle flow on a data centre."""
        upstream = region.upstreams[name][0]
        for values in ({"acknowledged": 1}, {"size": 50}):
            packet = build_packet(key, front_door, cookie=upstream.cookie, **values)
            region.router.handle_packet(packet, region.now)
        answered = build_packet(
            key, front_door, cookie=upstream.cookie, sequence=50, acknowledged=90
        )
        region.now += 0.02
        region.router.handle_packet(answered, region.now)
        region.now += 0.1
        return upstream

    def request(self, region, key, front_door, upstream):
        """Send a request on an open flow; return whether it was forwarded."""
        packet = build_packet(
            key, front_door, cookie=upstream.cookie, sequence=50, acknowledged=90, size=50
        )
        return region.entry.handle(packet, region.now) is not None

    def cut(self, region, name="dc2"):
        """Cut off a data centre, and let the instance find it while others answer."""
        region.cut = {name}
        region.repeat(region.upstreams[name][1])
        for _ in range(6):
            region.deliver()
            region.now += TICK_SECONDS
            region.finish_checks()
            region.answer(region.upstreams["dc3"][0])
            region.upstreams["dc3"][0].unanswered = 0
            region.router.tick(region.now)

    @pytest.mark.parametrize("front_door", [FRONT_DOOR, OTHER_FRONT_DOOR])
    def test_idle_flows_are_reset_before_their_next_request(self, front_door):
        region = Region()
        self.open_flow(region, b"a", front_door, "dc2")
        self.cut(region)
        assert [packet.flow_key for packet in region.entry.resets] == [b"a"]

    def test_flows_on_other_data_centres_stay(self):
        region = Region()
        self.open_flow(region, b"a", FRONT_DOOR, "dc1")
        self.open_flow(region, b"b", FRONT_DOOR, "dc3")
        self.cut(region)
        assert region.entry.resets == []

    def test_lost_idempotent_request_is_reset_at_once(self):
        region = Region()
        upstream = self.open_flow(region, b"a", FRONT_DOOR, "dc2")
        region.cut, requested_at = {"dc2"}, region.now
        self.request(region, b"a", FRONT_DOOR, upstream)
        self.cut(region)
        assert [packet.flow_key for packet in region.entry.resets] == [b"a"]
        # The caller gives up after 1.0 s.
        assert region.now - requested_at < 0.5

    def test_request_that_is_not_idempotent_is_left(self):
        region = Region()
        upstream = self.open_flow(region, b"a", OTHER_FRONT_DOOR, "dc2")
        region.cut = {"dc2"}
        self.request(region, b"a", OTHER_FRONT_DOOR, upstream)
        self.cut(region)
        assert region.entry.resets == []
        assert self.request(region, b"a", OTHER_FRONT_DOOR, upstream)

    def test_later_request_of_an_unknown_flow_is_reset(self):
        region = Region()
        self.cut(region)
        upstream = region.upstreams["dc2"][0]
        assert not self.request(region, b"new", FRONT_DOOR, upstream)
        assert [packet.flow_key for packet in region.entry.resets] == [b"new"]

    def test_new_flows_go_elsewhere(self):
        region = Region()
        self.cut(region)
        for number in range(12):
            packet = build_packet(b"new-%d" % number, opens=True)
            upstream, _, _ = region.entry.handle(packet, region.now)
            assert upstream.registration.data_centre != "dc2"

    def test_without_an_alternative_flows_stay(self):
        region = Region()
        self.open_flow(region, b"a", FRONT_DOOR, "dc2")
        for name, upstreams in region.upstreams.items():
            for upstream in upstreams if name != "dc2" else ():
                upstream.drained = True
        self.cut(region)
        assert region.entry.resets == []

    def test_pause_ends_the_conclusion(self):
        region = Region()
        self.cut(region)
        region.router.handle_resume()
        assert not region.reachability.cut_since
