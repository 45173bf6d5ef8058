"""Two terms of a fleet, with real nodes: what cold servers get of all of them, and how old a list may be.

Servers of equal size; sessions come at any node and end after a while. What a server bears cold, and what all
nodes together may send it within the window, are the settings' (`RULES`).
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.fleet import HOST, Fleet, MapServer
from standins.node import start_node

FULL = 20.0  # sessions that fill a server
COLD_SHARE, WARM_S, MULTIPLE, WINDOW_S = 0.3, 8.0, 2.5, 1.5
LIFE_S, AGAIN_S, WAIT_S = 4.0, 0.3, 2.0  # of a session; until a client that was refused comes again; it waits
RULES = {
    "cold_share": COLD_SHARE,
    "warm_after_us": int(WARM_S * 1e6),
    "fall_multiple": MULTIPLE,
    "overload_for_us": int(WINDOW_S * 1e6),
    "drain_grace_us": 500_000,
}


def bound(age: float) -> float:
    """What all nodes may send within the window that ends at this age: the ramp's N, and chance's part."""
    warmth = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * age / WARM_S)
    n = MULTIPLE * warmth * FULL / WARM_S * WINDOW_S
    return n + 2 * math.sqrt(n) + 2


@dataclass
class RampServer(MapServer):
    """A map server that notes what it was sent while it was cold, and whose load shows in its reports."""

    began: float = -math.inf
    sent: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.report = lambda: "x0={0:.3f},x1=0.0,util={0:.3f}".format(self.load())

    def load(self) -> float:
        return len(self.standing) / FULL / min(1.0, COLD_SHARE + (1 - COLD_SHARE) * self.age / WARM_S)

    @property
    def age(self) -> float:
        return time.monotonic() - self.began

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        if line.startswith(b"OPEN ") and self.age < WARM_S:
            self.sent.append(self.age)
        return super().answer(line, writer)

    def start_cold(self) -> None:
        """Its process was replaced: what it held is gone."""
        for writer in tuple(self.standing):
            writer.transport.abort()
        self.began, self.boot_ms = time.monotonic(), int(time.time() * 1000)

    def worst(self) -> float:
        """The most that came within a window, over what may."""
        return max(
            (sum(at - WINDOW_S < t <= at for t in self.sent) / bound(at) for at in self.sent), default=0.0
        )


class RealFleet:
    """So many processes of the program, their servers and their discovery."""

    def __init__(self, folder: Path, nodes: int, servers: int, settings: dict[str, Any]) -> None:
        self.folder, self.count, self.settings = folder, nodes, {**settings, "safety": RULES}
        self.servers = [RampServer(f"s-{n}", "k") for n in range(servers)]
        self.fleet = Fleet(list(self.servers))
        self.nodes: dict[int, tuple[asyncio.subprocess.Process, int]] = {}
        self.rng = random.Random(nodes)
        self.ids = self.refused = 0
        self._logs: list[asyncio.Task[bytes]] = []
        self._clients: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> RealFleet:
        await self.fleet.begin()
        await self.start(*range(self.count))
        return self

    async def __aexit__(self, *fault: object) -> None:
        for task in self._clients:
            task.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        await self.kill(*self.nodes)
        self.fleet.close()
        await asyncio.gather(*self._logs)

    async def start(self, *numbers: int) -> None:
        await asyncio.gather(*map(self._start, numbers))
        await self.fleet.told(self.count)

    async def _start(self, number: int) -> None:
        folder = self.folder / f"n{number}"
        folder.mkdir(exist_ok=True)
        told = {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": self.fleet.address,
            "seed": f"{number:x}",
            "limits": {"sockets": 1024},
            "known": self.fleet.known(),
            "settings": {**self.settings, "group_size": self.count, "position": number},
        }
        (folder / "config.json").write_text(json.dumps(told))
        env = {"TMPDIR": str(folder), "STEPFLOW_CONF": os.devnull}
        process, port = await start_node(folder / "config.json", env)
        self.nodes[number] = process, port
        assert process.stderr is not None
        self._logs.append(asyncio.create_task(process.stderr.read()))

    async def kill(self, *numbers: int) -> None:
        for number in numbers:
            process = self.nodes[number][0]
            process.kill()
            await process.wait()

    async def come(self, count: int, seconds: float) -> None:
        """So many clients come, evenly over this time."""
        for _ in range(count):
            task = asyncio.create_task(self._client(random.Random(self.rng.random())))
            self._clients.add(task)
            task.add_done_callback(self._clients.discard)
            await asyncio.sleep(seconds / count)

    async def _client(self, rng: random.Random) -> None:
        """One client: its session, begun anew where it was refused or cut."""
        until = time.monotonic() + LIFE_S * rng.expovariate(1.0)
        while time.monotonic() < until:
            try:
                if not await self._session(rng.choice(list(self.nodes.values()))[1], until):
                    self.refused += 1
                    await asyncio.sleep(AGAIN_S * rng.uniform(0.5, 1.5))
            except OSError:
                await asyncio.sleep(AGAIN_S * rng.uniform(0.5, 1.5))  # the node is gone

    async def _session(self, port: int, until: float) -> bool:
        self.ids += 1
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            line = f"OPEN {self.ids:016x} {self.ids:016x} c=view,d={int(1000 * WAIT_S)},g={self.ids:x}\r\n"
            writer.write(line.encode())
            if not (await reader.readline()).startswith(b"UP "):
                return False
            try:
                async with asyncio.timeout(max(0.0, until - time.monotonic())):
                    await reader.read()
            except TimeoutError:
                pass
            return True
        finally:
            writer.close()


async def ramp(
    folder: Path, nodes: int, servers: int, cold: int, killed: int, settings: dict[str, Any]
) -> float:
    """Some servers are replaced at half load, and some nodes killed: the worst of those servers' windows."""
    async with RealFleet(folder, nodes, servers, settings) as fleet:
        rate = FULL * 0.5 * servers / LIFE_S
        await fleet.come(round(rate * LIFE_S), LIFE_S)
        for server in fleet.servers[:cold]:
            server.start_cold()
        fleet.fleet.tell(*fleet.servers[:cold])
        if killed:
            await fleet.kill(*range(killed))
            await fleet.start(*range(killed))
        await fleet.come(round(2 * rate * 1.5), 1.5)  # a burst
        await fleet.come(round(rate * (WARM_S - 3)), WARM_S - 3)
        assert any(server.sent for server in fleet.servers[:cold])
        return max(server.worst() for server in fleet.servers[:cold])


async def outage(folder: Path, nodes: int, each_s: float, seconds: float, settings: dict[str, Any]) -> float:
    """Discovery is silent amid all calls, then serves new ones in turn: until the last node has the list."""
    async with RealFleet(folder, nodes, 2, settings) as fleet:
        fleet.fleet.fall_silent()
        await asyncio.sleep(seconds)
        began = time.monotonic()
        fleet.fleet.speak(each_s)
        await fleet.fleet.told(nodes)
        return time.monotonic() - began
