"""Samples of a simulation: at regular times, which sessions are served in time and how loaded servers are."""

from __future__ import annotations

import numpy as np

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server

SAMPLE_US = 100_000


class Sampler:
    """Adds up the service asked for and given, and once a second the loads, into the run's measurements."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation = simulation
        self._kinds = list(simulation.scenario.kinds)
        self._worth = np.array([cls.worth for cls in simulation.classes])
        self._aims = [cls.message_ms / 1000 for cls in simulation.classes]

    def start(self) -> None:
        """Sample from now on."""
        self._simulation.after(SAMPLE_US, self._sample)

    def close(self) -> None:
        """Add each server's mean load to the measurements."""
        for server in self._simulation.servers:
            if server.samples:
                means = self._simulation.measurements.server_load.setdefault(self._kinds[server.kind], [])
                means.append(server.utilization_sum / server.samples)

    def _sample(self) -> None:
        simulation = self._simulation
        second = simulation.now // SECOND
        if simulation.is_counting and second < len(simulation.measurements.wanted):
            self._sample_service(second)
            if simulation.now % SECOND == 0:
                self._sample_loads()
        simulation.after(SAMPLE_US, self._sample)

    def _sample_service(self, second: int) -> None:
        simulation, span = self._simulation, SAMPLE_US / SECOND
        for client in simulation.clients.active:
            simulation.measurements.wanted[second, client.class_index] += (
                span * self._worth[client.class_index]
            )
        unreached = self._unreached()
        for server, counts in simulation.sessions_by_class.items():
            for cls, established in enumerate(counts):
                count = established - unreached.get((server, cls), 0)
                if count:
                    share = server.share_in_time(simulation.now, self._aims[cls])
                    simulation.measurements.served[second, cls] += span * self._worth[cls] * count * share

    def _sample_loads(self) -> None:
        """How loaded the fleet is, by kind and by server."""
        measurements, now = self._simulation.measurements, self._simulation.now
        running = [server for server in self._simulation.servers if server.is_running]
        measurements.imbalance.append(float(np.std([server.utilization(now) for server in running])))
        capacities, loads = [0.0] * len(self._kinds), [0.0] * len(self._kinds)
        for server in running:
            capacities[server.kind] += server.capacity(now)
            loads[server.kind] += server.demand()
            server.utilization_sum += server.utilization(now)
            server.samples += 1
        measurements.peak_load = max(measurements.peak_load, sum(loads) / sum(capacities) if running else 0.0)
        for kind, capacity, load in zip(self._kinds, capacities, loads, strict=True):
            measurements.kind_load.setdefault(kind, []).append(load / capacity if capacity else 0.0)

    def _unreached(self) -> dict[tuple[Server, int], int]:
        """How many sessions of each class are established at servers that their node does not reach."""
        found: dict[tuple[Server, int], int] = {}
        if not self._simulation.faults.any_unreachable:
            return found
        for node in self._simulation.nodes:
            for client in node.clients.values():
                server = client.server
                if not client.established or server is None or server.hung:
                    continue
                if self._simulation.faults.unreachable_since(node, server) is not None:
                    found[server, client.class_index] = found.get((server, client.class_index), 0) + 1
        return found
