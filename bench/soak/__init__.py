"""A soak of the real programs on loopback, with faults from outside."""
