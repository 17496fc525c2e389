"""
Linearizable reads: the leader answers once a quorum has confirmed its term.

The confirming heartbeat must start after the read arrived. A leader lease is not
enough, since the clock of a suspended machine does not advance. Source: ReadIndex
in Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4.
"""


def confirm_reads(replica):
    """Move the reads that a quorum has confirmed to the effects."""
    if not replica.pending_reads or not replica.has_committed_in_term():
        return
    rounds = [progress.acked_round for progress in replica.voter_progress()]

    def is_confirmed(number):
        return replica.is_quorum(sum(acked >= number for acked in rounds))

    confirmed = [token for number, token in replica.pending_reads if is_confirmed(number)]
    replica.pending_reads = [
        read for read in replica.pending_reads if not is_confirmed(read[0])
    ]
    replica.effects.confirmed_reads += confirmed
