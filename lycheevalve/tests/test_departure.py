"""The graceful stop of an entry instance."""

from lycheevalve.flows.departure import Departure


def depart(probes, packets, step=0.05, stop_seconds=6.0):
    """Return when a stop that begins at 0 is complete; probes and packets are times."""
    departure, last_packet_at, now = Departure(0.0, stop_seconds), float("-inf"), 0.0
    while not departure.is_complete(last_packet_at, now):
        now += step
        for _ in [at for at in probes if now - step < at <= now]:
            departure.record_probe(now)
        last_packet_at = max([last_packet_at, *(at for at in packets if at <= now)])
    return now


class TestRestartsInTurn:
    """Instances that restart in turn, from what the fabric sends them."""

    def test_an_instance_exits_once_the_fabric_ignores_it(self):
        packets = [n / 20 for n in range(15)]
        assert 1.0 <= depart([0.2, 0.7, 1.2], packets) <= 1.2

    def test_an_instance_stays_while_the_fabric_sends_it_packets(self):
        """Too few others are ready, so that leaving instances are used too."""
        packets = [n / 10 for n in range(36)]
        assert 3.9 <= depart([0.2, 0.7, 1.2], packets) <= 4.1

    def test_one_failed_probe_does_not_suffice(self):
        assert depart([0.2], []) >= 2.5

    def test_an_instance_exits_before_it_is_killed(self):
        packets = [n / 10 for n in range(100)]
        assert 4.9 <= depart([0.2, 0.7], packets) <= 5.1

    def test_an_instance_with_little_time_uses_most_of_it(self):
        """With `stop_seconds` of 1 it exited at once, while packets arrived."""
        packets = [n / 10 for n in range(100)]
        assert 0.7 <= depart([0.2, 0.7], packets, stop_seconds=1.0) <= 0.9

    def test_an_idle_instance_that_nobody_probes_exits(self):
        assert 2.8 <= depart([], []) <= 3.0
