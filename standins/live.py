"""Plays a scenario on sockets: real nodes with stand-ins for endpoints, discovery and clients.

The stand-ins use the simulation's draws, and the endpoints run its model on the real clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np

from standins.fleet import HOST
from standins.live_clients import LiveClients
from standins.live_endpoint import LiveEndpoint
from standins.live_faults import SUPPORTED_FAULTS, LiveFaults
from standins.live_state import LiveState
from standins.node import start_node
from stepflow.fleet.compare import CompareError
from stepflow.fleet.measurements import Measurements
from stepflow.fleet.scenario import Scenario

ESTABLISH_TIMEOUT_S = 40.0  # longest time to establish the sessions that exist when the scenario begins


class Live:
    """One scenario, played once on sockets."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.state = state = LiveState(scenario, seed)
        kinds = list(scenario.kinds)
        state.endpoints = [
            LiveEndpoint(model.id, kinds[model.kind], model=model, live=state)
            for model in state.simulation.servers
        ]
        state.fleet.servers = list(state.endpoints)
        self._clients = LiveClients(state)
        self._faults = LiveFaults(state, self._restart_node)
        self._nodes: list[asyncio.subprocess.Process | None] = []
        self._log_tasks: list[asyncio.Task[bytes]] = []
        self.max_loop_delay_s = 0.0  # a large delay of this event loop means that the run shows little

    async def play(self) -> Measurements:
        """Play the whole scenario with nodes of this checkout; return the measurements."""
        day = self.state.scenario.day
        await self.state.fleet.begin()
        with tempfile.TemporaryDirectory() as folder:
            self._folder = Path(folder)
            self.state.ports = [_free_port() for _ in range(day.nodes)]
            self._nodes = [None] * day.nodes
            await asyncio.gather(*(self._start_node(number) for number in range(day.nodes)))
            pending: list[asyncio.Future[None]] = []
            tasks = [
                asyncio.create_task(self._clients.run(number, self._add_future(pending)))
                for number in range(self.state.traffic.established)
            ]
            try:
                async with asyncio.timeout(ESTABLISH_TIMEOUT_S):
                    await asyncio.gather(*pending)
                self.state.start()
                tasks += [
                    asyncio.create_task(self._clients.run(number, None))
                    for number in range(self.state.traffic.established, len(self.state.traffic.at_us))
                ]
                tasks += [
                    asyncio.create_task(self._faults.inject(number, fault))
                    for number, fault in enumerate(self.state.scenario.faults)
                ]
                tasks.append(asyncio.create_task(self._measure_loop_delay()))
                await asyncio.sleep(day.warm + day.seconds)
            finally:
                for task in tasks:
                    task.cancel()
                for node in self._nodes:
                    if node is not None and node.returncode is None:
                        node.kill()
                        await node.wait()
                self.state.fleet.close()
                for task in self.state.update_tasks:
                    task.cancel()
                await asyncio.gather(
                    *tasks, *self.state.update_tasks, *self._log_tasks, return_exceptions=True
                )
        self.state.results.health_checks = sum(endpoint.probed for endpoint in self.state.endpoints)
        return self.state.results

    def _add_future(self, pending: list[asyncio.Future[None]]) -> asyncio.Future[None]:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pending.append(future)
        return future

    async def _measure_loop_delay(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.max_loop_delay_s = max(self.max_loop_delay_s, time.monotonic() - before - 0.05)

    async def _start_node(self, number: int) -> None:
        config = self._folder / f"node-{number}.json"
        config.write_text(json.dumps(self._configuration(number)))
        process, _ = await start_node(config, {"TMPDIR": "", "STEPFLOW_CONF": os.devnull})
        assert process.stderr is not None
        self._nodes[number] = process
        self._log_tasks.append(asyncio.create_task(process.stderr.read()))

    def _configuration(self, number: int) -> dict[str, Any]:
        settings = self.state.scenario.settings(number)
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:{self.state.ports[number]}",
            "discovery": self.state.fleet.address,
            "seed": f"{self.state.seed * 1000 + number:x}",
            "limits": {"sockets": 8192},
            "known": self.state.fleet.known(),
            "settings": {
                "group_size": settings.balancers,
                "position": number,
                "discovery": "on_request",
                "azs": ["room"],
                "kinds": list(settings.kinds),
                "classes": [
                    {
                        "name": c.name,
                        "aim_us": c.latency_objective_us,
                        "give_up_us": c.deadline_us,
                        "effect": "repeatable",
                        "credit": c.priority_weight,
                    }
                    for c in settings.classes
                ],
                "domain": {
                    "mode": "proxy",
                    "groups": True,
                    "message_aim_us": [c.message_latency_objective_us for c in settings.classes],
                },
                "policy_limits": {
                    "most_tries": settings.limits.max_attempts,
                    "probing": True,
                    "cancel": True,
                    "retry_after": True,
                    "connect_timeout_us": 200_000,
                },
                "costs": {n: getattr(settings.prices, n) for n in ("late_fail", "moves", "probe", "waste")},
                "safety": {
                    "cold_share": settings.rules.slow_start_share,
                    "warm_after_us": settings.rules.slow_start_us,
                    "fall_multiple": settings.rules.overload_multiple,
                    "overload_for_us": settings.rules.overload_after_us,
                    "drain_grace_us": settings.rules.drain_grace_us,
                },
                "report": {"fields": list(settings.load_report_fields), "via": "probe"},
            },
        }

    async def _restart_node(self, number: int) -> None:
        node = self._nodes[number]
        if node is not None and node.returncode is None:
            node.kill()
            await node.wait()
        await asyncio.sleep(0.5)
        await self._start_node(number)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def play(scenario: Scenario, seed: int) -> tuple[Measurements, float]:
    """Play a scenario once; return the measurements and the longest delay, in seconds, of this event loop.

    Bursts are already part of the drawn traffic. Raises CompareError, before anything starts, for a fault
    that can't be played on sockets.
    """
    if unsupported := [fault.what for fault in scenario.faults if fault.what not in SUPPORTED_FAULTS]:
        raise CompareError(f"{unsupported[0]}: this fault is not played on sockets yet")
    live = Live(scenario, seed)
    results = asyncio.run(live.play())
    rho = [
        endpoint.model.utilization(live.state.now)
        for endpoint in live.state.endpoints
        if endpoint.model.is_running
    ]
    results.imbalance = [float(np.std(rho))]
    return results, live.max_loop_delay_s
