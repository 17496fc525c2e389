"""Client of the command-line tool for the instances of a site."""

import time

import attrs
import trio

from lycheevalve.config.files import raise_findings, read_key, read_toml
from lycheevalve.config.options import Findings, read_table
from lycheevalve.config.site import SITE_OPTIONS
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.daemon.links import (
    BROKEN_CONNECTION_ERRORS,
    make_codec_factory,
    open_connection,
)
from lycheevalve.exceptions import LycheevalveError, UnavailableError
from lycheevalve.schema.generated.messages import Failure, Status, StatusRequest
from lycheevalve.schema.generated.settings import Site

REQUEST_TIMEOUT_SECONDS = 6.0
RETRY_INTERVAL_SECONDS = 0.3
# Added to the state of an instance that is only reported by others.
NO_ANSWER = ", no answer"
# States of instances that apply no configuration.
GONE_STATES = ("dead", "left")


def load_site_table(overlay):
    """Return the Site of an overlay, without its base file."""
    findings = Findings(str(overlay))
    values = read_table(read_toml(overlay).get("site", {}), SITE_OPTIONS, findings, "site.")
    raise_findings([findings])
    return Site(**values)


@attrs.define
class Client:
    """Sends requests to the instances of one site."""

    site: Site
    key: bytes

    @classmethod
    def from_overlay(cls, overlay):
        """Return a client for the site of an overlay."""
        site = load_site_table(overlay)
        return cls(site, read_key(site.key_file))

    def build_codec(self):
        """Return the codec of a new link."""
        return make_codec_factory(self.key, "operator", time.time_ns() // 1_000_000)()

    async def request(self, address, message):
        """Send a message to an instance and return its answer; raise UnavailableError."""
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
            connection = await open_connection(address, self.build_codec())
            async with connection.stream:
                try:
                    await connection.send(message)
                    _, answer = await connection.receive()
                except BROKEN_CONNECTION_ERRORS as error:
                    raise UnavailableError(str(error), "request", address) from error
            if isinstance(answer, Failure):
                raise UnavailableError(answer.reason, answer.step, answer.peer or address)
            return answer
        raise UnavailableError("request timed out", "request", address)

    async def request_all(self, message):
        """Return (answers, errors) of all instances, asked concurrently."""
        answers, errors = [], []

        async def ask(address):
            try:
                answers.append(await self.request(address, message))
            except LycheevalveError as error:
                errors.append(error)

        async with trio.open_nursery() as nursery:
            for address in self.site.control:
                nursery.start_soon(ask, address)
        return answers, errors

    async def propose(self, message, seconds):
        """
        Return the ChangeResult of the leader, found by asking all instances.

        The message is sent again after a lost answer; its change id makes that
        idempotent. Raise UnavailableError when no leader answers in time.
        """
        last_error = UnavailableError("no replica answered", "propose")
        with trio.move_on_after(seconds):
            while True:
                for address in self.site.control:
                    try:
                        result = await self.request(address, message)
                    except LycheevalveError as error:
                        last_error = error
                        continue
                    if result.outcome not in (Outcome.REDIRECT, Outcome.UNAVAILABLE):
                        return result
                    if result.reason:
                        last_error = UnavailableError(result.reason, "propose", address)
                await trio.sleep(RETRY_INTERVAL_SECONDS)
        raise last_error

    async def status(self):
        """Return the merged Status of the site; raise a group of errors without an answer."""
        answers, errors = await self.request_all(StatusRequest())
        if not answers:
            raise ExceptionGroup("no instance answered", errors)
        return merge_statuses(answers)


def merge_statuses(answers):
    """Return one Status, merged from those of several instances."""
    newest = max(answers, key=lambda status: status.configuration.revision)
    answering = {status.instance: status for status in answers}
    merged = Status(
        leader=next((s.leader for s in answers if s.leader), ""),
        accepted=max(status.accepted for status in answers),
        configuration=newest.configuration,
        replicas=newest.replicas,
    )
    entries = {}
    for status in answers:
        for entry in status.instances:
            # The state that an instance reports of itself takes precedence.
            if entry.name == status.instance or entry.name not in entries:
                entries[entry.name] = entry
    merged.instances = [
        entry if name in answering else attrs.evolve(entry, state=entry.state + NO_ANSWER)
        for name, entry in sorted(entries.items())
    ]
    merged.upstreams = merge_upstreams(answers)
    merged.burn = [window for status in answers for window in status.burn]
    return merged


def merge_upstreams(answers):
    """Return the upstreams of several answers, with flows and requests summed."""
    merged = {}
    for status in answers:
        for upstream in status.upstreams:
            key = upstream.registration.address
            existing = merged.get(key)
            if existing is None:
                merged[key] = attrs.evolve(upstream)
            else:
                existing.flows += upstream.flows
                existing.outstanding += upstream.outstanding
    return [merged[key] for key in sorted(merged)]


def find_revisions_in_force(status):
    """Return the lowest revision that live instances apply, by data centre."""
    result = {}
    for entry in status.instances:
        # An instance that does not answer itself has this added to its state.
        if entry.state.removesuffix(NO_ANSWER) in GONE_STATES:
            continue
        lowest = result.get(entry.data_centre, entry.applied)
        result[entry.data_centre] = min(lowest, entry.applied)
    return result
