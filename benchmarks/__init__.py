"""Benchmarks: `python -m benchmarks.NAME` prints one table, each with a ratio against a baseline."""
