"""The faults of a scenario that is played on sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from standins.live_endpoint import LiveEndpoint
from standins.live_state import LiveState
from stepflow.fleet.scenario import Fault
from stepflow.fleet.streams import stream

SUPPORTED_FAULTS = ("hang", "start", "drain", "crash", "restart", "burst", "list-down")


class LiveFaults:
    """Injects the scenario's faults; `restart_node` ends a node's process and starts another."""

    def __init__(self, state: LiveState, restart_node: Callable[[int], Awaitable[None]]) -> None:
        self._state, self._restart_node = state, restart_node

    async def inject(self, number: int, fault: Fault) -> None:
        """Inject one fault at its time; `number` is its place in the scenario."""
        node_count = len(self._state.ports)
        rng = stream(self._state.seed, "fault", number)
        await asyncio.sleep(fault.at)
        if fault.what == "restart":
            count = max(1, round(fault.part * node_count))
            batch = max(1, round(fault.at_once * node_count))
            steps = -(-count // batch)
            order = [int(node) for node in rng.permutation(node_count)[:count]]
            for step in range(steps):
                await asyncio.gather(
                    *(self._restart_node(n) for n in order[step * batch : (step + 1) * batch])
                )
                await asyncio.sleep(fault.lasts / steps)
        elif fault.what == "list-down":
            self._state.fleet.down = True
            self._state.fleet.drop()
            await asyncio.sleep(fault.lasts)
            self._state.fleet.down = False
        elif fault.what != "burst":
            running = [
                s
                for s in self._state.endpoints
                if s.model.is_running and not s.model.availability and not s.model.hung
            ]
            count = min(len(running), max(1, round(fault.part * len(self._state.endpoints))))
            picked = [running[int(pick)] for pick in rng.permutation(len(running))[:count]]
            await asyncio.gather(*(self._inject_endpoint_fault(endpoint, fault) for endpoint in picked))

    async def _inject_endpoint_fault(self, endpoint: LiveEndpoint, fault: Fault) -> None:
        model = endpoint.model
        if fault.what == "hang":
            model.hung = True
            await asyncio.sleep(fault.lasts)
            model.hung = False
        elif fault.what == "crash":
            self._state.crash(endpoint)
        elif fault.what == "drain":
            model.availability, endpoint.state = 1, "Terminating"
            self._state.schedule_update(endpoint)
            await asyncio.sleep(fault.lasts)
            model.availability, endpoint.state = 2, "Gone"
            endpoint.abort_sessions()
            self._state.schedule_update(endpoint)
        else:
            model.availability, endpoint.state = 2, "Gone"
            endpoint.abort_sessions()
            self._state.schedule_update(endpoint)
            await asyncio.sleep(fault.lasts)
            model.availability, endpoint.state = 0, "Ready"
            model.started_us, model.backlog, model.advanced_us = self._state.now, 0.0, self._state.now
            endpoint.boot_ms = int(time.time() * 1000)
            self._state.schedule_update(endpoint)
