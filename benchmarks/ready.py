"""Time until nodes that start together are ready: python -m benchmarks.ready [--nodes N] [--rounds N].

All processes start at once, with a list of 90 endpoints; a process is ready when it has answered PING. Prints
the seconds until nine in ten and all of them are ready, after those of a process that starts alone.
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


async def measure_readiness(
    folder: Path, number: int, config: dict[str, object]
) -> tuple[float, asyncio.subprocess.Process]:
    """Start a process; returns the seconds until it answers PING, and the process."""
    folder = folder / str(number)  # processes of one name hand over if they share TMPDIR
    folder.mkdir(exist_ok=True)
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    started_at = time.perf_counter()
    process, port = await start_node(path, {"TMPDIR": str(folder), "STEPFLOW_CONF": os.devnull})
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"PING\r\n")
    assert await reader.readline() == b"PONG\r\n"
    elapsed = time.perf_counter() - started_at
    writer.close()
    return elapsed, process


async def measure(nodes: int, rounds: int) -> None:
    """Print the seconds until nodes that start together are ready."""
    servers = [MapServer(f"s-{n}") for n in range(90)]
    fleet = Fleet(servers)
    await fleet.begin()
    print(f"{'nodes':>6} {'nine in ten, s':>15} {'all, s':>8}")
    with tempfile.TemporaryDirectory() as folder:
        for count in (1, nodes):
            for _ in range(rounds):
                config = configuration(fleet)
                results = await asyncio.gather(
                    *(measure_readiness(Path(folder), n, config) for n in range(count))
                )
                ready_after = sorted(seconds for seconds, _ in results)
                for _, process in results:
                    process.kill()
                    await process.wait()
                print(
                    f"{count:6} {ready_after[max(0, -(-9 * count // 10) - 1)]:15.2f} {ready_after[-1]:8.2f}"
                )
    fleet.close()


def main() -> int:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.nodes, arguments.rounds))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
