"""Embeddable building blocks: replicated log, membership, dissemination, timers."""
