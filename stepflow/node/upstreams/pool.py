"""The node's connections to endpoints: starts attempts, and keeps one health-check connection to each.

The pool owns the health-check connections, by endpoint id, and keeps their number within the limit that the
process's budget of descriptors sets. It doesn't own attempts, but counts them, since their sockets count
towards the limit of descriptors.
"""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, Protocol

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.core import RequestContext
from stepflow.node.runtime.connection import adopt
from stepflow.node.upstreams.attempt import UpstreamAttempt
from stepflow.node.upstreams.dialer import Dialer
from stepflow.node.upstreams.health_check import HealthCheckConnection
from stepflow.node.upstreams.services import UpstreamServices
from stepflow.settings import NodeSettings


class EndpointAddresses(Protocol):
    """Looks up the addresses of endpoints."""

    def address_of(self, endpoint_id: str) -> Address | None:
        """Return the address of an endpoint, or None if the endpoint isn't listed."""


class HealthCheckLimits(NamedTuple):
    """Limits of the numbers of health-check connections."""

    connections: int  # open, whether idle or not
    in_progress: int  # with a check in progress; these can't be closed


NO_LIMITS = HealthCheckLimits(sys.maxsize, sys.maxsize)


class UpstreamConnections:
    """Carries out the core's actions toward endpoints (`core.Upstream`)."""

    def __init__(self, services: UpstreamServices, addresses: EndpointAddresses) -> None:
        self._services, self._addresses = services, addresses
        self._health_checks: dict[str, HealthCheckConnection] = {}
        self._idle: dict[str, HealthCheckConnection] = {}  # the idle ones of these, least recently used first
        self._limits: Callable[[], HealthCheckLimits] = lambda: NO_LIMITS
        self.attempts = 0  # sockets of attempts and sessions, from the start of the connect until the close

    @property
    def health_check_connections(self) -> int:
        """The number of open health-check connections."""
        return len(self._health_checks)

    @property
    def idle_health_check_connections(self) -> int:
        """The number of health-check connections on which no check is in progress."""
        return len(self._idle)

    def limit_health_checks(self, limits: Callable[[], HealthCheckLimits]) -> None:
        """Set the function that returns the limits of health-check connections."""
        self._limits = limits

    def update_settings(self, settings: NodeSettings) -> None:
        """Apply the settings of a reload; open connections use the new values from their next event on."""
        self._services.settings = settings

    def start_attempt(
        self, context: RequestContext, endpoint_id: str, timeout: timedelta
    ) -> UpstreamAttempt | None:
        """Start an attempt with this timeout; return None if the endpoint has no address."""
        address = self._addresses.address_of(endpoint_id)
        if address is None:
            return None
        attempt = self._new_attempt(context, timeout)
        attempt.dial(address)
        return attempt

    def adopt_session(self, context: RequestContext, sock: socket.socket) -> UpstreamAttempt:
        """Return a new attempt for a session that the predecessor established, on the session's socket."""
        attempt = self._new_attempt(context, timedelta(0))
        attempt.skip_opening()
        adopt(self._services.reactor, sock, Dialer(attempt))
        return attempt

    def start_health_check(self, endpoint_id: str) -> None:
        """Request an endpoint's load report; `Core.health_check_ended` follows.

        The result is NOT_SENT if too many other checks are in progress.
        """
        address = self._addresses.address_of(endpoint_id)
        if address is None:
            self._services.core.health_check_ended(endpoint_id, AttemptResult.CONNECT_FAILED, timedelta(0))
            return
        connection = self._health_checks.get(endpoint_id)
        if connection is not None and connection.address != address:
            connection.close()
            connection = None
        if connection is not None and connection.busy:
            return  # the answer to the check in progress also serves this request
        limits = self._limits()
        if len(self._health_checks) - len(self._idle) >= limits.in_progress:
            self._services.counters.probes_skipped += 1
            self._services.core.health_check_ended(endpoint_id, AttemptResult.NOT_SENT, timedelta(0))
            return
        if connection is None:
            self.close_idle_beyond(limits.connections - 1)
            connection = HealthCheckConnection(self._services, endpoint_id, address, self)
            self._health_checks[endpoint_id] = connection
        self._idle.pop(endpoint_id, None)
        self._services.counters.probes += 1
        connection.start_check()

    def close_idle(self, endpoint_id: str) -> None:
        """Close the health-check connection of an endpoint, unless a check is in progress on it."""
        connection = self._health_checks.get(endpoint_id)
        if connection is not None and not connection.busy:
            connection.close()

    def close_idle_beyond(self, count: int) -> None:
        """Close idle health-check connections, the least recently used first, until `count` are open."""
        while self._idle and len(self._health_checks) > count:
            next(iter(self._idle.values())).release()

    def close(self) -> None:
        """Close all health-check connections; the core ends the attempts."""
        for connection in tuple(self._health_checks.values()):
            connection.close()

    def _new_attempt(self, context: RequestContext, timeout: timedelta) -> UpstreamAttempt:
        self.attempts += 1
        return UpstreamAttempt(self._services, context, timeout, self._attempt_closed)

    def _attempt_closed(self) -> None:
        self.attempts -= 1

    # Called by health-check connections, which may have been replaced.

    def check_ended(self, connection: HealthCheckConnection) -> None:
        """Note that a connection is idle, unless it was closed."""
        if self._health_checks.get(connection.endpoint_id) is connection:
            self._idle[connection.endpoint_id] = connection

    def connection_closed(self, connection: HealthCheckConnection) -> None:
        """Forget a connection that can no longer be used."""
        if self._health_checks.get(connection.endpoint_id) is connection:
            del self._health_checks[connection.endpoint_id]
            self._idle.pop(connection.endpoint_id, None)
