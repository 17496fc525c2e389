"""Flows, requests and upstreams: placement, ownership, health, load, handover."""
