"""Seeded soak runs: real nodes on loopback under a failing machine, failing servers and leaving clients.

Each seed is one run of some seconds that ends with SIGTERM and, at the earliest moment that the protocol
allows, SIGKILL. `python -m standins.soak --seeds 1:50` plays many; `records.py` holds the rules.
"""
