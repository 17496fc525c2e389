"""
Requests of CoAP front doors, from arrival to their final reply.

`TRANSITIONS` is the state machine of an exchange. A 5.03 reply, which states that
the request was not run, is sent only if the request was never sent to an upstream
or the upstream refused it. If it was sent and no answer came, the outcome is
unknown and the reply is 5.04.
"""

import collections

import attrs
from aiocoap.numbers import codes, types

from lycheevalve.flows import coap, load
from lycheevalve.flows.exchanges import Event, Exchange, State, identify
from lycheevalve.flows.keys import claim_key, flow_key, request_key

MAX_QUEUED_REQUESTS = 256
UNKNOWN_RETRY_AFTER_SECONDS = 2


@attrs.define
class Requests:
    """
    The exchanges of one instance.

    `send_to_upstream(upstream, datagram)` and `send_to_caller(datagram)` send a
    datagram; `relay(holder, datagram)` sends a duplicate to the holder of its claim and
    returns False if the holder is unreachable; `claim_group(key)` returns the claim
    group of a key's shard; `observe(name, *details)` counts an event. `lifetime` is how
    long an exchange is kept for duplicates, in seconds.
    """

    upstreams: object
    pins: object
    claims: object
    send_to_upstream: object
    send_to_caller: object
    relay: object
    claim_group: object
    admission: object
    observe: object
    random: object
    lifetime: float
    exchanges: dict = attrs.field(factory=dict)
    by_token: dict = attrs.field(factory=dict)
    # The exchanges that were sent to an upstream and not answered, by identity.
    sent: dict = attrs.field(factory=dict)
    queues: dict = attrs.field(factory=dict)

    def handle_request(self, packet, service, now, directed=False):
        """
        Handle a datagram of a caller.

        A `directed` one is a duplicate, relayed by another instance because this
        one holds its claim. If this instance has no exchange for it, the outcome of
        the request is unknown.
        """
        endpoints, header, payload = packet.endpoints, packet.header, packet.payload
        message = coap.decode_message(payload)
        if not message.code.is_request():
            self.handle_empty(header, message)
            return
        request = coap.parse_request(message)
        existing = self.exchanges.get(identify(endpoints, request))
        if existing is not None and existing.expires_at > now:
            self.answer_duplicate(existing, now)
            return
        limit = service.deadline_ms
        if request.deadline_ms is not None:
            limit = min(limit, request.deadline_ms)
        exchange = Exchange(
            endpoints=endpoints,
            header=header,
            request=request,
            service=service,
            key=request_key(flow_key(endpoints), request.path),
            arrived_at=now,
            deadline=now + limit / 1000,
            datagram=packet.datagram,
            expires_at=now + self.lifetime,
        )
        self.exchanges[exchange.identity] = exchange
        self.by_token[endpoints, request.token] = exchange
        self.handle_event(exchange, Event.RECORD_MISSING if directed else Event.ARRIVED, now)

    def handle_empty(self, header, message):
        """Answer a CoAP ping with a Reset; ignore other messages without a request."""
        if message.mtype is types.CON:
            self.send_to_caller(header + coap.encode_reset(message.mid))

    def answer_duplicate(self, exchange, now):
        """Answer a duplicate from its exchange, or relay it to the holder of its claim."""
        if exchange.is_final:
            self.send_to_caller(exchange.header + exchange.reply)
        elif exchange.state is State.RELAYED:
            self.relay(exchange.holder, exchange.datagram)

    def handle_event(self, exchange, event, now):
        """Run the transition of an event; ignore a late event, which has none."""
        transition = TRANSITIONS.get((exchange.state, event))
        if transition is not None:
            transition(self, exchange, now)

    # Transitions.

    def handle_arrival(self, exchange, now):
        """Claim a non-idempotent request; admit an idempotent one."""
        self.admission.budget(exchange.service).add_credit()
        if exchange.request.idempotent:
            self.admit(exchange, now)
            return
        exchange.state = State.CLAIMING
        request = exchange.request
        key = claim_key(exchange.endpoints, request.message_id, request.token)

        def on_done(holder, at):
            event = {"": Event.UNCLAIMED, self.claims.holder: Event.CLAIMED}.get(holder)
            exchange.holder = holder
            self.handle_event(exchange, event or Event.HELD_ELSEWHERE, at)

        self.claims.acquire(key, self.claim_group(exchange.key), on_done, now)

    def admit(self, exchange, now):
        """Send, queue or refuse a request that was not run yet."""
        if exchange.request.is_later_block:
            self.continue_block_transfer(exchange, now)
            return
        candidates = self.admission.candidates(exchange, now)
        upstream = self.admission.choose_with_capacity(exchange, candidates, now)
        queue = self.queue(exchange.service)
        if upstream is not None and not queue:
            self.dispatch(exchange, upstream, now)
        elif len(queue) < MAX_QUEUED_REQUESTS and self.admission.can_meet_deadline(
            exchange, candidates, len(queue), now
        ):
            exchange.state = State.QUEUED
            queue.append(exchange)
        else:
            self.refuse(exchange, now)

    def continue_block_transfer(self, exchange, now):
        """Send a later block to the upstream of the earlier ones, or end the transfer."""
        upstream = self.upstreams.by_index.get(self.pins.get(exchange.key))
        if self.is_still_serving(exchange, upstream, now):
            self.dispatch(exchange, upstream, now)
        else:
            code = codes.REQUEST_ENTITY_INCOMPLETE
            self.finish(exchange, State.ANSWERED, code, now)

    @staticmethod
    def is_still_serving(exchange, upstream, now):
        """Return whether the pinned upstream still serves the exchange's service."""
        if upstream is None or upstream.service != exchange.service.name:
            return False
        return upstream.is_serving(now)

    def dispatch(self, exchange, upstream, now):
        """Send a request to an upstream."""
        exchange.state = State.SENT
        exchange.upstream = upstream
        exchange.sent_at = now
        exchange.attempts += 1
        exchange.tried.add(upstream.index)
        exchange.times_out_at = min(
            now + self.admission.response_timeout(exchange, now), exchange.deadline
        )
        self.sent[exchange.identity] = exchange
        upstream.outstanding += 1
        upstream.requests_since_report += 1
        self.pins.put(exchange.key, upstream, int(now))
        message = exchange.request.message
        coap.set_deadline(message, max(1, int((exchange.deadline - now) * 1000)))
        self.send_to_upstream(upstream, exchange.header + message.encode())

    def retry_or(self, exchange, now, fallback):
        """Send to another upstream within the retry budget, else call `fallback`."""
        upstream = self.admission.choose_for_retry(exchange, now)
        if upstream is None:
            fallback(exchange, now)
            return
        self.observe("retried")
        self.dispatch(exchange, upstream, now)

    def handle_shed(self, exchange, now):
        """Retry a request that its upstream refused to run, else refuse it."""
        self.release(exchange)
        self.retry_or(exchange, now, self.refuse)

    def handle_timeout(self, exchange, now):
        """Handle a request without an answer, and cancel it at its upstream."""
        upstream = exchange.upstream
        load.record_failure(upstream, now)
        load.update_latency(upstream, now - exchange.sent_at)
        reset = coap.encode_reset(exchange.request.message_id)
        self.send_to_upstream(upstream, exchange.header + reset)
        self.handle_loss(exchange, now)

    def handle_loss(self, exchange, now):
        """Retry a lost request if it is idempotent; else its outcome is unknown."""
        self.release(exchange)
        if exchange.request.idempotent:
            self.retry_or(exchange, now, self.finish_unknown)
        else:
            self.finish_unknown(exchange, now)

    def finish_unknown(self, exchange, now):
        """Reply that the outcome of a request is unknown."""
        self.finish(
            exchange,
            State.UNKNOWN,
            codes.GATEWAY_TIMEOUT,
            now,
            max_age=load.jittered_retry_after(UNKNOWN_RETRY_AFTER_SECONDS, self.random),
        )

    def refuse(self, exchange, now):
        """Reply that a request was not run, and when to retry."""
        ahead = len(self.queue(exchange.service))
        wait = self.admission.estimate_queue_wait(exchange, ahead, now)
        retry_after = load.jittered_retry_after(wait, self.random)
        self.finish(exchange, State.REFUSED, coap.NOT_RUN, now, max_age=retry_after)

    def relay_to_holder(self, exchange, now):
        """Relay a request to the holder of its claim, which answers it."""
        exchange.state = State.RELAYED
        if not self.relay(exchange.holder, exchange.datagram):
            self.finish_unknown(exchange, now)

    def finish(self, exchange, state, code, now, max_age=None):
        """Complete an exchange with a reply of this instance."""
        request = exchange.request
        confirmable = request.message.mtype is types.CON
        reply = coap.encode_reply(
            request.message_id, request.token, code, max_age=max_age, confirmable=confirmable
        )
        self.close(exchange, state, reply, now)

    def close(self, exchange, state, reply, now):
        """Store the final reply for duplicates, and send it."""
        exchange.state = state
        exchange.reply = reply
        exchange.expires_at = now + self.lifetime
        self.observe(state.value, exchange.service.name, now - exchange.arrived_at)
        self.send_to_caller(exchange.header + reply)

    def release(self, exchange):
        """Stop counting an exchange as outstanding at its upstream."""
        del self.sent[exchange.identity]
        exchange.upstream.outstanding -= 1
        exchange.upstream.requests_since_report -= 1

    # Answers of upstreams.

    def handle_answer(self, upstream, packet, now):
        """Handle a datagram of an upstream."""
        message = coap.decode_message(packet.payload)
        if not message.code.is_response():
            return
        if message.mtype is types.CON:
            empty = coap.Message(_mtype=types.ACK, _mid=message.mid, code=codes.EMPTY)
            self.send_to_upstream(upstream, packet.header + empty.encode())
        exchange = self.by_token.get((packet.endpoints, message.token))
        if exchange is None or exchange.upstream is not upstream:
            self.observe("late_answers")
            return
        if exchange.state is not State.SENT:
            self.observe("late_answers")
            return
        if message.code == coap.NOT_RUN:
            load.record_failure(upstream, now)
            self.handle_event(exchange, Event.SHED, now)
            return
        upstream.failures = 0.0
        upstream.answers += 1
        load.update_latency(upstream, now - exchange.sent_at)
        exchange.reply = message
        self.handle_event(exchange, Event.ANSWER, now)

    def forward_answer(self, exchange, now):
        """Forward an upstream's answer as the final reply, and dispatch from the queue."""
        self.release(exchange)
        message = exchange.reply
        if exchange.request.message.mtype is types.CON:
            reply = coap.encode_piggybacked(message, exchange.request.message_id)
        else:
            reply = message.encode()
        self.close(exchange, State.ANSWERED, reply, now)
        self.dispatch_queued(self.queue(exchange.service), now)

    # Timers.

    def tick(self, now):
        """Detect timeouts and lost upstreams, then dispatch queued requests."""
        for exchange in list(self.sent.values()):
            self.check_sent(exchange, now)
        for queue in self.queues.values():
            self.dispatch_queued(queue, now)

    def check_sent(self, exchange, now):
        """Raise the event of a sent exchange whose upstream is lost or timed out."""
        upstream = exchange.upstream
        if not upstream.is_serving(now):
            self.handle_event(exchange, Event.UPSTREAM_LOST, now)
        elif now >= exchange.times_out_at:
            self.handle_event(exchange, Event.TIMEOUT, now)

    def dispatch_queued(self, queue, now):
        """Dispatch queued requests in order; refuse those that cannot finish in time."""
        while queue:
            exchange = queue[0]
            candidates = self.admission.candidates(exchange, now)
            upstream = self.admission.choose_with_capacity(exchange, candidates, now)
            if not self.admission.can_meet_deadline(exchange, candidates, 0, now):
                queue.popleft()
                self.handle_event(exchange, Event.DEADLINE_UNREACHABLE, now)
            elif upstream is not None:
                queue.popleft()
                self.dispatch(exchange, upstream, now)
            else:
                return

    def evict_expired(self, now):
        """Evict the final and relayed exchanges that have expired."""
        expired = [
            exchange
            for exchange in self.exchanges.values()
            if exchange.expires_at <= now
            and (exchange.is_final or exchange.state is State.RELAYED)
        ]
        for exchange in expired:
            del self.exchanges[exchange.identity]
            token = exchange.endpoints, exchange.request.token
            if self.by_token.get(token) is exchange:
                del self.by_token[token]

    def count_unfinished(self):
        """Return how many exchanges have no final reply yet."""
        unfinished = (State.NEW, State.CLAIMING, State.QUEUED, State.SENT)
        return sum(exchange.state in unfinished for exchange in self.exchanges.values())

    def queue(self, service):
        """Return the queue of a service."""
        return self.queues.setdefault(service.name, collections.deque())


TRANSITIONS = {
    (State.NEW, Event.ARRIVED): Requests.handle_arrival,
    (State.NEW, Event.RECORD_MISSING): Requests.finish_unknown,
    (State.CLAIMING, Event.CLAIMED): Requests.admit,
    (State.CLAIMING, Event.HELD_ELSEWHERE): Requests.relay_to_holder,
    (State.CLAIMING, Event.UNCLAIMED): Requests.finish_unknown,
    (State.QUEUED, Event.DEADLINE_UNREACHABLE): Requests.refuse,
    (State.SENT, Event.ANSWER): Requests.forward_answer,
    (State.SENT, Event.SHED): Requests.handle_shed,
    (State.SENT, Event.TIMEOUT): Requests.handle_timeout,
    (State.SENT, Event.UPSTREAM_LOST): Requests.handle_loss,
}
