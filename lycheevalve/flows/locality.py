"""
Locality: whether a data centre's own upstreams carry the requests of its callers.

Load: thousands of long flows which are idle most of the time, over four data centres. An
instance has several flows for each upstream near it, and few of them have a request in
flight. Placed by the number of flows, most of them open in other data centres, where each
packet costs bytes between data centres and a network partition breaks them. Where the near
upstreams have room for all requests of the data centre, flows stay near; where they have
not, flows are placed by their number on all upstreams.

The fabric spreads callers evenly over the instances of a data centre, so an instance
multiplies the requests that it has in flight by their number.
"""

import math

import attrs

# How much of the near slots the requests of the data centre may occupy. Requests arrive at
# random: at half of the slots few of them wait, also when one of three upstreams is lost.
MAX_OCCUPANCY = 0.5
# With fewer near upstreams a single one that fails requests gets most of the retries, too.
MIN_NEAR_UPSTREAMS = 3
# Over how long the requests in flight are averaged, and for how long at least.
AVERAGING_SECONDS = 4.0
MIN_OBSERVED_SECONDS = 1.0
# The weight of a flow's opening in the mean time of a round trip.
ROUND_TRIP_WEIGHT = 0.05


@attrs.define
class WorkTimes:
    """How long requests of one service occupied slots; times in seconds."""

    updated_at: float
    # The sum over all answers, each weighted by exp(-age / AVERAGING_SECONDS).
    seconds: float = 0.0

    def add(self, seconds, now):
        """Add a request that occupied a slot for `seconds`."""
        self.seconds = self.weighted_sum(now) + seconds
        self.updated_at = now

    def weighted_sum(self, now):
        """Return the weighted sum at the time `now`."""
        return self.seconds * math.exp((self.updated_at - now) / AVERAGING_SECONDS)


@attrs.define
class Locality:
    """What one instance knows of the requests of its data centre, by service."""

    data_centre: str
    work_times: dict[str, WorkTimes] = attrs.field(factory=dict)
    # When the first request was answered.
    since: float | None = None
    # The mean time from an opening packet to the caller's next one, without any work.
    round_trip: float = 0.0

    def record_round_trip(self, seconds):
        """Record the time from an opening packet to the caller's next one."""
        if not self.round_trip:
            self.round_trip = seconds
        self.round_trip += ROUND_TRIP_WEIGHT * (seconds - self.round_trip)

    def record_answer(self, service, seconds, now):
        """Record the time from a request to the caller's acknowledgement of its answer."""
        if self.since is None:
            self.since = now
        if service not in self.work_times:
            self.work_times[service] = WorkTimes(now)
        self.work_times[service].add(max(0.0, seconds - self.round_trip), now)

    def clear(self):
        """Discard what was seen before a pause of the process."""
        self.work_times.clear()
        self.since = None

    def count_occupied(self, service, now):
        """Return how many slots this instance's requests occupy, or None if unknown."""
        if self.since is None or now - self.since < MIN_OBSERVED_SECONDS:
            return None
        times = self.work_times.get(service)
        # The part of all weights that belongs to the time since the first answer.
        observed = -math.expm1((self.since - now) / AVERAGING_SECONDS)
        # Little's law: requests a second times the time of each.
        return times.weighted_sum(now) / (AVERAGING_SECONDS * observed) if times else 0.0

    def select_near(self, upstreams, instances, now):
        """
        Return the upstreams of this data centre if they carry its requests, else all.

        `upstreams` are those of one service that may get a new flow; `instances` is the
        number of instances of the data centre, 0 if it is not known.
        """
        near = [u for u in upstreams if u.registration.data_centre == self.data_centre]
        if len(near) < MIN_NEAR_UPSTREAMS or len(near) == len(upstreams):
            return upstreams
        slots = sum(max(1, u.registration.slots) * u.announced_share(now) for u in near)
        return near if self.has_room(near[0].service, slots, instances, now) else upstreams

    def has_room(self, service, slots, instances, now):
        """
        Return whether `slots` suffice for the requests of this data centre to a service.

        False if that is not known.
        """
        occupied = self.count_occupied(service, now)
        if occupied is None or not instances:
            return False
        return occupied * instances <= MAX_OCCUPANCY * slots
