"""
Reachability: which data centres this instance has lost, found out within a caller's time.

Load: a data centre is cut off from the others while callers hold long flows across the cut.
They send a request again after 0.2 and 0.6 s and give up after a second, and must not repeat
one that isn't idempotent. Single flows prove a failure only after most of them have given
up, and the connections to control replicas fail later still.

When an upstream of another data centre leaves a request unanswered, the instance probes the
control replicas of all data centres. What has not answered by the end of a few probes is
silent; the silence of a data centre is believed if

- other replicas answered the same probes, so neither this instance nor all replicas failed,
- no upstream there has answered meanwhile, so packets do not get through,
- enough silent replicas and upstreams agree: one of them may just have failed.

A replica that stops as planned is no witness, and an upstream is one only if it should have
answered: a request may be at work there, which is acknowledged by its answer. While only such
requests are missing, the round goes on for what the checks of upstreams find, see
coordination/upstream_checks.py.

Nothing is sent while upstreams answer.
"""

import attrs

# Probes are sent this often until all have answered or the verdict is due: an answer takes a
# few milliseconds, and a probe may be lost.
PROBE_INTERVAL_SECONDS = 0.05
VERDICT_SECONDS = 0.15
# The answers of others have to be there for this long before the silence of a data centre
# counts: all answers are late together if the own link or process is slow.
ANSWER_MARGIN_SECONDS = 0.09
# A round without such an answer ends after this time; callers send the second copy of a request
# 0.4 s after the first.
MAX_ROUND_SECONDS = 0.5
# A later tick than this means that answers may still wait in the socket.
LATE_TICK_SECONDS = 0.12
# How often a data centre that is cut off is probed.
CUT_PROBE_INTERVAL_SECONDS = 0.2
# After a round of probes that found nothing, none is started for this long; the pause doubles
# up to its maximum while callers go on repeating requests, as they do under overload.
ROUND_PAUSE_SECONDS = 0.25
MAX_ROUND_PAUSE_SECONDS = 1.0
# How many silent replicas and upstreams have to agree.
MIN_WITNESSES = 3


def is_recent(upstream, silence, now):
    """Return True: a request that is not overdue may become evidence."""
    return True


@attrs.define
class Replica:
    """A control replica as a witness; times in seconds."""

    data_centre: str
    answered_at: float = float("-inf")


