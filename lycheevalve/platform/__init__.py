"""The adapter to the users' platform: its packets, API calls and settings."""
