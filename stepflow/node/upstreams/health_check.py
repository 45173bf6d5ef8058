"""Health checks: STATS and its answer, on one persistent connection to each endpoint.

Each check calls `Core.health_check_ended` once, with an `AttemptResult` and the check's latency.
Source: PROTOCOL.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.runtime.connection_log import Side
from stepflow.node.runtime.lines import LineProtocol
from stepflow.node.runtime.timers import Timer
from stepflow.node.upstreams.dialer import Dialer
from stepflow.node.upstreams.load_report import parse_load_report
from stepflow.node.upstreams.services import UpstreamServices

HEALTH_CHECK_TIMEOUT = timedelta(milliseconds=250)  # includes the connect of a new connection
_REQUEST = b"STATS\r\n"


class HealthCheckOwner(Protocol):
    """Keeps the connections between their checks."""

    def check_ended(self, connection: HealthCheckConnection) -> None:
        """Handle the end of a check; the connection is idle, unless it was closed."""

    def connection_closed(self, connection: HealthCheckConnection) -> None:
        """Handle a connection that can no longer be used; called once."""


class HealthCheckConnection(LineProtocol):
    """A connection to an endpoint for its health checks, one at a time.

    It connects at once, and closes when a check fails or after the settings' `idle_close` without a check.
    """

    def __init__(
        self, services: UpstreamServices, endpoint_id: str, address: Address, owner: HealthCheckOwner
    ) -> None:
        super().__init__()
        self._services, self._owner = services, owner
        self.endpoint_id, self.address = endpoint_id, address
        self.busy = False  # a check is in progress
        self._connected = self._closed = False
        self._started_at = services.clock.now()
        self._timer: Timer | None = None
        self._dialer = Dialer(self, self._connect_failed)
        self._dialer.dial(services.reactor, address)

    def start_check(self) -> None:
        """Request a load report. Call only while no check is in progress."""
        self.busy, self._started_at = True, self._services.clock.now()
        self._set_timer(HEALTH_CHECK_TIMEOUT, self._timed_out)
        if self._connected:
            self.tcp_transport.write(_REQUEST)

    def close(self, result: AttemptResult = AttemptResult.CANCELLED) -> None:
        """Close the socket; a check in progress ends with this result."""
        if self._closed:
            return
        self._mark_closed(result)
        if self._connected:
            now = self._services.clock.now()
            self._timer = self._services.log.start_close_deadline("", Side.ENDPOINT, self.tcp_transport, now)
            self.tcp_transport.abortConnection()
        else:
            self._dialer.cancel()

    def release(self) -> None:
        """Close an idle connection in this turn of the reactor, since its descriptor is needed."""
        self.close()
        self.tcp_transport.connectionLost(Failure(ConnectionAborted()))  # type: ignore[no-untyped-call]

    def connectionMade(self) -> None:
        """Send the check that was waiting for the connection."""
        super().connectionMade()
        self._connected = True
        if self.busy:
            self.tcp_transport.write(_REQUEST)

    def lineReceived(self, line: memoryview) -> None:
        """Handle the answer to a check."""
        word, _, rest = bytes(line).partition(b" ")
        if not self.busy:
            self.close()  # unsolicited line: later answers could no longer be matched to their checks
        elif word == b"PONG":
            fields = self._services.settings.policy.load_report_fields
            self._set_timer(self._services.settings.idle_close, self.close)
            self._end_check(AttemptResult.OK, parse_load_report(rest, fields))
        else:
            self._end_check(AttemptResult.FULL if word == b"BUSY" else AttemptResult.ERROR)
            self.close()

    def lineLengthExceeded(self) -> None:
        """Close the connection: the endpoint speaks another protocol."""
        self.close(AttemptResult.ERROR)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the check in progress."""
        self._cancel_timer()
        self._mark_closed(AttemptResult.RESET)

    def _timed_out(self) -> None:
        self.close(AttemptResult.TIMEOUT if self._connected else AttemptResult.CONNECT_FAILED)

    def _connect_failed(self) -> None:
        # `dial` may fail before the constructor returns, and so before the pool has stored the connection.
        self._services.reactor.callLater(0, self._mark_closed, AttemptResult.CONNECT_FAILED)

    def _mark_closed(self, result: AttemptResult) -> None:
        if not self._closed:
            self._closed = True
            self._cancel_timer()
            self._owner.connection_closed(self)
        self._end_check(result)

    def _end_check(self, result: AttemptResult, load_report: tuple[float, ...] = ()) -> None:
        """End the check in progress, if any. All other methods end a check through this one."""
        if self.busy:
            self.busy = False
            self._owner.check_ended(self)
            latency = self._services.clock.now() - self._started_at
            self._services.core.health_check_ended(self.endpoint_id, result, latency, load_report)

    def _set_timer(self, span: timedelta, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._services.timers.after(span, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
