"""Mutants of failure evidence, evacuations, cold upstreams and the schedule of the link."""

from bench.mutations import Mutant

EVACUATIONS = "test_evacuations.py"
EVIDENCE = "test_failure_evidence.py"
SCHEDULER = "test_link_scheduler.py"
CHECKS = "test_upstream_checks.py"
LOCALITY = "test_locality.py"
REACHABILITY = "test_reachability.py"
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
        "flows/upstreams.py",
        "if not self.is_warming_up(u, now, report_seconds)]",
        "if True]",
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
    Mutant(
        "load: a dead replica suffices for a cut",
        "flows/reachability.py",
        "            if upstreams.get(name) and count >= MIN_WITNESSES",
        "            if count",
        f"{REACHABILITY}::TestOtherFailures",
    ),
    Mutant(
        "load: answers of upstreams do not refute a cut",
        "flows/reachability.py",
        "{n for n, at in last_answers.items() if at >= self.started_at}",
        "set()",
        f"{REACHABILITY}::TestOtherFailures",
    ),
    Mutant(
        "load: dead replicas everywhere are taken for cuts",
        "flows/reachability.py",
        "        if not answered:",
        "        if False:",
        f"{REACHABILITY}::TestOtherFailures",
    ),
    Mutant(
        "load: the time of a pause counts as silence",
        "flows/reachability.py",
        "        if is_late or now - self.probed_at > LATE_TICK_SECONDS:",
        "        if False:",
        f"{REACHABILITY}::TestOtherFailures",
    ),
    Mutant(
        "load: flows across a cut are kept",
        "flows/flow_resets.py",
        '    "upstream_cut_off": find_lost_flows,\n',
        "",
        "test_flow_resets.py::TestFlowsAcrossTheCut",
    ),
    Mutant(
        "load: idle flows push new ones into other data centres",
        "flows/locality.py",
        "return near if self.has_room(near[0].service, slots, instances, now) else upstreams",
        "return upstreams",
        f"{LOCALITY}::TestLongFlows",
    ),
    Mutant(
        "load: a full data centre keeps its flows",
        "flows/locality.py",
        "return near if self.has_room(near[0].service, slots, instances, now) else upstreams",
        "return near",
        f"{LOCALITY}::TestSelection",
    ),
    Mutant(
        "load: findings of a replica reach its own subscribers only",
        "control.py",
        "                self.checks.adopt(sender, message.unreachable or ())",
        "                pass",
        f"{CHECKS}::TestDataCentre",
    ),
    Mutant(
        "load: replicas confirm each other's findings",
        "coordination/feeds.py",
        "else self.checks.list_found()",
        "else self.checks.list_unreachable()",
        f"{CHECKS}::TestDataCentre",
    ),
    Mutant(
        "load: an upstream that answers here counts as lost",
        "flows/lost_upstreams.py",
        "        return upstream.answered_at < max(since, now - HEALTHY_ANSWER_SECONDS)",
        "        return True",
        f"{CHECKS}::TestDataCentre",
    ),
    Mutant(
        "load: an unreachable upstream is checked once",
        "coordination/upstream_checks.py",
        "                self.start(cookie, now)",
        "                pass",
        f"{CHECKS}::TestDataCentre",
    ),
    Mutant(
        "load: a failed check suffices",
        "coordination/upstream_checks.py",
        "            if self.accepts_connections(self.find_upstream(cookie).service, now)",
        "",
        f"{CHECKS}::TestServiceWithoutConnections",
    ),
    Mutant(
        "load: a data centre with room for its callers leaves the rotation",
        "flows/isolation.py",
        "        if not has_share and not (slots and has_room(service, slots, now)):",
        "        if not has_share:",
        "test_isolation.py::TestReadinessDuringPartition",
    ),
    Mutant(
        "load: earlier instances are answered again and again",
        "coordination/feeds.py",
        "        if 0 < poll.unreachable_known <= self.checks.number:",
        "        if poll.unreachable_known <= self.checks.number:",
        "test_rolling_update.py::TestFindingsOfReplicas",
    ),
)
