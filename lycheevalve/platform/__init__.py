"""The adapter to the users' platform: its packets, calls and settings, and nothing else."""
