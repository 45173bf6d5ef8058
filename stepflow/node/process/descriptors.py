"""The process's budget of descriptors.

Responsible for the number of descriptors left for clients: however many clients and endpoints are connected,
some descriptors stay free for health checks, discovery and operators. Owns nothing; it counts the descriptors
that other parts hold.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from stepflow.logs import get_logger
from stepflow.node.admin.site import MAX_ADMIN_CONNECTIONS
from stepflow.node.core import Core
from stepflow.node.process.handover import SOCKETS_PER_SESSION, Handover
from stepflow.node.runtime.clock import Clock
from stepflow.node.upstreams.pool import UpstreamConnections

log = get_logger()

# Descriptors for discovery, listeners, standard streams, the reactor and operators' calls.
RESERVED = 24 + MAX_ADMIN_CONNECTIONS
RESERVED_FOR_HEALTH_CHECKS = 24  # descriptors; reserved even if fewer checks are open
SHORTAGE_LOG_INTERVAL = timedelta(seconds=1)


def session_slots(limit: int) -> int:
    """Return the number of requests that can be open at once under this limit of descriptors."""
    return max(1, (limit - RESERVED - RESERVED_FOR_HEALTH_CHECKS) // SOCKETS_PER_SESSION)


class DescriptorUsage(NamedTuple):
    """The numbers of descriptors that each part of the node holds, or has set aside."""

    clients: int
    attempts: int  # connections of attempts and sessions; at least one for each open request
    health_checks: int
    other_process: int  # what the other process of a hand-over has reported


class DescriptorBudget:
    """Counts the descriptors of the process against their limit.

    `client_count` returns the number of open client connections.
    """

    def __init__(
        self,
        limit: int,
        clock: Clock,
        core: Core,
        upstreams: UpstreamConnections,
        handover: Handover,
        client_count: Callable[[], int],
    ) -> None:
        self._limit, self._clock, self._core = limit, clock, core
        self._upstreams, self._handover, self._client_count = upstreams, handover, client_count
        self._shortage_logged_at: timedelta | None = None

    def usage(self) -> DescriptorUsage:
        """Return what each part of the node holds, without the reservations."""
        upstreams = self._upstreams
        return DescriptorUsage(
            clients=self._client_count(),
            attempts=max(upstreams.attempts, self._core.open_requests),
            health_checks=upstreams.health_check_connections,
            other_process=self._handover.other_descriptors,
        )

    def free(self) -> int:
        """Return the number of descriptors left for clients; negative if reservations are in use."""
        usage = self.usage()
        health_checks = max(usage.health_checks, RESERVED_FOR_HEALTH_CHECKS)
        return self._limit - RESERVED - sum(usage._replace(health_checks=health_checks))

    def in_use(self) -> int:
        """Return the number of descriptors that this process holds open, or reserves for other uses."""
        upstreams = self._upstreams
        return RESERVED + upstreams.attempts + upstreams.health_check_connections + self._client_count()

    def log_shortage(self) -> None:
        """Log which parts hold the descriptors when none is left for a client; at most once a second."""
        now = self._clock.now()
        logged_at = self._shortage_logged_at
        if logged_at is None or now - logged_at >= SHORTAGE_LOG_INTERVAL:
            self._shortage_logged_at = now
            log.warning(
                "no free descriptor",
                limit=self._limit,
                reserved=RESERVED,
                **self.usage()._asdict(),
                health_checks_idle=self._upstreams.idle_health_check_connections,
            )
