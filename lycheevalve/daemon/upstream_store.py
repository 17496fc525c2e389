"""The registrations of upstreams on the disk of a control replica."""

import functools

import trio

from lycheevalve.coordination.upstream_cache import (
    WRITE_INTERVAL_SECONDS,
    read_upstream_cache,
    write_lookup_table,
    write_upstream_cache,
)
from lycheevalve.daemon.boundaries import contain
from lycheevalve.exceptions import StorageError
from lycheevalve.logs.queue import record

# A stop of the process does not wait for the disk: the files are replaced as a whole.
run_in_thread = functools.partial(trio.to_thread.run_sync, abandon_on_cancel=True)


class UpstreamStore:
    """
    Stores the upstreams of a ControlReplica in a folder, for the next start.

    `key` signs the table of lookups. A failure is logged, and tried again.
    """

    def __init__(self, folder, logic, key):
        self.folder = folder
        self.logic = logic
        self.key = key

    async def load(self):
        """Load the upstreams stored before the start; announcements replace them."""
        try:
            registrations = await run_in_thread(read_upstream_cache, self.folder)
        except StorageError as error:
            record("upstreams_unreadable", reason=str(error))
            return
        now = trio.current_time()
        for registration in registrations:
            with contain("stored upstream"):
                self.logic.adopt_registration(registration, now)
        record("upstreams_recalled", upstreams=len(registrations))

    async def run(self):
        """Store the upstreams whenever one was added, started to drain or left."""
        stored = 0
        while True:
            await trio.sleep(WRITE_INTERVAL_SECONDS)
            version = self.logic.feed.urgent_version
            if version == stored:
                continue
            try:
                await self.write(trio.current_time())
                stored = version
            except StorageError as error:
                record("upstreams_unwritten", reason=str(error))

    async def write(self, now):
        """Write the valid leases and the table of lookups; raise StorageError on failure."""
        leases = self.logic.upstreams.live_leases(now)
        targets = self.logic.lookups.list_targets(now)
        await run_in_thread(write_upstream_cache, self.folder, leases)
        await run_in_thread(write_lookup_table, self.folder, targets, self.key)
