"""Logs: the events of all processes, their way to standard output, and their story."""
