"""The process's budget of descriptors.

Responsible for the division of the descriptors among the parts that use them. Some are reserved for
discovery, operators and a few health checks, however many clients are connected. When the others run low,
their users give way in this order:

1. Idle health-check connections are closed, the least recently used first, and checks beyond
   `health_check_limits` are not sent.
2. Clients that have not sent their OPEN line are evicted (`clients/admission.py`).
3. New clients and new requests are rejected.

Sessions and checks in progress are never closed for their descriptors. Owns nothing; it counts the
descriptors that other parts hold.
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
from stepflow.node.upstreams.pool import HealthCheckLimits, UpstreamConnections

log = get_logger()

# Descriptors for discovery, listeners, standard streams, the reactor and operators' calls.
RESERVED = 24 + MAX_ADMIN_CONNECTIONS
RESERVED_FOR_HEALTH_CHECKS = 24  # descriptors; reserved even if fewer checks are open
FREE_FOR_CLIENTS = 8  # descriptors that health-check connections leave free: enough to admit a client
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
        return DescriptorUsage(
            clients=self._client_count(),
            attempts=self._attempts,
            health_checks=self._upstreams.health_check_connections,
            other_process=self._handover.other_descriptors,
        )

    def free(self) -> int:
        """Return the number of descriptors left for clients; negative if reservations are in use."""
        health_checks = max(self._upstreams.health_check_connections, RESERVED_FOR_HEALTH_CHECKS)
        return self._left_for_health_checks() - health_checks

    def health_check_limits(self) -> HealthCheckLimits:
        """Return how many health checks may be in progress now, and how many connections they may keep.

        Idle connections get all descriptors that the other users leave but a few, since a new client can take
        them back at once. Checks in progress get half. During a hand-over both get the reserved number alone:
        the two processes share the limit, and each learns late what the other holds.
        """
        if self._handover.is_connected:
            return HealthCheckLimits(RESERVED_FOR_HEALTH_CHECKS, RESERVED_FOR_HEALTH_CHECKS)
        left = self._left_for_health_checks()
        return HealthCheckLimits(
            connections=max(left - FREE_FOR_CLIENTS, RESERVED_FOR_HEALTH_CHECKS),
            in_progress=max(left // 2, RESERVED_FOR_HEALTH_CHECKS),
        )

    def reclaim(self) -> None:
        """Close the idle health-check connections beyond the limit."""
        if self._upstreams.health_check_connections > RESERVED_FOR_HEALTH_CHECKS:
            self._upstreams.close_idle_beyond(self.health_check_limits().connections)

    @property
    def _attempts(self) -> int:
        """The descriptors of attempts and sessions; an open request has one set aside before its attempt."""
        return max(self._upstreams.attempts, self._core.open_requests)

    def _left_for_health_checks(self) -> int:
        """Return the number of descriptors that all other users leave; called for each client and check."""
        other_process = self._handover.other_descriptors
        return self._limit - RESERVED - self._attempts - self._client_count() - other_process

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
