"""Test doubles: fabric, upstreams, callers, networks, disks, clusters and whole sites."""
