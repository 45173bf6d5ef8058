"""What a session costs from its OPEN to its end: python -m benchmarks.opens [OPTIONS] [--against DIR].

Short sessions, some at a time, through a node of another checkout (or of this one) and a node of this one in
turn; prints the CPU microseconds of each node for a session, and the ratio of the second to the first.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import tempfile
from pathlib import Path

from benchmarks.memory import HOLD, ROOT, Load, configuration
from benchmarks.relay import cpu_s
from standins.fleet import Fleet, MapServer
from standins.node import start_node

AT_ONCE = 20


async def measured(root: Path, sessions: int, fleet: Fleet) -> float:
    """CPU microseconds of a fresh node for each session."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(fleet)))
        node, port = await start_node(path, {"TMPDIR": folder, "STEPFLOW_CONF": os.devnull}, root)
        load = Load(port)

        async def some(count: int) -> None:
            while load.served < count:
                if (session := await load.open()) is not None:
                    await asyncio.sleep(HOLD)
                    session[1].close()

        async def serve(count: int) -> None:
            await asyncio.gather(*(some(count) for _ in range(AT_ONCE)))

        await serve(sessions // 4)  # warms up
        before, served = cpu_s(node.pid), load.served
        await serve(served + sessions)
        spent = (cpu_s(node.pid) - before) / (load.served - served)
        node.kill()
        await node.wait()
        return 1e6 * spent


async def measure(sessions: int, runs: int, against: Path) -> None:
    """Print the CPU time of a session in both checkouts, run by run, and the median ratio."""
    fleet = Fleet([MapServer(f"s-{n}") for n in range(4)])
    await fleet.begin()
    ratios = []
    print(f"{'us of CPU a session':>22} {'ratio':>7}")
    for run in range(runs):
        order = (against, ROOT) if run % 2 else (ROOT, against)
        found = [await measured(root, sessions, fleet) for root in order]
        other, own = found if run % 2 else reversed(found)
        ratios.append(own / other)
        print(f"{other:10.0f}{own:12.0f} {ratios[-1]:7.3f}", flush=True)
    print(
        f"median ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}, {runs} runs)"
    )
    fleet.close()


def main() -> int:
    """Read the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sessions", type=int, default=2000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--against", type=Path, default=ROOT, help="another checkout")
    told = parser.parse_args()
    asyncio.run(measure(told.sessions, told.runs, told.against))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
