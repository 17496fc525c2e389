"""Soak test of the real processes on loopback, with fault injection."""
