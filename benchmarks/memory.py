"""Whether served sessions leave memory behind: python -m benchmarks.memory [--sessions N] [--standing N].

Plays short sessions against a node of this checkout and prints its resident memory as they are served, then
what each of many standing ones takes. The first row is the baseline of the ratio.
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
AT_ONCE = 100
COME_AGAIN = 0.1  # and that a client waits after a refusal
HOLD = 0.02  # seconds that a session lasts after its echo


def resident_mb(pid: int) -> float:
    """Resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def configuration(fleet: Fleet) -> dict[str, Any]:
    """The example's, for these servers."""
    tree: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    tree.update(listen=f"{HOST}:0", discovery=fleet.address, known=fleet.known())
    tree["limits"]["sockets"] = 8192
    return tree


class Load:
    """Clients, each with one session at a time."""

    def __init__(self, port: int) -> None:
        self.port, self.number, self.served, self.refused = port, 0, 0, 0

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """One session, or None where it is refused."""
        self.number += 1
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b"OPEN %016x 7f3a9c21e0b4d655 c=view,d=1200\r\n" % self.number)
        answer = await reader.readline()
        if answer.startswith(b"UP "):
            self.served += 1
            return reader, writer
        self.refused += 1
        writer.close()
        return None

    async def sessions(self, until: int) -> None:
        """Short sessions, one after the other, until so many were served by all."""
        while self.served < until:
            session = await self.open()
            if session is not None:
                reader, writer = session
                writer.write(b"M 1\r\n")
                await reader.readline()
                await asyncio.sleep(HOLD)
                writer.close()
            else:
                await asyncio.sleep(COME_AGAIN)


async def measure(root: Path, sessions: int, standing: int, steps: int) -> int:
    """Print the memory of a node as sessions are served; 1 if it grew over the bound."""
    fleet = Fleet([MapServer("s-1"), MapServer("s-2")])
    await fleet.begin()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(fleet)))
        node, port = await start_node(path, {"TMPDIR": folder}, root)
        load = Load(port)
        idle = resident_mb(node.pid)
        print(f"{'served':>8} {'refused':>8} {'MB':>7} {'ratio':>6} {'1/s':>6}")
        first = 0.0
        for step in range(1, steps + 1):
            began, before = time.perf_counter(), load.served
            until = sessions * step // steps
            await asyncio.gather(*(load.sessions(until) for _ in range(AT_ONCE)))
            now = resident_mb(node.pid)
            first = first or now
            pace = (load.served - before) / (time.perf_counter() - began)
            print(f"{load.served:8} {load.refused:8} {now:7.1f} {now / first:6.3f} {pace:6.0f}", flush=True)
        print(f"idle {idle:.1f} MB; from the first row to the last {now - first:+.2f} MB")
        before_mb = resident_mb(node.pid)
        stand: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        while len(stand) < standing:
            if session := await load.open():
                stand.append(session)
            else:
                await asyncio.sleep(0.05)
        if stand:
            each = (resident_mb(node.pid) - before_mb) * 1024 / len(stand)
            print(f"{len(stand)} standing: {each:.1f} KB each")
        for _, writer in stand:
            writer.close()
        node.kill()
        await node.wait()
    fleet.close()
    return 0


def main() -> int:
    """Read the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sessions", type=int, default=100_000)
    parser.add_argument("--steps", type=int, default=10)
    parser.add_argument("--standing", type=int, default=2_000)
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose node is measured")
    told = parser.parse_args()
    gc.freeze()
    return asyncio.run(measure(told.root, told.sessions, told.standing, told.steps))


if __name__ == "__main__":
    sys.exit(main())
