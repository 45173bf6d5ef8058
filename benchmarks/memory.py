"""Memory growth over served sessions: python -m benchmarks.memory [--sessions N] [--standing N].

Runs short sessions through a node of this checkout and prints the node's resident memory as they are served,
then the memory for each of many sessions that are open at once. The first row is the baseline of the ratio.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins.fleet import HOST, Fleet, MapServer
from standins.node import start_node

ROOT = Path(__file__).resolve().parent.parent
CLIENT_COUNT = 100
RETRY_DELAY_S = 0.1  # seconds until a client whose request was rejected sends another request
SESSION_S = 0.02  # seconds that a session lasts after its echo; in opens.py, after UP


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def configuration(fleet: Fleet) -> dict[str, Any]:
    """Return the configuration of example/config.json, with this fleet as its endpoints and discovery."""
    config: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    config.update(listen=f"{HOST}:0", discovery=fleet.address, known=fleet.known())
    config["limits"]["sockets"] = 8192
    return config


class LoadGenerator:
    """Clients, each with one session at a time."""

    def __init__(self, port: int) -> None:
        self.port, self.last_id, self.served, self.refused = port, 0, 0, 0

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Open a session; returns None if the node answers with anything but UP."""
        self.last_id += 1
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b"OPEN %016x 7f3a9c21e0b4d655 c=view,d=1200\r\n" % self.last_id)
        answer = await reader.readline()
        if answer.startswith(b"UP "):
            self.served += 1
            return reader, writer
        self.refused += 1
        writer.close()
        return None

    async def run_sessions(self, total: int) -> None:
        """Run short sessions one after another until all clients together have had `total` sessions."""
        while self.served < total:
            session = await self.open()
            if session is not None:
                reader, writer = session
                writer.write(b"M 1\r\n")
                await reader.readline()
                await asyncio.sleep(SESSION_S)
                writer.close()
            else:
                await asyncio.sleep(RETRY_DELAY_S)


async def measure(root: Path, sessions: int, standing: int, steps: int) -> int:
    """Print the memory of a node as sessions are served; returns the exit code 0."""
    fleet = Fleet([MapServer("s-1"), MapServer("s-2")])
    await fleet.begin()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(fleet)))
        node, port = await start_node(path, {"TMPDIR": folder}, root)
        load = LoadGenerator(port)
        idle_mb = resident_mb(node.pid)
        print(f"{'served':>8} {'refused':>8} {'MB':>7} {'ratio':>6} {'1/s':>6}")
        first_mb = 0.0
        for step in range(1, steps + 1):
            started_at, served_before = time.perf_counter(), load.served
            total = sessions * step // steps
            await asyncio.gather(*(load.run_sessions(total) for _ in range(CLIENT_COUNT)))
            now_mb = resident_mb(node.pid)
            first_mb = first_mb or now_mb
            rate = (load.served - served_before) / (time.perf_counter() - started_at)
            print(
                f"{load.served:8} {load.refused:8} {now_mb:7.1f} {now_mb / first_mb:6.3f} {rate:6.0f}",
                flush=True,
            )
        print(f"idle {idle_mb:.1f} MB; from the first row to the last {now_mb - first_mb:+.2f} MB")
        before_mb = resident_mb(node.pid)
        open_sessions: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        while len(open_sessions) < standing:
            if session := await load.open():
                open_sessions.append(session)
            else:
                await asyncio.sleep(0.05)
        if open_sessions:
            session_kb = (resident_mb(node.pid) - before_mb) * 1024 / len(open_sessions)
            print(f"{len(open_sessions)} standing: {session_kb:.1f} KB each")
        for _, writer in open_sessions:
            writer.close()
        node.kill()
        await node.wait()
    fleet.close()
    return 0


def main() -> int:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sessions", type=int, default=100_000)
    parser.add_argument("--steps", type=int, default=10)
    parser.add_argument("--standing", type=int, default=2_000)
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose node is measured")
    arguments = parser.parse_args()
    gc.freeze()
    return asyncio.run(measure(arguments.root, arguments.sessions, arguments.standing, arguments.steps))


if __name__ == "__main__":
    sys.exit(main())
