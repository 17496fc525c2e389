"""Settings files: declared options, checks, base and overlay."""
