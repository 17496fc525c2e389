"""
Embed the replicated log: three replicas in one process exchange messages through a list.

A real application writes and syncs the entries of the effects to disk before it sends
messages, for example with `lycheevalve.coordination.storage.Storage.write`.
"""

import random

from lycheevalve.coordination import consensus
from lycheevalve.coordination.storage import Stored
from lycheevalve.schema.generated.messages import Change

NAMES = ["one", "two", "three"]
STEP_SECONDS = 0.05


def apply_effects(replica, queue, results):
    """Queue the messages and results of a replica; this example writes nothing to disk."""
    effects = replica.take_effects()
    queue += [(replica.name, receiver, message) for receiver, message in effects.sends]
    results += effects.results


def main():
    """Elect a leader, commit one change and print the result of each replica."""
    generator = random.Random(1)
    replicas = {
        name: consensus.start_replica(name, NAMES, generator, Stored(), 0.0) for name in NAMES
    }
    queue, results, now, proposed = [], [], 0.0, False
    while len(results) < len(NAMES):
        now += STEP_SECONDS
        for replica in replicas.values():
            consensus.tick(replica, now)
            apply_effects(replica, queue, results)
        for replica in replicas.values():
            if not proposed and consensus.can_propose(replica, now):
                consensus.propose(replica, Change("first", 0, author="example"), now)
                apply_effects(replica, queue, results)
                proposed = True
        messages, queue = queue, []
        for sender, receiver, message in messages:
            consensus.handle(replicas[receiver], sender, message, now)
            apply_effects(replicas[receiver], queue, results)
    for result in results:
        print(f"{result.change_id}: accepted at revision {result.revision}")


if __name__ == "__main__":
    main()
