"""How soon processes that start side by side are ready: python -m benchmarks.ready [--nodes N] [--rounds N].

All begin at once, under a list of 90 servers; a process is ready once it has answered PING. Prints the
seconds until nine in ten and all of them were, against one that starts alone in the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
import time
from pathlib import Path

from benchmarks.memory import configuration
from standins.fleet import Fleet, MapServer
from standins.node import start_node


async def ready(
    folder: Path, number: int, known: dict[str, object]
) -> tuple[float, asyncio.subprocess.Process]:
    """Start a process; the seconds until it answers PING."""
    folder = folder / str(number)  # else they would find each other
    folder.mkdir(exist_ok=True)
    path = folder / "config.json"
    path.write_text(json.dumps(known))
    began = time.perf_counter()
    process, port = await start_node(path, {"TMPDIR": str(folder), "STEPFLOW_CONF": os.devnull})
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"PING\r\n")
    assert await reader.readline() == b"PONG\r\n"
    took = time.perf_counter() - began
    writer.close()
    return took, process


async def measure(nodes: int, rounds: int) -> None:
    """Print how long nodes that start together take until they are ready."""
    servers = [MapServer(f"s-{n}") for n in range(90)]
    fleet = Fleet(servers)
    await fleet.begin()
    print(f"{'nodes':>6} {'nine in ten, s':>15} {'all, s':>8}")
    with tempfile.TemporaryDirectory() as folder:
        for count in (1, nodes):
            for _ in range(rounds):
                known = configuration(fleet)
                begun = await asyncio.gather(*(ready(Path(folder), n, known) for n in range(count)))
                took = sorted(seconds for seconds, _ in begun)
                for _, process in begun:
                    process.kill()
                    await process.wait()
                print(f"{count:6} {took[max(0, -(-9 * count // 10) - 1)]:15.2f} {took[-1]:8.2f}")
    fleet.close()


def main() -> int:
    """Read the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=3)
    told = parser.parse_args()
    asyncio.run(measure(told.nodes, told.rounds))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
