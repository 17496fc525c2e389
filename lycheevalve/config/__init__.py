"""Settings files: declared options, validation, and merging of base and overlay."""
