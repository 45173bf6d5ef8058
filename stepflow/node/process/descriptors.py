"""The process's budget of descriptors.

Responsible for how many descriptors are left for clients: however many clients and endpoints are connected,
some stay free for health checks, discovery and operators. Owns nothing; it counts what other parts hold.
"""

from __future__ import annotations

from stepflow.node.admin.site import MAX_ADMIN_CONNECTIONS
from stepflow.node.core import Core
from stepflow.node.process.handover import SOCKETS_PER_SESSION, Handover
from stepflow.node.upstreams.pool import UpstreamConnections

# For discovery, listeners, standard streams, the reactor, operators' calls.
RESERVED = 24 + MAX_ADMIN_CONNECTIONS
RESERVED_FOR_HEALTH_CHECKS = 24  # even if fewer are open


def session_slots(limit: int) -> int:
    """Return how many requests can be open at once under this limit of descriptors."""
    return max(1, (limit - RESERVED - RESERVED_FOR_HEALTH_CHECKS) // SOCKETS_PER_SESSION)


class Descriptors:
    """Counts the descriptors of the process against their limit."""

    def __init__(self, limit: int, core: Core, upstreams: UpstreamConnections, handover: Handover) -> None:
        self._limit, self._core, self._upstreams, self._handover = limit, core, upstreams, handover

    def free(self, client_count: int) -> int:
        """Return how many are left with this many clients, counting one more for each open request."""
        upstreams = self._upstreams
        attempts = max(upstreams.attempts, self._core.open_requests)
        health_checks = max(upstreams.health_check_connections, RESERVED_FOR_HEALTH_CHECKS)
        others = self._handover.other_descriptors
        return self._limit - RESERVED - attempts - health_checks - client_count - others

    def in_use(self, client_count: int) -> int:
        """Return how many are open with this many clients, or reserved for other purposes."""
        upstreams = self._upstreams
        return RESERVED + upstreams.attempts + upstreams.health_check_connections + client_count
