"""Samples of a simulation: at regular times, which sessions are served in time and how loaded servers are."""

from __future__ import annotations

import numpy as np

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server

SAMPLE_US = 100_000


class Sampler:
    """Adds up the service asked for and given, and once a second the loads, into the run's measurements."""

    def __init__(self, world: SimulationContext) -> None:
        self._world = world
        self._kinds = list(world.scenario.kinds)
        self._worth = np.array([cls.worth for cls in world.classes])
        self._aims = [cls.message_ms / 1000 for cls in world.classes]

    def start(self) -> None:
        """Sample from now on."""
        self._world.after(SAMPLE_US, self._sample)

    def close(self) -> None:
        """Add each server's mean load to the measurements."""
        for server in self._world.servers:
            if server.looks:
                means = self._world.tally.server_load.setdefault(self._kinds[server.kind], [])
                means.append(server.loads_seen / server.looks)

    def _sample(self) -> None:
        world = self._world
        second = world.now // SECOND
        if world.counting and second < len(world.tally.wanted):
            self._sample_service(second)
            if world.now % SECOND == 0:
                self._sample_loads()
        world.after(SAMPLE_US, self._sample)

    def _sample_service(self, second: int) -> None:
        world, span = self._world, SAMPLE_US / SECOND
        for client in world.clients.wanting:
            world.tally.wanted[second, client.cls] += span * self._worth[client.cls]
        unreached = self._unreached()
        for server, counts in world.standing.items():
            for cls, established in enumerate(counts):
                count = established - unreached.get((server, cls), 0)
                if count:
                    share = server.on_time(world.now, self._aims[cls])
                    world.tally.served[second, cls] += span * self._worth[cls] * count * share

    def _sample_loads(self) -> None:
        """How loaded the fleet is, by kind and by server."""
        tally, now = self._world.tally, self._world.now
        running = [server for server in self._world.servers if server.runs]
        tally.imbalance.append(float(np.std([server.rho(now) for server in running])))
        capacities, loads = [0.0] * len(self._kinds), [0.0] * len(self._kinds)
        for server in running:
            capacities[server.kind] += server.capacity(now)
            loads[server.kind] += server.asked()
            server.loads_seen += server.rho(now)
            server.looks += 1
        tally.peak_load = max(tally.peak_load, sum(loads) / sum(capacities) if running else 0.0)
        for kind, capacity, load in zip(self._kinds, capacities, loads, strict=True):
            tally.kind_load.setdefault(kind, []).append(load / capacity if capacity else 0.0)

    def _unreached(self) -> dict[tuple[Server, int], int]:
        """How many sessions of each class are established at servers that their node does not reach."""
        found: dict[tuple[Server, int], int] = {}
        if not self._world.faults.any_silent:
            return found
        for node in self._world.nodes:
            for client in node.clients.values():
                server = client.server
                if not client.up or server is None or server.hung:
                    continue
                if self._world.faults.silent_since(node, server) is not None:
                    found[server, client.cls] = found.get((server, client.cls), 0) + 1
        return found
