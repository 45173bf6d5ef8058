"""Seeded soak runs: real nodes on loopback with machine faults, endpoint faults and disconnecting clients.

Each seed is one run of some seconds. It ends with SIGTERM, and for a process that still runs with SIGKILL
as early as the protocol allows. `python -m standins.soak --seeds 1:50` plays several seeds; `records.py`
defines the rules.
"""
