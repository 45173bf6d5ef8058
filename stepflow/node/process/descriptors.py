"""The process's budget of descriptors.

Responsible for the number of descriptors left for clients: however many clients and endpoints are connected,
some descriptors stay free for health checks, discovery and operators. Owns nothing; it counts the descriptors
that other parts hold.
"""

from __future__ import annotations

from stepflow.node.admin.site import MAX_ADMIN_CONNECTIONS
from stepflow.node.core import Core
from stepflow.node.process.handover import SOCKETS_PER_SESSION, Handover
from stepflow.node.upstreams.pool import UpstreamConnections

# Descriptors for discovery, listeners, standard streams, the reactor and operators' calls.
RESERVED = 24 + MAX_ADMIN_CONNECTIONS
RESERVED_FOR_HEALTH_CHECKS = 24  # descriptors; reserved even if fewer checks are open


def session_slots(limit: int) -> int:
    """Return the number of requests that can be open at once under this limit of descriptors."""
    return max(1, (limit - RESERVED - RESERVED_FOR_HEALTH_CHECKS) // SOCKETS_PER_SESSION)


class Descriptors:
    """Counts the descriptors of the process against their limit."""

    def __init__(self, limit: int, core: Core, upstreams: UpstreamConnections, handover: Handover) -> None:
        self._limit, self._core, self._upstreams, self._handover = limit, core, upstreams, handover

    def free(self, client_count: int) -> int:
        """Return the number of descriptors left with this many clients.

        Each open request counts as at least one connection to an endpoint.
        """
        upstreams = self._upstreams
        attempts = max(upstreams.attempts, self._core.open_requests)
        health_checks = max(upstreams.health_check_connections, RESERVED_FOR_HEALTH_CHECKS)
        others = self._handover.other_descriptors
        return self._limit - RESERVED - attempts - health_checks - client_count - others

    def in_use(self, client_count: int) -> int:
        """Return the number of descriptors open, or reserved for other uses, with this many clients."""
        upstreams = self._upstreams
        return RESERVED + upstreams.attempts + upstreams.health_check_connections + client_count
