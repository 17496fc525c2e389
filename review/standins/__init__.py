"""Stand-ins of the platform, targets, clients and operator for the cases of the review."""
