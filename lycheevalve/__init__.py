"""Layer-4 load balancer and a library of coordination components."""

__version__ = "0.2.0"
