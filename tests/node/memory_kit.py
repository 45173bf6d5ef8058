"""The private memory of a node's process, and the limit that it has to keep."""

from __future__ import annotations

from tests.node_kit import Node

MEMORY_LIMIT_MB = 32  # what a node has to run in


def private_mb(node: Node) -> float:
    """Return the MB of memory that the process shares with no other."""
    with open(f"/proc/{node.process.pid}/smaps_rollup") as rollup:
        [line] = [line for line in rollup if line.startswith("Private_Dirty")]
    return int(line.split()[1]) / 1024
