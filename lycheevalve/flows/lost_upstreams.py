"""
Lost upstreams: those that this instance cannot reach, by what others found out.

An upstream is lost with its whole data centre (reachability.py), or if the control replicas
of the own data centre report it (coordination/upstream_checks.py). Both are asked as soon as
a caller repeats a request.
"""

import attrs

from lycheevalve.flows.failure_evidence import FailureDetector
from lycheevalve.flows.passive_health import HEALTHY_ANSWER_SECONDS
from lycheevalve.flows.reachability import Reachability

# An upstream that is reported as unreachable has not answered for at least this long: from
# a request to its first copy, and during the check.
UNREACHABLE_REPORT_SECONDS = 0.25


@attrs.define
class LostUpstreams:
    """
    The upstreams that packets do not reach; `upstreams` is the table of upstreams.py.

    `report_silence(upstream, now)` asks control replicas to check an upstream; `failures` has
    the times to an answer.
    """

    upstreams: object
    data_centre: str
    report_silence: object = lambda upstream, now: None
    failures: FailureDetector = attrs.field(factory=FailureDetector)
    # `list_replicas()`, `probe(address)` and `collect()` of the Reachability.
    list_replicas: object = dict
    probe: object = lambda address: None
    collect: object = tuple
    reachability: Reachability = attrs.field(
        default=attrs.Factory(
            lambda self: Reachability(
                self.data_centre,
                self.list_replicas,
                lambda: self.upstreams.by_index.values(),
                self.probe,
                self.is_overdue,
                self.collect,
            ),
            takes_self=True,
        )
    )
    # Since when control replicas report upstreams as unreachable, by cookie.
    unreachable_since: dict[int, float] = attrs.field(factory=dict)

    def handle_silence(self, upstream, now):
        """Have a silent upstream and its data centre checked."""
        self.reachability.handle_silence(upstream, now)
        if not self.is_lost(upstream, now):
            self.report_silence(upstream, now)

    def set_unreachable(self, cookies, now):
        """Apply the cookies of unreachable upstreams; return whether there are new ones."""
        new = cookies - self.unreachable_since.keys()
        since = now - UNREACHABLE_REPORT_SECONDS
        self.unreachable_since = {c: self.unreachable_since.get(c, since) for c in cookies}
        return bool(new)

    def is_lost(self, upstream, now):
        """Return whether packets to an upstream are lost."""
        return self.reachability.is_cut(upstream) or self.is_unreachable(upstream, now)

    def is_overdue(self, upstream, silence, now):
        """Return whether an upstream would have answered if packets reached it."""
        if self.is_unreachable(upstream, now):
            return True
        return self.failures.is_overdue(upstream, silence, now - silence.sent_at)

    def is_unreachable(self, upstream, now):
        """Return whether control replicas report an upstream that has not answered since."""
        since = self.unreachable_since.get(upstream.cookie)
        if since is None:
            return False
        # An upstream that answers here is not lost: the replica may be the one cut off.
        return upstream.answered_at < max(since, now - HEALTHY_ANSWER_SECONDS)

    def find(self, now):
        """Return the lost upstreams with flows of this instance."""
        if not (self.reachability.cut_since or self.unreachable_since):
            return []
        upstreams = self.upstreams.by_index.values()
        return [u for u in upstreams if u.flows and self.is_lost(u, now)]
