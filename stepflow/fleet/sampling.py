"""Periodic samples of a simulation: the sessions served in time and the utilization of the servers."""

from __future__ import annotations

import numpy as np

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server

SAMPLE_US = 100_000


class Sampler:
    """Adds the wanted and served session time, and once a second the loads, to the run's measurements."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation = simulation
        self._kinds = list(simulation.scenario.kinds)
        self._weights = np.array([cls.worth for cls in simulation.classes])
        self._objectives_s = [cls.message_ms / 1000 for cls in simulation.classes]

    def start(self) -> None:
        """Start sampling."""
        self._simulation.call_later(SAMPLE_US, self._sample)

    def close(self) -> None:
        """Add each server's mean utilization to the measurements."""
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
        simulation.call_later(SAMPLE_US, self._sample)

    def _sample_service(self, second: int) -> None:
        simulation, span = self._simulation, SAMPLE_US / SECOND
        for client in simulation.clients.active:
            simulation.measurements.wanted[second, client.class_index] += (
                span * self._weights[client.class_index]
            )
        unreachable = self._count_unreachable()
        for server, counts in simulation.sessions_by_class.items():
            for cls, established in enumerate(counts):
                count = established - unreachable.get((server, cls), 0)
                if count:
                    share = server.share_in_time(simulation.now, self._objectives_s[cls])
                    simulation.measurements.served[second, cls] += span * self._weights[cls] * count * share

    def _sample_loads(self) -> None:
        """Sample the load of the fleet, of each kind and of each server."""
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

    def _count_unreachable(self) -> dict[tuple[Server, int], int]:
        """Return the number of sessions of each server and class whose node does not reach the server.

        Sessions of servers that hang are not counted.
        """
        session_counts: dict[tuple[Server, int], int] = {}
        if not self._simulation.faults.any_unreachable:
            return session_counts
        for node in self._simulation.nodes:
            for client in node.clients.values():
                server = client.server
                if not client.established or server is None or server.hung:
                    continue
                if self._simulation.faults.unreachable_since(node, server) is not None:
                    session_counts[server, client.class_index] = (
                        session_counts.get((server, client.class_index), 0) + 1
                    )
        return session_counts
