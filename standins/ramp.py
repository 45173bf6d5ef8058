"""Two guarantees of a fleet, measured with real nodes: slow start over all, and the age of the endpoint list.

Map servers of equal capacity; sessions are opened at any node and end after a while. What a server may get
while it warms up, and what all nodes together may send it within the window, are set by `SAFETY_SETTINGS`.
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

SERVER_CAPACITY = 20.0  # sessions
SLOW_START_SHARE, SLOW_START_S = 0.3, 8.0
OVERLOAD_MULTIPLE, WINDOW_S = 2.5, 1.5
MEAN_SESSION_S = 4.0
CLIENT_RETRY_S = 0.3  # mean delay of a client that was rejected or cut off
CLIENT_DEADLINE_S = 2.0
BURST_S = 1.5
SAFETY_SETTINGS = {
    "cold_share": SLOW_START_SHARE,
    "warm_after_us": int(SLOW_START_S * 1e6),
    "fall_multiple": OVERLOAD_MULTIPLE,
    "overload_for_us": int(WINDOW_S * 1e6),
    "drain_grace_us": 500_000,
}


def warm_share(age_s: float) -> float:
    """Return the share of its capacity that a server of this age has."""
    return min(1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * age_s / SLOW_START_S)


def allowed_sessions(age_s: float) -> float:
    """Return what all nodes may send within the window that ends at this age: N, and room for chance."""
    expected = OVERLOAD_MULTIPLE * warm_share(age_s) * SERVER_CAPACITY / SLOW_START_S * WINDOW_S
    return expected + 2 * math.sqrt(expected) + 2


@dataclass
class WarmingServer(MapServer):
    """A map server that records what it was sent while it warmed up, and whose reports show its load."""

    started_at: float = -math.inf
    opened_at_ages: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.report = lambda: "x0={0:.3f},x1=0.0,util={0:.3f}".format(self.load())

    def load(self) -> float:
        """Return the sessions over the capacity at the server's age."""
        return len(self.standing) / SERVER_CAPACITY / warm_share(self.age)

    @property
    def age(self) -> float:
        """Return the seconds since the server's process started."""
        return time.monotonic() - self.started_at

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Record sessions that are opened during the slow start."""
        if line.startswith(b"OPEN ") and self.age < SLOW_START_S:
            self.opened_at_ages.append(self.age)
        return super().answer(line, writer)

    def restart(self) -> None:
        """Replace the server's process: its sessions are gone, and it is cold."""
        for writer in tuple(self.standing):
            writer.transport.abort()
        self.started_at, self.boot_ms = time.monotonic(), int(time.time() * 1000)

    def worst_window(self) -> float:
        """Return the most that came within a window, over what was allowed."""
        ages = self.opened_at_ages
        return max(
            (sum(end - WINDOW_S < age <= end for age in ages) / allowed_sessions(end) for end in ages),
            default=0.0,
        )


