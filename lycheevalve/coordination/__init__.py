"""Coordination parts that others can embed: log, membership, spreading, timers."""
