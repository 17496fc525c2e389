"""Parts of the commands: output as JSON, and the revisions in force."""

import json
import types

import pytest
import trio
import trio.testing

from lycheevalve.commands import output
from lycheevalve.commands.client import find_revisions_in_force, merge_statuses
from lycheevalve.daemon import instance as daemon_instance
from lycheevalve.daemon.events import Batch
from lycheevalve.daemon.instance import PAUSE_THRESHOLD_SECONDS, InstanceProcess
from lycheevalve.daemon.udp_socket import UdpSocket
from lycheevalve.exceptions import UnavailableError
from lycheevalve.flows.admission import Admission
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.schema.generated.messages import (
    Change,
    Configuration,
    InstanceStatus,
    Status,
    StatusRequest,
)
from lycheevalve.schema.generated.settings import FrontDoor, Service
from lycheevalve.tests.fakes.entry import build_registration


def build_status(instances):
    """Return the status that instance a1 reports."""
    return Status("a1", instances=instances, configuration=Configuration(7))


class TestOutput:
    """Results of commands as JSON."""

    def test_configuration_with_a_document_is_printed(self, capsys):
        services = [Service("nightsync", [FrontDoor("192.0.2.1:5683", "coap")], ["dc1"])]
        output.print_result(Configuration(3, services, document=b"\xff\x00"), [], True)
        printed = json.loads(capsys.readouterr().out)
        assert printed["services"][0]["front_doors"][0]["address"] == "192.0.2.1:5683"
        assert printed["document"] == "/wA="


class TestRevisionsInForce:
    """The lowest revision of the live instances of each data centre."""

    @pytest.mark.parametrize("state", ["left", "dead"])
    def test_gone_instance_does_not_count(self, state):
        """It is reported by the others, with the last revision that it applied."""
        instances = [
            InstanceStatus("a1", "dc1", "alive", 7, ""),
            InstanceStatus("a2", "dc1", state, 5, ""),
        ]
        merged = merge_statuses([build_status(instances)])
        assert find_revisions_in_force(merged) == {"dc1": 7}

    def test_live_instance_that_does_not_answer_counts(self):
        instances = [
            InstanceStatus("a1", "dc1", "alive", 7, ""),
            InstanceStatus("a2", "dc1", "alive", 5, ""),
        ]
        merged = merge_statuses([build_status(instances)])
        assert find_revisions_in_force(merged) == {"dc1": 5}


class TestInstanceProcess:
    """Events and errors of the process of an instance."""

    def test_resumed_process_logs_the_length_of_the_pause(self, monkeypatch):
        records = []
        monkeypatch.setattr(daemon_instance, "record", lambda name, **f: records.append(f))
        process = types.SimpleNamespace(
            instance=types.SimpleNamespace(observed_at=0.0),
            udp_socket=types.SimpleNamespace(discard_backlog=lambda: 2),
        )
        process.instance.observe_time = lambda now: setattr(
            process.instance, "observed_at", now
        )

        async def run():
            process.instance.observed_at = trio.current_time() - 2 * PAUSE_THRESHOLD_SECONDS
            await InstanceProcess.handle_batch(process, Batch([(b"abc", None)]))

        trio.run(run, clock=trio.testing.MockClock())
        assert records == [{"gap_ms": 2000 * PAUSE_THRESHOLD_SECONDS, "dropped": 3}]

    @pytest.mark.parametrize(
        ("message", "step"), [(StatusRequest(), "status"), (Change("c1"), "propose")]
    )
    def test_timeout_names_the_step(self, message, step):
        process = types.SimpleNamespace(settings=types.SimpleNamespace(name="a1"))

        async def run():
            inbox, _receiver = trio.open_memory_channel(1)
            process.inbox = process.replica_inbox = inbox
            process.ask = lambda *arguments: InstanceProcess.ask(process, *arguments)
            await InstanceProcess.handle_link_message(process, "a2", message)

        with pytest.raises(UnavailableError) as raised:
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert raised.value.step == step


class TestUdpSocket:
    """The socket of a process after errors of earlier datagrams."""

    def test_backlog_is_discarded_past_an_error(self):
        results = [b"one", ConnectionRefusedError(), b"two", b"three"]

        def receive(_):
            if not results:
                raise BlockingIOError
            result = results.pop(0)
            if isinstance(result, Exception):
                raise result
            return result, ("192.0.2.1", 1)

        udp_socket = UdpSocket.__new__(UdpSocket)
        udp_socket.socket = types.SimpleNamespace(recvfrom=receive)
        udp_socket.dropped = 0
        assert udp_socket.discard_backlog() == 3
        assert udp_socket.dropped == 1


class TestQueueWait:
    """The estimated wait in a refusal counts the queues of all owners."""

    def test_wait_grows_with_the_owners(self):
        upstreams = Upstreams()
        upstreams.update(build_registration(1, slots=1), 0.0)
        service = types.SimpleNamespace(name="nightsync", warm_up_seconds=0)
        exchange = types.SimpleNamespace(service=service, tried=set(), deadline=100.0)
        waits = [
            Admission(upstreams, lambda owners=owners: owners, None).estimate_queue_wait(
                exchange, 10, 1.0
            )
            for owners in (1, 4)
        ]
        latency = next(iter(upstreams.by_index.values())).latency
        assert waits[1] - waits[0] == pytest.approx(30 * latency)
