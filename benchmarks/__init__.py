"""Benchmarks: `python -m benchmarks.NAME` prints a table, in most cases with a ratio to a baseline."""
