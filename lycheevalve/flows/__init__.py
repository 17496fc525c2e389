"""Flows, requests and upstreams: placement, ownership, health, limits, handover."""
