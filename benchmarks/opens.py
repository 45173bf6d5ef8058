"""CPU time of a session from its OPEN to its end: python -m benchmarks.opens [OPTIONS] [--against DIR].

Runs short sessions, 20 at a time, alternately through a node of another checkout (or of this one) and a node
of this one; prints each node's CPU microseconds for a session, and the ratio of the second to the first.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import tempfile
from pathlib import Path

from benchmarks.memory import ROOT, SESSION_S, LoadGenerator, configuration
from benchmarks.relay import cpu_s
from standins.fleet import Fleet, MapServer
from standins.node import start_node

CLIENT_COUNT = 20


async def measure_node(root: Path, sessions: int, fleet: Fleet) -> float:
    """Start a node of a checkout and return its CPU microseconds for a session."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(fleet)))
        node, port = await start_node(path, {"TMPDIR": folder, "STEPFLOW_CONF": os.devnull}, root)
        load = LoadGenerator(port)

        async def run_client(total: int) -> None:
            while load.served < total:
                if (session := await load.open()) is not None:
                    await asyncio.sleep(SESSION_S)
                    session[1].close()

        async def serve_until(total: int) -> None:
            await asyncio.gather(*(run_client(total) for _ in range(CLIENT_COUNT)))

        await serve_until(sessions // 4)  # warm-up
        cpu_before, served_before = cpu_s(node.pid), load.served
        await serve_until(served_before + sessions)
        cpu_per_session = (cpu_s(node.pid) - cpu_before) / (load.served - served_before)
        node.kill()
        await node.wait()
        return 1e6 * cpu_per_session


async def measure(sessions: int, runs: int, against: Path) -> None:
    """Print the CPU time of a session in both checkouts for each run, and the median ratio."""
    fleet = Fleet([MapServer(f"s-{n}") for n in range(4)])
    await fleet.begin()
    ratios = []
    print(f"{'us of CPU a session':>22} {'ratio':>7}")
    for run in range(runs):
        order = (against, ROOT) if run % 2 else (ROOT, against)
        results = [await measure_node(root, sessions, fleet) for root in order]
        baseline, current = results if run % 2 else reversed(results)
        ratios.append(current / baseline)
        print(f"{baseline:10.0f}{current:12.0f} {ratios[-1]:7.3f}", flush=True)
    print(
        f"median ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}, {runs} runs)"
    )
    fleet.close()


def main() -> int:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sessions", type=int, default=2000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--against", type=Path, default=ROOT, help="another checkout")
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.sessions, arguments.runs, arguments.against))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