@attrs.define
class Reachability:
    """
    The probes of one instance, and the data centres that it concludes to be cut off.

    `list_replicas()` returns the data centre of each control replica that is not stopping by
    its address, `list_upstreams()` the upstreams, `probe(address)` sends a probe, and
    `collect()` returns the addresses of the replicas whose answers have arrived since the last
    call. `is_overdue(upstream, silence, now)` returns whether an upstream that is reached
    would have answered.
    """

    data_centre: str
    list_replicas: object
    list_upstreams: object
    probe: object
    is_overdue: object
    collect: object = tuple
    replicas: dict[str, Replica] = attrs.field(factory=dict)
    # When the current round of probes and its last probe were sent; None without a round.
    started_at: float | None = None
    probed_at: float = float("-inf")
    ended_at: float = float("-inf")
    pause: float = ROUND_PAUSE_SECONDS
    ticked_at: float = float("-inf")
    # Since when data centres are cut off.
    cut_since: dict[str, float] = attrs.field(factory=dict)

    def handle_silence(self, upstream, now):
        """Start a round of probes as an upstream left a request or an opening unanswered."""
        if upstream.registration.data_centre in (self.data_centre, *self.cut_since):
            return
        if self.started_at is not None or now - self.ended_at < self.pause:
            return
        if now - self.ended_at > 2 * MAX_ROUND_PAUSE_SECONDS:
            self.pause = ROUND_PAUSE_SECONDS
        self.started_at = self.ticked_at = now
        self.send_probes(self.update_replicas(), now)

    def handle_answer(self, address, now):
        """Record that a control replica has answered a probe or a poll."""
        replica = self.replicas.get(address)
        if replica is None:
            data_centre = self.list_replicas().get(address, "")
            replica = self.replicas[address] = Replica(data_centre)
        replica.answered_at = now
        self.cut_since.pop(replica.data_centre, None)

    def introduce(self, now):
        """Probe the replicas that have never answered, so that their silence counts later."""
        self.update_replicas()
        self.collect_answers(now)
        unknown = [a for a, r in self.replicas.items() if r.answered_at == float("-inf")]
        for address in unknown:
            self.probe(address)

    def collect_answers(self, now):
        """Record the answers to probes that have arrived."""
        for address in self.collect():
            self.handle_answer(address, now)

    def update_replicas(self):
        """Adopt the current list of replicas; return their addresses."""
        listed = self.list_replicas()
        for address, data_centre in listed.items():
            if address in self.replicas:
                self.replicas[address].data_centre = data_centre
            else:
                self.replicas[address] = Replica(data_centre)
        for address in [address for address in self.replicas if address not in listed]:
            del self.replicas[address]
        return list(self.replicas)

    def send_probes(self, addresses, now):
        """Probe replicas."""
        self.probed_at = now
        for address in addresses:
            self.probe(address)

    def tick(self, now):
        """Continue the probes; return the data centres newly found to be cut off."""
        is_late = now - self.ticked_at > LATE_TICK_SECONDS
        self.ticked_at = now
        if self.is_active:
            self.collect_answers(now)
        self.end_cuts()
        if self.started_at is None:
            if self.cut_since and now - self.probed_at >= CUT_PROBE_INTERVAL_SECONDS:
                listed = self.update_replicas()
                cut = [a for a in listed if self.replicas[a].data_centre in self.cut_since]
                self.send_probes(cut, now)
            return []
        if is_late:
            # The time in which this process was not running does not count.
            self.started_at = now
        seconds = now - self.started_at
        limit = VERDICT_SECONDS if self.is_answer_early(now) else MAX_ROUND_SECONDS
        if seconds < limit:
            return self.probe_unanswered(now)
        found = self.find_cut(now, self.is_overdue)
        if not found and seconds < MAX_ROUND_SECONDS and self.find_cut(now, is_recent):
            return self.probe_unanswered(now)
        self.started_at, self.ended_at = None, now
        self.pause = (
            ROUND_PAUSE_SECONDS if found else min(MAX_ROUND_PAUSE_SECONDS, 2 * self.pause)
        )
        for data_centre in found:
            self.cut_since[data_centre] = now
        return found

    def end_cuts(self):
        """End the cuts of data centres that have answered or have no replica any more."""
        if not self.cut_since:
            return
        answered_at = self.find_last_answers()
        known = {replica.data_centre for replica in self.replicas.values()}
        for name, since in list(self.cut_since.items()):
            if answered_at.get(name, float("-inf")) > since or name not in known:
                del self.cut_since[name]

    def probe_unanswered(self, now):
        """Repeat the probes without an answer when due; return no data centres."""
        if now - self.probed_at >= PROBE_INTERVAL_SECONDS:
            self.send_probes(self.find_unanswered(), now)
        return []

    def find_unanswered(self):
        """Return the addresses of the replicas that have not answered in this round."""
        return [a for a, r in self.replicas.items() if r.answered_at < self.started_at]

    def find_last_answers(self):
        """Return when upstreams last answered, by data centre."""
        last = {}
        for upstream in self.list_upstreams():
            name = upstream.registration.data_centre
            last[name] = max(last.get(name, float("-inf")), upstream.answered_at)
        return last

    def find_cut(self, now, is_evidence):
        """
        Return the data centres that are cut off as the round of probes shows it.

        `is_evidence(upstream, silence, now)` returns whether the silence of a flow counts.
        """
        if not self.is_answer_early(now):
            return []
        self.update_replicas()
        answered = self.find_answered()
        last_answers = self.find_last_answers()
        reached = answered | {n for n, at in last_answers.items() if at >= self.started_at}
        replicas = self.count_silent_replicas(reached)
        upstreams = self.count_silent_upstreams(now, is_evidence)
        witnesses = {n: count + upstreams.get(n, 0) for n, count in replicas.items()}
        if reached == {self.data_centre}:
            # This data centre is cut off from all others, which are judged together.
            has_silence = any(name in upstreams for name in witnesses)
            is_certain = has_silence and sum(witnesses.values()) >= MIN_WITNESSES
            return list(witnesses) if is_certain else []
        return [
            name
            for name, count in witnesses.items()
            if upstreams.get(name) and count >= MIN_WITNESSES
        ]

    def is_answer_early(self, now):
        """Return whether a replica answered long enough ago to expect all other answers."""
        return any(
            self.started_at <= replica.answered_at <= now - ANSWER_MARGIN_SECONDS
            for replica in self.replicas.values()
        )

    def find_answered(self):
        """Return the data centres whose replicas have answered in this round."""
        return {
            r.data_centre for r in self.replicas.values() if r.answered_at >= self.started_at
        }

    def count_silent_replicas(self, reached):
        """
        Return the number of silent replicas of each data centre that was not reached.

        A replica that has never answered this process may not have started yet.
        """
        counts = {}
        for replica in self.replicas.values():
            name = replica.data_centre
            if name and name not in reached and replica.answered_at > float("-inf"):
                counts[name] = counts.get(name, 0) + 1
        return counts

    def count_silent_upstreams(self, now, is_evidence):
        """Return the number of upstreams with unanswered requests that count by data centre."""
        counts = {}
        for upstream in self.list_upstreams():
            if any(
                silence.sent_at > upstream.answered_at
                and silence.is_valid(now)
                and is_evidence(upstream, silence, now)
                for silence in upstream.silences.values()
            ):
                name = upstream.registration.data_centre
                counts[name] = counts.get(name, 0) + 1
        return counts

    def is_cut(self, upstream):
        """Return whether an upstream's data centre is cut off from this instance."""
        return upstream.registration.data_centre in self.cut_since

    def is_isolated(self):
        """Return whether all data centres but this one are cut off."""
        others = {r.data_centre for r in self.replicas.values()} - {"", self.data_centre}
        return bool(others) and others <= self.cut_since.keys()

    @property
    def is_active(self):
        """Return whether probes are due, so that ticks are urgent."""
        return self.started_at is not None or bool(self.cut_since)

    def clear(self):
        """Discard what was concluded before a pause of the process."""
        self.started_at = None
        self.cut_since.clear()
