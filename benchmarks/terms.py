"""Terms of the fleet between real processes: python -m benchmarks.terms [--nodes N ...] [--rounds N].

For each number of nodes: the most that a cold server got of all of them within the settings' window, over
what it may (N + 2 root N + 2), where some servers or nearly all are replaced, or seven in ten nodes killed as
well; and the seconds until the last node has the list of a discovery that was silent and then serves calls in
turn.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from benchmarks.memory import configuration
from standins.fleet import Fleet
from standins.ramp import outage, ramp

SERVERS = 10
EACH_S, SILENT_S = 0.02, 7.3


def cases(settings: dict[str, Any], nodes: int) -> dict[str, Callable[[Path], Coroutine[Any, Any, float]]]:
    """The measurements, by the name that the table shows."""
    part = round(0.7 * nodes)
    return {
        "3 of 10 cold": lambda folder: ramp(folder, nodes, SERVERS, 3, 0, settings),
        "the same, 7 in 10 nodes killed": lambda folder: ramp(folder, nodes, SERVERS, 3, part, settings),
        "9 of 10 cold": lambda folder: ramp(folder, nodes, SERVERS, 9, 0, settings),
        "until the list is had, s (6 at the most)": lambda folder: outage(
            folder, nodes, EACH_S, SILENT_S, settings
        ),
    }


def main() -> int:
    """Play each case with fleets of each size, and print what it found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 20, 30])
    parser.add_argument("--rounds", type=int, default=3)
    told = parser.parse_args()
    settings = {**configuration(Fleet([]))["settings"], "kinds": ["k"], "azs": ["room"]}
    print(f"{'nodes':>6}  {'case':42} each round")
    for nodes in told.nodes:
        for name, play in cases(settings, nodes).items():
            found = []
            for _ in range(told.rounds):
                with tempfile.TemporaryDirectory() as folder:
                    found.append(asyncio.run(play(Path(folder))))
            print(f"{nodes:6}  {name:42} {'  '.join(f'{one:.2f}' for one in found)}", flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
