"""
Show that each proof fails without its mechanism.

Each mutant leaves one mechanism out of a scratch copy of the tree and runs the
test that stands for it: the test must fail. Prints JSON lines.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import fire

ROOT = Path(__file__).parent.parent
TEST_SECONDS = 300
WORKERS = 4


@attrs.frozen
class Mutant:
    """A mechanism, the source that carries it, and the test that must miss it."""

    name: str
    file: str
    old: str
    new: str
    test: str


CONSENSUS = "test_consensus.py"
DOCUMENTS = "test_documents.py"
LEADERSHIP = "test_leadership.py"
STEERING = "test_steering.py"
FLOWS = "test_flows.py"
REQUESTS = "test_requests.py"
SPREADING = "test_spreading.py"
MUTANTS = (
    Mutant(
        "lost disk counts at once",
        "coordination/recovery.py",
        "    if not message.empty:\n        start_recovering(replica)\n        return",
        "    if not message.empty:\n        start_full(replica, now)\n        return",
        f"{CONSENSUS}::TestLostDisks",
    ),
    Mutant(
        "readmitted without holding what was accepted",
        "coordination/recovery.py",
        "if not progress.recovering or progress.match < progress.target:",
        "if not progress.recovering:",
        f"{CONSENSUS}::TestLostDisks",
    ),
    Mutant(
        "no check of the base revision",
        "coordination/configuration.py",
        "if change.base_revision != revision and not change.ignore_base:",
        "if False:",
        f"{CONSENSUS}::TestOperators",
    ),
    Mutant(
        "answers are not remembered",
        "coordination/configuration.py",
        "        self.remember(self.results, change.change_id, result)",
        "",
        f"{CONSENSUS}::TestAcceptedConfiguration",
    ),
    Mutant(
        "answers are not in snapshots",
        "coordination/replication.py",
        "results=list(machine.results.values()),",
        "results=[],",
        f"{CONSENSUS}::TestOperators",
    ),
    Mutant(
        "no lease of the leader",
        "coordination/replica.py",
        "now - p.acked_at < LEASE_SECONDS",
        "True",
        f"{CONSENSUS}::TestIsolatedLeader",
    ),
    Mutant(
        "votes are not stored",
        "coordination/elections.py",
        "        replica.hard.voted_for = sender\n        replica.save_hard_state()",
        "        replica.hard.voted_for = sender",
        f"{CONSENSUS}::TestVotes",
    ),
    Mutant(
        "damage is read as a cut tail",
        "coordination/storage.py",
        'raise StorageError(f"damaged record at byte {offset} of {name}", "read log")',
        "break",
        "test_storage.py::TestDamage",
    ),
    Mutant(
        "a cut tail is not dropped",
        "coordination/storage.py",
        "            os.truncate(log_path, used)",
        "            pass",
        "test_storage.py::TestTail",
    ),
    Mutant(
        "no sync before the answer",
        "coordination/storage.py",
        "    sync(file.fileno())",
        "    pass",
        "test_storage.py::TestFailingDisk",
    ),
    Mutant(
        "pins are not handed over",
        "flows/transitions.py",
        "        if owner and self.pins.shards[shard]:",
        "        if False:",
        FLOWS,
    ),
    Mutant(
        "nobody is asked for a pin",
        "flows/streams.py",
        "previous = [] if self.pins.get(key) else self.previous(key & SHARD_MASK)",
        "previous = []",
        f"{FLOWS}::TestSlowHandover",
    ),
    Mutant(
        "pins off the rule are not copied",
        "flows/handover.py",
        "            message.pins = self.group(self.take(transfer.copies))",
        "            self.take(transfer.copies)",
        f"{FLOWS}::TestDeaths",
    ),
    Mutant(
        "expired leases are used on",
        "flows/streams.py",
        "        return upstream if upstream.is_serving(now) else None",
        "        return upstream",
        f"{FLOWS}::TestChangedService",
    ),
    Mutant(
        "the service of a pin is not checked",
        "flows/streams.py",
        "if upstream is None or upstream.service != service.name:",
        "if upstream is None:",
        f"{FLOWS}::TestCollidingKeys",
    ),
    Mutant(
        "drains are not followed",
        "flows/upstreams.py",
        "        if self.drained or self.registration.draining:",
        "        if False:",
        f"{FLOWS}::TestDrain",
    ),
    Mutant(
        "no claims",
        "flows/requests.py",
        "        if exchange.request.idempotent:\n            self.admit(exchange, now)\n"
        "            return\n        exchange.state = State.CLAIMING",
        "        self.admit(exchange, now)\n        return\n"
        "        exchange.state = State.CLAIMING",
        f"{REQUESTS}::TestRequests",
    ),
    Mutant(
        "recorders without memory count",
        "flows/claims.py",
        "            claim.recorded += message.informed",
        "            claim.recorded += 1",
        "test_claims.py",
    ),
    Mutant(
        "a claim needs one recorder",
        "flows/claims.py",
        "        needed = len(group) // 2 + 1",
        "        needed = 1",
        "test_claims.py",
    ),
    Mutant(
        "holders have no incarnation",
        "flows/claims.py",
        'return f"{name}#{incarnation}"',
        'return f"{name}#1"',
        f"{REQUESTS}::TestDuplicates",
    ),
    Mutant(
        "duplicates are not known",
        "flows/requests.py",
        "        if known is not None and known.expires_at > now:",
        "        if False:",
        f"{REQUESTS}::TestDuplicates",
    ),
    Mutant(
        "silence counts as not run",
        "flows/requests.py",
        "        else:\n            self.give_up(exchange, now)\n\n    def give_up",
        "        else:\n            self.refuse(exchange, now)\n\n    def give_up",
        f"{REQUESTS}::TestRequests",
    ),
    Mutant(
        "silence is waited out",
        "flows/requests.py",
        "            now + self.admission.patience(exchange, now), exchange.deadline",
        "            exchange.deadline, exchange.deadline",
        f"{REQUESTS}::TestGivingUp",
    ),
    Mutant(
        "no retry budget",
        "flows/limits.py",
        "        if self.tokens < 1:\n            return False",
        "",
        f"{REQUESTS}::TestRetries",
    ),
    Mutant(
        "later blocks are placed anew",
        "flows/requests.py",
        "        if exchange.request.continues:\n"
        "            self.continue_blocks(exchange, now)\n            return",
        "",
        f"{REQUESTS}::TestBlocks",
    ),
    Mutant(
        "a revision is applied when it is held",
        "coordination/spreading.py",
        "        if backed or not neighbours:",
        "        if True:",
        f"{SPREADING}::TestRestartWithoutDisk",
    ),
    Mutant(
        "an instance serves before it has asked",
        "coordination/spreading.py",
        "        if not self.ready or self.held.revision <= self.applied.revision:",
        "        if self.held.revision <= self.applied.revision:",
        f"{SPREADING}::TestRestartWithoutDisk",
    ),
    Mutant(
        "lower revisions are taken",
        "coordination/spreading.py",
        "            if message.configuration.revision > self.held.revision:",
        "            if True:",
        f"{SPREADING}::TestLateNews",
    ),
    Mutant(
        "frames may be replayed",
        "schema/frames.py",
        "        if sequence <= floor or sequence in self.seen:",
        "        if False:",
        "test_inputs.py::TestFrames",
    ),
    Mutant(
        "whole configurations: content under a held number is taken",
        "coordination/configuration.py",
        "accepted = change.target_revision > self.configuration.revision",
        "accepted = change.target_revision >= self.configuration.revision",
        f"{DOCUMENTS}::TestNumbers",
    ),
    Mutant(
        "whole configurations: lower numbers are taken",
        "coordination/configuration.py",
        "accepted = change.target_revision > self.configuration.revision",
        "accepted = True",
        f"{DOCUMENTS}::TestAcceptedDocuments",
    ),
    Mutant(
        "whole configurations: reads need no round",
        "coordination/reads.py",
        "return replica.is_quorum(sum(acked >= number for acked in rounds))",
        "return True",
        f"{DOCUMENTS}::TestReads",
    ),
    Mutant(
        "whole configurations: learners count",
        "coordination/replica.py",
        "            if name in self.members and not progress.recovering",
        "            if not progress.recovering",
        f"{LEADERSHIP}::TestLearners",
    ),
    Mutant(
        "whole configurations: nobody is replaced",
        "coordination/replacement.py",
        "if not can_propose(replica, now):",
        "if True:",
        f"{LEADERSHIP}::TestReplacement",
    ),
    Mutant(
        "whole configurations: a freeze is not noted",
        "coordination/consensus.py",
        "    replica.trusted_from = now + BACKLOG_SECONDS\n",
        "",
        f"{DOCUMENTS}::TestThaw",
    ),
    Mutant(
        "cookies: who drains gets new flows",
        "flows/upstreams.py",
        "if self.drained or self.registration.draining:",
        "if self.drained:",
        f"{STEERING}::TestSteeredFlows",
    ),
    Mutant(
        "cookies: replaced upstreams are used on",
        "flows/steering.py",
        "        if upstream.is_gone(now):",
        "        if False:",
        f"{STEERING}::TestSteeredFlows",
    ),
    Mutant(
        "cookies: a shared cookie names the first",
        "flows/cookies.py",
        "            self.ambiguous.add(cookie)\n",
        "",
        f"{STEERING}::TestReusedAddress",
    ),
    Mutant(
        "cookies: silent upstreams are not left",
        "flows/steering.py",
        "        self.leave_silent(now)\n",
        "",
        "test_silence.py::TestSilence",
    ),
    Mutant(
        "feeds: farewells are acknowledged at once",
        "control.py",
        "if is_news and (registration.draining or registration.leaving):",
        "if False:",
        "test_feeds.py::TestUpstreams",
    ),
    Mutant(
        "feeds: a start waits for nobody",
        "coordination/spreading.py",
        "START_SECONDS = 2.0",
        "START_SECONDS = 0.0",
        "test_feeds.py::TestSettings",
    ),
    Mutant(
        "configurations are not checked",
        "platform/documents.py",
        "    check_document(value)\n",
        "",
        "test_platform.py::TestConfigurations",
    ),
    Mutant(
        "cuts: too few upstreams do not matter",
        "entry.py",
        "return not has_own_share(self.upstreams, self.data_centre, services, now)",
        "return False",
        "test_isolation.py::TestReadinessInACut",
    ),
    Mutant(
        "cuts: replicas alone are a cut",
        "entry.py",
        "if reaches_others(self.upstreams, self.data_centre, now):",
        "if False:",
        "test_isolation.py::TestReadinessInACut",
    ),
    Mutant(
        "cuts: leases run out without control",
        "coordination/subscriptions.py",
        "return max(heard_at, now - BLIND_SECONDS)",
        "return now",
        "test_feeds.py::TestUpstreams",
    ),
    Mutant(
        "silence: moved flows are reset",
        "flows/steering.py",
        "if packet is None or flow.seen_at < self.moved_at:",
        "if packet is None:",
        "test_silence.py::TestSilence",
    ),
    Mutant(
        "silence: old acknowledgements are answers",
        "flows/evidence.py",
        "note_answer(flow.upstream, flow.sent_at if is_old else now)",
        "note_answer(flow.upstream, now)",
        "test_silence.py::TestSilence",
    ),
    Mutant(
        "silence: evidence never ends",
        "flows/evidence.py",
        "return is_silent(upstream, now) and now - upstream.failed_at < REPEATED_SECONDS",
        "return is_silent(upstream, now)",
        "test_silence.py::TestSilence",
    ),
    Mutant(
        "recovery: open flows wait for settings",
        "flows/steering.py",
        "return not packet.opens and self.follow(packet, UNKNOWN_DOOR, now)",
        "return False",
        f"{STEERING}::TestHeld",
    ),
    Mutant(
        "recovery: commits are told with heartbeats",
        "coordination/replication.py",
        "            replica.heartbeat_at = now\n",
        "            pass\n",
        f"{LEADERSHIP}::TestCommit",
    ),
    Mutant(
        "logs: no budget",
        "logs/queue.py",
        "return allowance.lines <= event.per_second",
        "return True",
        "test_logs.py::TestVolume",
    ),
    Mutant(
        "logs: the output blocks",
        "logs/queue.py",
        "while self.buffer and self.is_writable(seconds):",
        "while self.buffer:",
        "test_logs.py::TestWriter",
    ),
)


def run_mutant(mutant):
    """Return what became of a mutant's test: the JSON line."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignored = shutil.ignore_patterns(".venv", ".git", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / "lycheevalve" / mutant.file
        source = path.read_text()
        if source.count(mutant.old) != 1:
            return {"mutant": mutant.name, "result": "not applied"}
        path.write_text(source.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "pytest", "-x", f"lycheevalve/tests/{mutant.test}"]
        try:
            done = subprocess.run(
                command, cwd=copy, capture_output=True, text=True, timeout=TEST_SECONDS
            )
            result = {0: "survived", 1: "failed as it should"}.get(done.returncode, "error")
            failed = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
        except subprocess.TimeoutExpired:
            result, failed = "timeout", []
    return {"mutant": mutant.name, "test": mutant.test, "result": result, "failed": failed[:1]}


def mutants(only=""):
    """
    Run all mutants, or those whose names contain ONLY.

    Example: python -m bench.mutants --only claims
    """
    chosen = [mutant for mutant in MUTANTS if only in mutant.name]
    missed = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        for line in pool.map(run_mutant, chosen):
            print(json.dumps(line), flush=True)
            missed += line["result"] != "failed as it should"
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    fire.Fire(mutants, serialize=lambda _: None)
