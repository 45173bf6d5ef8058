"""Lines a second through the relay: python -m benchmarks.relay [OPTIONS] [--record] [--against DIR].

Standing connections with one line out at a time each, through two nodes of this checkout in turn; with
--record the second one records its traffic, and each map server tells a load with every 20th line. The first
node is the baseline of the ratio: one of another checkout with --against.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import statistics
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

from benchmarks.memory import ROOT, configuration
from standins.fleet import Fleet, MapServer
from standins.node import start_node

CONNECTIONS = 100
LOAD_EVERY = 20  # lines


class LoadTelling(MapServer):
    """Tells a load now and then, as map servers do."""

    lines = 0

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Echo the line, with a load report before each twentieth."""
        self.lines += 1
        told = b"LOAD %d.5\r\n" % (self.lines % 50) if self.lines % LOAD_EVERY == 0 else b""
        return told + super().answer(line, writer)


class Echo(asyncio.Protocol):
    """One client: sends a line for each that comes back."""

    def __init__(self, number: int, counts: list[int]) -> None:
        self.number, self.counts = number, counts

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for a session."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(b"OPEN %016x 7f3a9c21e0b4d655 c=view,d=1200\r\n" % self.number)

    def data_received(self, data: bytes) -> None:
        """Send the next line for each that came back."""
        echoes = data.count(b"M 1\r\n")
        self.counts[0] += echoes
        if echoes or data.startswith(b"UP"):
            self.transport.write(b"M 1\r\n")


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, its threads' and the kernel's for it."""
    told = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


async def measured(record: bool, seconds: float, fleet: Fleet, root: Path = ROOT) -> tuple[float, float]:
    """Lines a second, and the node's CPU microseconds for each."""
    with tempfile.TemporaryDirectory() as folder:
        path, conf = Path(folder) / "config.json", Path(folder) / "op.conf"
        path.write_text(json.dumps(configuration(fleet)))
        conf.write_text(f"record {{\n folder {folder}/traffic\n key 0123456789abcdef\n}}\n" if record else "")
        node, port = await start_node(path, {"TMPDIR": folder, "STEPFLOW_CONF": str(conf)}, root)
        loop, counts = asyncio.get_running_loop(), [0]
        ends = []
        for number in range(CONNECTIONS):
            made = await loop.create_connection(partial(Echo, number + 1, counts), "127.0.0.1", port)
            ends.append(made[0])
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        began, before, spent = time.perf_counter(), counts[0], cpu_s(node.pid)
        await asyncio.sleep(seconds)
        lines, took = counts[0] - before, time.perf_counter() - began
        spent = cpu_s(node.pid) - spent
        node.kill()
        await node.wait()
        for end in ends:
            end.abort()
        return lines / took, 1e6 * spent / lines


async def measure(seconds: float, runs: int, record: bool, against: Path) -> int:
    """Print the CPU time of a line in both nodes, run by run, and the ratio."""
    fleet = Fleet([LoadTelling("s-1"), LoadTelling("s-2")])
    await fleet.begin()
    ratios, best = [], [math.inf, math.inf]
    print(f"{'lines/s':>16} {'us of CPU a line':>20} {'ratio':>7}")
    for run in range(runs):
        pair = (False, against), (record, ROOT)
        order = pair if run % 2 else tuple(reversed(pair))
        found = [await measured(one, seconds, fleet, root) for one, root in order]
        plain, other = found if run % 2 else reversed(found)
        ratios.append(other[1] / plain[1])
        print(
            f"{plain[0]:8.0f}{other[0]:8.0f} {plain[1]:10.2f}{other[1]:10.2f} {ratios[-1]:7.3f}", flush=True
        )
        best = [min(have, one[1]) for have, one in zip(best, (plain, other), strict=True)]
    ratios.sort()
    print(f"least CPU a line {best[0]:.2f} and {best[1]:.2f} us, ratio {best[1] / best[0]:.3f}")
    print(f"median ratio {statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}, {runs} runs)")
    fleet.close()
    return 0


def main() -> int:
    """Read the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--runs", type=int, default=7)
    parser.add_argument("--record", action="store_true")
    parser.add_argument("--against", type=Path, default=ROOT, help="another checkout")
    told = parser.parse_args()
    return asyncio.run(measure(told.seconds, told.runs, told.record, told.against))


if __name__ == "__main__":
    sys.exit(main())
