"""Benchmarks, the demo, and the runners of tests, fuzzing and mutants."""
