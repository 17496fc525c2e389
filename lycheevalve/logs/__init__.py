"""Structured logs: event schema, output, and timelines of requests read from log files."""
