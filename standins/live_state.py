"""What the parts of a scenario that is played on sockets share: its draws, its clock and its results."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from standins.fleet import Fleet
from stepflow.fleet.measurements import Measurements
from stepflow.fleet.scenario import Scenario
from stepflow.fleet.servers import SECOND
from stepflow.fleet.simulation import Simulation
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import Traffic

if TYPE_CHECKING:
    from standins.live_endpoint import LiveEndpoint


class LiveState:
    """One scenario while it is played on sockets: its endpoints, the draws and what is measured."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.simulation = Simulation(scenario, seed)  # used for its servers and draws; it is never run
        self.traffic: Traffic = self.simulation.traffic
        self.placements = self.simulation.place_sessions()
        self.classes = list(scenario.classes.values())
        self.class_names = list(scenario.classes)
        self.run_rng = stream(seed, "live")
        self.fleet = Fleet([])
        self.endpoints: list[LiveEndpoint] = []
        self.results: Measurements = self.simulation.measurements
        self.ports: list[int] = []  # of the nodes
        self.update_tasks: list[asyncio.Task[None]] = []
        self._started_at = 0.0

    @property
    def now(self) -> int:
        """Microseconds since the scenario's start, or 0 before it."""
        return int((time.monotonic() - self._started_at) * SECOND) if self._started_at else 0

    @property
    def has_started(self) -> bool:
        """Whether all established sessions exist, and the scenario's time runs."""
        return self._started_at > 0

    def start(self) -> None:
        """Start the scenario's time."""
        self._started_at = time.monotonic()
        for endpoint in self.endpoints:
            endpoint.model.advanced_us = 0

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true; checks it every 20 ms."""
        while not condition():
            await asyncio.sleep(0.02)

    def crash(self, endpoint: LiveEndpoint) -> None:
        """Crash an endpoint; it does not restart."""
        endpoint.model.crashed, endpoint.model.availability, endpoint.state = True, 2, "Gone"
        self.results.crashed_servers += 1
        endpoint.abort_sessions()
        self.schedule_update(endpoint)

    def schedule_update(self, endpoint: LiveEndpoint) -> None:
        """Send a list update after a random delay, with the endpoint's state at that time."""
        self.update_tasks.append(asyncio.create_task(self._send_update(endpoint)))

    async def _send_update(self, endpoint: LiveEndpoint) -> None:
        low, high = self.scenario.day.list_s
        await asyncio.sleep(float(self.run_rng.uniform(low, high)))
        self.fleet.tell(endpoint)
