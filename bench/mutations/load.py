"""Mutants of failure evidence, evacuations, cold upstreams and the schedule of the link."""

from bench.mutations import Mutant

EVACUATIONS = "test_evacuations.py"
EVIDENCE = "test_failure_evidence.py"
SCHEDULER = "test_link_scheduler.py"
LOAD_MUTANTS = (
    Mutant(
        "load: evacuated upstreams get new flows",
        "flows/upstreams.py",
        "if self.drained or self.evacuated or self.registration.draining:",
        "if self.drained or self.registration.draining:",
        f"{EVACUATIONS}::TestInForce",
    ),
    Mutant(
        "load: a replica that is behind reverses an order",
        "coordination/evacuations.py",
        "if evacuations is None or evacuations.number <= self.number:",
        "if evacuations is None:",
        f"{EVACUATIONS}::TestInForce",
    ),
    Mutant(
        "load: a new document ends the evacuations",
        "coordination/configuration.py",
        "change.target_revision, document=change.document, evacuations=evacuations",
        "change.target_revision, document=change.document",
        f"{EVACUATIONS}::TestOrders",
    ),
    Mutant(
        "load: cold upstreams get new flows",
        "flows/cookie_routing.py",
        "if not self.upstreams.is_warming_up(upstream, now, report_seconds)",
        "if True",
        f"{EVACUATIONS}::TestColdUpstreams",
    ),
    Mutant(
        "load: packets in the own link count against the upstream",
        "flows/failure_evidence.py",
        "    return until - max(left_by, answered_at)",
        "    return until - max(silence.sent_at, answered_at)",
        f"{EVIDENCE}::TestDeliveries",
    ),
    Mutant(
        "load: one silent flow resets all",
        "flows/failure_evidence.py",
        "AGREEING_FLOWS = 2",
        "AGREEING_FLOWS = 1",
        f"{EVIDENCE}::TestFalseEvidence",
    ),
    Mutant(
        "load: a data centre that is cut off is not found",
        "flows/cookie_routing.py",
        "        self.find_silent_data_centres(now)\n",
        "",
        f"{EVIDENCE}::TestSilentDataCentre",
    ),
    Mutant(
        "load: answers to other instances' requests count",
        "flows/passive_health.py",
        "(flow.sent is not None and advances_acknowledgement(flow, packet))",
        "advances_acknowledgement(flow, packet)",
        "test_passive_health.py::TestUnresponsiveUpstream",
    ),
    Mutant(
        "load: copies of waiting packets are sent",
        "flows/link_scheduler.py",
        "        if identity in self.identities:\n",
        "        if False:\n",
        f"{SCHEDULER}::TestCopies",
    ),
    Mutant(
        "load: uploads get no share of a busy link",
        "flows/link_scheduler.py",
        "if bulk and self.bulk_credit >= QUANTUM_BYTES:",
        "if False:",
        f"{SCHEDULER}::TestUrgency",
    ),
    Mutant(
        "load: uploads are as urgent as requests",
        "flows/link_scheduler.py",
        "return BULK if route.uploads and packet.size else INTERACTIVE",
        "return INTERACTIVE",
        f"{SCHEDULER}::TestUrgency",
    ),
    Mutant(
        "load: one flow takes all turns of the link",
        "flows/link_scheduler.py",
        "                flows.move_to_end(key)\n                continue",
        "                continue",
        f"{SCHEDULER}::TestFairness",
    ),
)
