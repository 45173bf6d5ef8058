"""Measures two guarantees of a fleet with real nodes: the slow start over all nodes, and the age of the list.

The endpoints have equal capacity; clients open sessions at random nodes and end them after a while.
`SAFETY_SETTINGS` sets the slow start of an endpoint and the load that all nodes together may send it.
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

ENDPOINT_CAPACITY = 20.0  # sessions
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
    """Return the share of its capacity that an endpoint of this age has."""
    return min(1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * age_s / SLOW_START_S)


def allowed_sessions(age_s: float) -> float:
    """Return the number of sessions that all nodes together may open in the window that ends at this age.

    This is the expected number N, plus 2 sqrt(N) + 2 for random variation.
    """
    expected = OVERLOAD_MULTIPLE * warm_share(age_s) * ENDPOINT_CAPACITY / SLOW_START_S * WINDOW_S
    return expected + 2 * math.sqrt(expected) + 2


@dataclass
class WarmingEndpoint(MapServer):
    """A map server that records the sessions opened during its slow start and reports its load."""

    started_at: float = -math.inf
    opened_at_ages: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.report = lambda: "x0={0:.3f},x1=0.0,util={0:.3f}".format(self.load())

    def load(self) -> float:
        """Return the sessions over the capacity at the endpoint's age."""
        return len(self.standing) / ENDPOINT_CAPACITY / warm_share(self.age)

    @property
    def age(self) -> float:
        """Return the seconds since the endpoint's process started."""
        return time.monotonic() - self.started_at

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Answer a line; record a session that is opened during the slow start."""
        if line.startswith(b"OPEN ") and self.age < SLOW_START_S:
            self.opened_at_ages.append(self.age)
        return super().answer(line, writer)

    def restart(self) -> None:
        """Replace the endpoint's process: abort its sessions and restart its slow start."""
        for writer in tuple(self.standing):
            writer.transport.abort()
        self.started_at, self.boot_ms = time.monotonic(), int(time.time() * 1000)

    def worst_window(self) -> float:
        """Return the highest ratio of opened to allowed sessions over all windows."""
        ages = self.opened_at_ages
        return max(
            (sum(end - WINDOW_S < age <= end for age in ages) / allowed_sessions(end) for end in ages),
            default=0.0,
        )


class RealFleet:
    """Node processes with their endpoints, discovery and clients."""

    def __init__(self, folder: Path, nodes: int, endpoints: int, settings: dict[str, Any]) -> None:
        self.folder, self.node_count = folder, nodes
        self.settings = {**settings, "safety": SAFETY_SETTINGS}
        self.endpoints = [WarmingEndpoint(f"s-{number}", "k") for number in range(endpoints)]
        self.fleet = Fleet(list(self.endpoints))
        self.nodes: dict[int, tuple[asyncio.subprocess.Process, int]] = {}  # process and port
        self.rng = random.Random(nodes)
        self.session_count = self.rejected_count = 0
        self._logs: list[asyncio.Task[bytes]] = []
        self._clients: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> RealFleet:
        await self.fleet.begin()
        await self.start(*range(self.node_count))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._clients:
            task.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        await self.kill(*self.nodes)
        self.fleet.close()
        await asyncio.gather(*self._logs)

    async def start(self, *numbers: int) -> None:
        """Start nodes and wait until all of them watch the endpoint list."""
        await asyncio.gather(*map(self._start, numbers))
        await self.fleet.told(self.node_count)

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
            "settings": {**self.settings, "group_size": self.node_count, "position": number},
        }
        (folder / "config.json").write_text(json.dumps(config))
        env = {"TMPDIR": str(folder), "STEPFLOW_CONF": os.devnull}
        process, port = await start_node(folder / "config.json", env)
        self.nodes[number] = process, port
        assert process.stderr is not None
        self._logs.append(asyncio.create_task(process.stderr.read()))

    async def kill(self, *numbers: int) -> None:
        """Kill nodes one after another and wait for each exit."""
        for number in numbers:
            process = self.nodes[number][0]
            process.kill()
            await process.wait()

    async def add_clients(self, count: int, seconds: float) -> None:
        """Start clients, evenly spaced over the given seconds."""
        for _ in range(count):
            task = asyncio.create_task(self._run_client(random.Random(self.rng.random())))
            self._clients.add(task)
            task.add_done_callback(self._clients.discard)
            await asyncio.sleep(seconds / count)

    async def _run_client(self, rng: random.Random) -> None:
        """Run one client, which opens its session again after a rejection or a cut-off."""
        until = time.monotonic() + MEAN_SESSION_S * rng.expovariate(1.0)
        while time.monotonic() < until:
            try:
                if not await self._hold_session(rng.choice(list(self.nodes.values()))[1], until):
                    self.rejected_count += 1
                    await asyncio.sleep(CLIENT_RETRY_S * rng.uniform(0.5, 1.5))
            except OSError:
                await asyncio.sleep(CLIENT_RETRY_S * rng.uniform(0.5, 1.5))  # the node does not listen

    async def _hold_session(self, port: int, until: float) -> bool:
        """Open a session and hold it until `until` or its end; return False if it was not established."""
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
    """Restart endpoints at half load and kill nodes; return the worst window of the restarted endpoints."""
    async with RealFleet(folder, nodes, servers, settings) as fleet:
        sessions_per_s = ENDPOINT_CAPACITY * 0.5 * servers / MEAN_SESSION_S
        await fleet.add_clients(round(sessions_per_s * MEAN_SESSION_S), MEAN_SESSION_S)
        restarted_endpoints = fleet.endpoints[:restarted]
        for endpoint in restarted_endpoints:
            endpoint.restart()
        fleet.fleet.tell(*restarted_endpoints)
        if killed:
            await fleet.kill(*range(killed))
            await fleet.start(*range(killed))
        await fleet.add_clients(round(2 * sessions_per_s * BURST_S), BURST_S)
        rest_s = SLOW_START_S - 2 * BURST_S
        await fleet.add_clients(round(sessions_per_s * rest_s), rest_s)
        assert any(endpoint.opened_at_ages for endpoint in restarted_endpoints)
        return max(endpoint.worst_window() for endpoint in restarted_endpoints)


async def measure_outage(
    folder: Path, nodes: int, call_s: float, outage_s: float, settings: dict[str, Any]
) -> float:
    """Leave all discovery calls unanswered during an outage, then serve calls one by one.

    Returns the seconds from the end of the outage until the last node has the list.
    """
    async with RealFleet(folder, nodes, 2, settings) as fleet:
        fleet.fleet.fall_silent()
        await asyncio.sleep(outage_s)
        back_at = time.monotonic()
        fleet.fleet.resume(call_s)
        await fleet.fleet.told(nodes)
        return time.monotonic() - back_at
