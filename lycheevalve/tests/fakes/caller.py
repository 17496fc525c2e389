"""Callers that run stream sessions, uploads and reports, and record their outcomes."""

import itertools
import random
import socket

import attrs
import trio
from aiocoap.numbers import codes, types

from lycheevalve.flows import coap
from lycheevalve.tests.fakes.upstream import build_report

RETRANSMIT_SECONDS = 0.6
MAX_RETRANSMITS = 5


@attrs.define
class Outcomes:
    """
    The outcomes of callers' sessions and requests.

    A request is answered, refused (5.03), of unknown outcome (5.04), lost (without an
    answer) or wrong (answered with other content than expected).
    """

    asked: int = 0
    answered: int = 0
    refused: set = attrs.field(factory=set)
    unknown: set = attrs.field(factory=set)
    lost: set = attrs.field(factory=set)
    wrong: set = attrs.field(factory=set)
    received: set = attrs.field(factory=set)
    broken_sessions: set = attrs.field(factory=set)
    sessions: int = 0
    # Sessions without an answer in the last 2 seconds before their end.
    unanswered_sessions: set = attrs.field(factory=set)
    latencies: list = attrs.field(factory=list)


async def run_session(name, front_door, seconds, interval, outcomes):
    """
    Send a session's packets for some seconds, and record which upstreams answer.

    `interval` is the time between two packets, in seconds.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await sock.connect(front_door)
    outcomes.sessions += 1
    servers = set()
    answered_at = start = trio.current_time()
    for number in itertools.count():
        if trio.current_time() - start > seconds:
            break
        # Number 0 opens the session, and is sent until it is answered.
        label = number if servers else 0
        await sock.send(f"S|{name}|{label}".encode())
        with trio.move_on_after(interval):
            while True:
                _, session, _, server = (await sock.recv(2048)).decode().split("|")
                if session != name:
                    outcomes.wrong.add(name)
                servers.add(server)
                answered_at = trio.current_time()
    if len(servers) != 1:
        outcomes.broken_sessions.add(name)
    if trio.current_time() - answered_at > 2.0:
        outcomes.unanswered_sessions.add(name)
    sock.close()


class Requester:
    """A caller that sends requests, with its message IDs and tokens."""

    def __init__(self, name, outcomes, seed):
        self.name = name
        self.outcomes = outcomes
        self.random = random.Random(seed)
        self.mids = itertools.count(self.random.randrange(60000))
        self.numbers = itertools.count()

    async def exchange(self, sock, message, payload, seconds):
        """Send a message until it is answered or times out; return the answer or None."""
        message.mtype = types.CON
        message.mid = next(self.mids) & 0xFFFF
        message.token = self.random.randbytes(4)
        message.payload = payload
        coap.set_deadline(message, int(seconds * 1000))
        data = message.encode()
        with trio.move_on_after(seconds):
            for attempt in range(MAX_RETRANSMITS + 1):
                await sock.send(data)
                with trio.move_on_after(RETRANSMIT_SECONDS * 1.5**attempt):
                    while True:
                        answer = coap.decode_message(await sock.recv(4096))
                        if answer.token == message.token and answer.code.is_response():
                            return answer
        return None

    async def upload(self, front_door, seconds=8.0):
        """Send one non-idempotent upload and record its outcome."""
        request = f"{self.name}-{next(self.numbers)}"
        outcomes = self.outcomes
        outcomes.asked += 1
        started = trio.current_time()
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            await sock.connect(front_door)
            message = coap.Message(code=codes.POST, uri_path=("uploads",))
            answer = await self.exchange(sock, message, request.encode(), seconds)
        if answer is None:
            outcomes.lost.add(request)
        elif answer.code == codes.SERVICE_UNAVAILABLE:
            outcomes.refused.add(request)
        elif answer.code == codes.GATEWAY_TIMEOUT:
            outcomes.unknown.add(request)
        elif answer.payload != request.encode():
            outcomes.wrong.add(request)
        else:
            outcomes.received.add(request)
            outcomes.answered += 1
            outcomes.latencies.append(trio.current_time() - started)

    async def fetch_report(self, front_door, blocks, seconds=5.0):
        """Fetch one report block by block and check it."""
        name = f"{self.name}-{next(self.numbers)}"
        outcomes = self.outcomes
        outcomes.asked += 1
        body, number, more = b"", 0, True
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            await sock.connect(front_door)
            while more:
                message = coap.Message(code=codes.GET, uri_path=("reports", name))
                message.opt.block2 = (number, False, 4)
                answer = await self.exchange(sock, message, name.encode(), seconds)
                if answer is None:
                    outcomes.lost.add(name)
                    return
                if answer.code != codes.CONTENT:
                    refused = answer.code != codes.GATEWAY_TIMEOUT
                    (outcomes.refused if refused else outcomes.unknown).add(name)
                    return
                body += answer.payload
                more = answer.opt.block2.more
                number += 1
        if body == build_report(name, blocks):
            outcomes.answered += 1
        else:
            outcomes.wrong.add(name)
