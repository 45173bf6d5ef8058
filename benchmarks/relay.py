"""Lines a second through the relay: python -m benchmarks.relay [OPTIONS] [--record] [--against DIR].

Keeps 100 sessions open, each with one line under way, alternately through two nodes of this checkout; with
--record the second node records its traffic. Each endpoint sends a LOAD line with every 20th line. The first
node is the baseline of the ratio: with --against it runs another checkout.
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
REPORT_EVERY = 20  # lines


class SessionReportingServer(MapServer):
    """A map server that reports the load of sessions from time to time, as real map servers do."""

    lines = 0

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Echo the line; every 20th echo follows a LOAD line."""
        self.lines += 1
        report = b"LOAD %d.5\r\n" % (self.lines % 50) if self.lines % REPORT_EVERY == 0 else b""
        return report + super().answer(line, writer)


class EchoClient(asyncio.Protocol):
    """A client that sends the next line when the echo of the previous line has arrived."""

    def __init__(self, number: int, counts: list[int]) -> None:
        self.number, self.counts = number, counts

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for a session."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(b"OPEN %016x 7f3a9c21e0b4d655 c=view,d=1200\r\n" % self.number)

    def data_received(self, data: bytes) -> None:
        """Count the echoes, and send the next line after UP or an echo."""
        echoes = data.count(b"M 1\r\n")
        self.counts[0] += echoes
        if echoes or data.startswith(b"UP"):
            self.transport.write(b"M 1\r\n")


def cpu_s(pid: int) -> float:
    """Return the CPU seconds of a process so far: user and system time of all its threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_node(record: bool, seconds: float, fleet: Fleet, root: Path = ROOT) -> tuple[float, float]:
    """Start a node; returns its lines a second and its CPU microseconds for a line."""
    with tempfile.TemporaryDirectory() as folder:
        path, operator_file = Path(folder) / "config.json", Path(folder) / "op.conf"
        path.write_text(json.dumps(configuration(fleet)))
        operator_file.write_text(
            f"record {{\n folder {folder}/traffic\n key 0123456789abcdef\n}}\n" if record else ""
        )
        node, port = await start_node(path, {"TMPDIR": folder, "STEPFLOW_CONF": str(operator_file)}, root)
        loop, counts = asyncio.get_running_loop(), [0]
        transports = []
        for number in range(CONNECTIONS):
            connection = await loop.create_connection(
                partial(EchoClient, number + 1, counts), "127.0.0.1", port
            )
            transports.append(connection[0])
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        started_at, lines_before, cpu_used = time.perf_counter(), counts[0], cpu_s(node.pid)
        await asyncio.sleep(seconds)
        lines, elapsed = counts[0] - lines_before, time.perf_counter() - started_at
        cpu_used = cpu_s(node.pid) - cpu_used
        node.kill()
        await node.wait()
        for transport in transports:
            transport.abort()
        return lines / elapsed, 1e6 * cpu_used / lines


async def measure(seconds: float, runs: int, record: bool, against: Path) -> int:
    """Print the CPU time of a line in both nodes for each run, and the ratio."""
    fleet = Fleet([SessionReportingServer("s-1"), SessionReportingServer("s-2")])
    await fleet.begin()
    ratios, least = [], [math.inf, math.inf]
    print(f"{'lines/s':>16} {'us of CPU a line':>20} {'ratio':>7}")
    for run in range(runs):
        variants = (False, against), (record, ROOT)
        order = variants if run % 2 else tuple(reversed(variants))
        results = [await measure_node(one, seconds, fleet, root) for one, root in order]
        baseline, tested = results if run % 2 else reversed(results)
        ratios.append(tested[1] / baseline[1])
        print(
            f"{baseline[0]:8.0f}{tested[0]:8.0f} {baseline[1]:10.2f}{tested[1]:10.2f} {ratios[-1]:7.3f}",
            flush=True,
        )
        least = [
            min(least_so_far, one[1]) for least_so_far, one in zip(least, (baseline, tested), strict=True)
        ]
    ratios.sort()
    print(f"least CPU a line {least[0]:.2f} and {least[1]:.2f} us, ratio {least[1] / least[0]:.3f}")
    print(f"median ratio {statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}, {runs} runs)")
    fleet.close()
    return 0


def main() -> int:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--runs", type=int, default=7)
    parser.add_argument("--record", action="store_true")
    parser.add_argument("--against", type=Path, default=ROOT, help="another checkout")
    arguments = parser.parse_args()
    return asyncio.run(measure(arguments.seconds, arguments.runs, arguments.record, arguments.against))


if __name__ == "__main__":
    sys.exit(main())
