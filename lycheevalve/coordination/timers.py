"""Periodic timers: components subscribe to intervals, and the owner runs due calls."""

import heapq
import itertools

import attrs


def raise_error(error):
    """Raise the error of a callback; the default for `handle_error`."""
    raise error


@attrs.define
class Timers:
    """
    A heap of subscriptions, ordered by the time of the next call in seconds.

    `handle_error(error)` is called when a callback fails, and the next one runs.
    """

    handle_error: object = raise_error
    heap: list = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    def subscribe(self, interval, callback, now, delay=None):
        """Call `callback(now)` every `interval` seconds, first after `delay` if set."""
        first = now + (interval if delay is None else delay)
        heapq.heappush(self.heap, (first, next(self.numbers), interval, callback))

    def call_once(self, callback, at):
        """Call `callback(now)` once at a time."""
        heapq.heappush(self.heap, (at, next(self.numbers), None, callback))

    def run_due(self, now):
        """
        Run the due callbacks, each subscription at most once.

        A subscription that is late by more than its interval skips the missed
        calls, so that they do not run in a burst after the process was paused.
        """
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap))
        for at, number, interval, callback in due:
            if interval is not None:
                next_at = max(at + interval, now)
                heapq.heappush(self.heap, (next_at, number, interval, callback))
            try:
                callback(now)
            except Exception as error:
                self.handle_error(error)

    def next_due(self):
        """Return the time of the next call, or None."""
        return self.heap[0][0] if self.heap else None