class RealFleet:
    """Processes of the program, with their map servers, their discovery and clients."""

    def __init__(self, folder: Path, nodes: int, servers: int, settings: dict[str, Any]) -> None:
        self.folder, self.count = folder, nodes
        self.settings = {**settings, "safety": SAFETY_SETTINGS}
        self.servers = [WarmingServer(f"s-{number}", "k") for number in range(servers)]
        self.fleet = Fleet(list(self.servers))
        self.nodes: dict[int, tuple[asyncio.subprocess.Process, int]] = {}  # process and port
        self.rng = random.Random(nodes)
        self.session_count = self.rejected_count = 0
        self._logs: list[asyncio.Task[bytes]] = []
        self._clients: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> RealFleet:
        await self.fleet.begin()
        await self.start(*range(self.count))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._clients:
            task.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        await self.kill(*self.nodes)
        self.fleet.close()
        await asyncio.gather(*self._logs)

    async def start(self, *numbers: int) -> None:
        """Start nodes, and wait until all watch the list."""
        await asyncio.gather(*map(self._start, numbers))
        await self.fleet.told(self.count)

    async def _start(self, number: int) -> None:
        folder = self.folder / f"n{number}"
        folder.mkdir(exist_ok=True)
        config = {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": self.fleet.address,
            "seed": f"{number:x}",
            "limits": {"sockets": 1024},
            "known": self.fleet.known(),
            "settings": {**self.settings, "group_size": self.count, "position": number},
        }
        (folder / "config.json").write_text(json.dumps(config))
        env = {"TMPDIR": str(folder), "STEPFLOW_CONF": os.devnull}
        process, port = await start_node(folder / "config.json", env)
        self.nodes[number] = process, port
        assert process.stderr is not None
        self._logs.append(asyncio.create_task(process.stderr.read()))

    async def kill(self, *numbers: int) -> None:
        """Kill nodes one after another."""
        for number in numbers:
            process = self.nodes[number][0]
            process.kill()
            await process.wait()

    async def add_clients(self, count: int, seconds: float) -> None:
        """Start so many clients, evenly over this time."""
        for _ in range(count):
            task = asyncio.create_task(self._run_client(random.Random(self.rng.random())))
            self._clients.add(task)
            task.add_done_callback(self._clients.discard)
            await asyncio.sleep(seconds / count)

    async def _run_client(self, rng: random.Random) -> None:
        """One client: its session, opened again where it was rejected or cut off."""
        until = time.monotonic() + MEAN_SESSION_S * rng.expovariate(1.0)
        while time.monotonic() < until:
            try:
                if not await self._hold_session(rng.choice(list(self.nodes.values()))[1], until):
                    self.rejected_count += 1
                    await asyncio.sleep(CLIENT_RETRY_S * rng.uniform(0.5, 1.5))
            except OSError:
                await asyncio.sleep(CLIENT_RETRY_S * rng.uniform(0.5, 1.5))  # the node is gone

    async def _hold_session(self, port: int, until: float) -> bool:
        """Open a session and hold it until its end; returns False where it was rejected."""
        self.session_count += 1
        id = f"{self.session_count:x}"
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            deadline_ms = int(1000 * CLIENT_DEADLINE_S)
            writer.write(f"OPEN {id:0>16} {id:0>16} c=view,d={deadline_ms},g={id}\r\n".encode())
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


async def measure_slow_start(
    folder: Path, nodes: int, servers: int, restarted: int, killed: int, settings: dict[str, Any]
) -> float:
    """Restart some servers at half load, and kill some nodes; returns the worst window of those servers."""
    async with RealFleet(folder, nodes, servers, settings) as fleet:
        sessions_per_s = SERVER_CAPACITY * 0.5 * servers / MEAN_SESSION_S
        await fleet.add_clients(round(sessions_per_s * MEAN_SESSION_S), MEAN_SESSION_S)
        cold_servers = fleet.servers[:restarted]
        for server in cold_servers:
            server.restart()
        fleet.fleet.tell(*cold_servers)
        if killed:
            await fleet.kill(*range(killed))
            await fleet.start(*range(killed))
        await fleet.add_clients(round(2 * sessions_per_s * BURST_S), BURST_S)
        rest_s = SLOW_START_S - 2 * BURST_S
        await fleet.add_clients(round(sessions_per_s * rest_s), rest_s)
        assert any(server.opened_at_ages for server in cold_servers)
        return max(server.worst_window() for server in cold_servers)


async def measure_outage(
    folder: Path, nodes: int, call_s: float, outage_s: float, settings: dict[str, Any]
) -> float:
    """Silence discovery amid all calls, then serve calls one by one.

    Returns the seconds from then until the last node has the list.
    """
    async with RealFleet(folder, nodes, 2, settings) as fleet:
        fleet.fleet.fall_silent()
        await asyncio.sleep(outage_s)
        back_at = time.monotonic()
        fleet.fleet.speak(call_s)
        await fleet.fleet.told(nodes)
        return time.monotonic() - back_at
