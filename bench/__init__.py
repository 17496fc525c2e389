"""Experiments and the demonstration."""
