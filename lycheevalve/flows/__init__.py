"""Flows and requests: keys, owners, pins, placement, limits, handover."""
