"""Helpers for addresses and imports."""
