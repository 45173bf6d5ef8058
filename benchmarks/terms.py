"""Guarantees of the fleet, between real processes: python -m benchmarks.terms [--nodes N ...] [--rounds N].

For each number of nodes, prints two measurements. The first is the largest number of sessions that a
restarted endpoint got from all nodes within the settings' window, divided by the allowed number: with E the
number that the settings give, E + 2 sqrt(E) + 2. Either 3 or 9 of 10 endpoints are restarted, or 3 while
seven in ten nodes are killed as well. The second is the seconds until the last node has the endpoint list,
after discovery was silent and then serves calls one by one.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.memory import configuration
from standins.fleet import Fleet
from standins.ramp import measure_outage, measure_slow_start

SERVERS = 10
KILLED_SHARE = 0.7
CALL_S, OUTAGE_S = 0.02, 7.3

Measurement = Callable[[Path], Coroutine[Any, Any, float]]


def measurements(settings: dict[str, Any], nodes: int) -> dict[str, Measurement]:
    """Return the measurements for a number of nodes by the name of the case; each takes a working folder."""
    killed = round(KILLED_SHARE * nodes)

    def slow_start(restarted: int, killed: int) -> Measurement:
        return partial(
            measure_slow_start,
            nodes=nodes,
            servers=SERVERS,
            restarted=restarted,
            killed=killed,
            settings=settings,
        )

    return {
        "3 of 10 cold": slow_start(3, 0),
        "the same, 7 in 10 nodes killed": slow_start(3, killed),
        "9 of 10 cold": slow_start(9, 0),
        "until the list is had, s (6 at the most)": partial(
            measure_outage, nodes=nodes, call_s=CALL_S, outage_s=OUTAGE_S, settings=settings
        ),
    }


def main() -> int:
    """Print a row for each number of nodes and case, with the result of each round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 20, 30])
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    settings = {**configuration(Fleet([]))["settings"], "kinds": ["k"], "azs": ["room"]}
    print(f"{'nodes':>6}  {'case':42} each round")
    for nodes in arguments.nodes:
        for name, measure in measurements(settings, nodes).items():
            results = []
            for _ in range(arguments.rounds):
                with tempfile.TemporaryDirectory() as folder:
                    results.append(asyncio.run(measure(Path(folder))))
            print(f"{nodes:6}  {name:42} {'  '.join(f'{value:.2f}' for value in results)}", flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
