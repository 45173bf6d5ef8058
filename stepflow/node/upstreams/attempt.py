"""An attempt: one request at one endpoint, on a TCP connection of its own.

The attempt connects, writes the request's OPEN line and reads the endpoint's answer. After UP, the connection
belongs to a session, and its bytes go to the relay. No method raises: every outcome is an `AttemptResult`.
Source: PROTOCOL.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol, cast

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.core import RequestContext
from stepflow.node.relay import Relay
from stepflow.node.runtime.connection import error_name, network_failed
from stepflow.node.runtime.connection_log import Side
from stepflow.node.runtime.lines import LineProtocol, was_reset
from stepflow.node.runtime.transports import flush
from stepflow.node.upstreams.dialer import Dialer
from stepflow.node.upstreams.load_report import parse_load_report
from stepflow.node.upstreams.services import UpstreamServices

_RESULT_OF_ANSWER = {
    b"BYE": AttemptResult.OK,
    b"MOVE": AttemptResult.CANCELLED,
    b"BUSY": AttemptResult.FULL,
    b"ERR": AttemptResult.ERROR,
}


class LineDownstream(Protocol):
    """A downstream whose requests begin with a line, as in this protocol."""

    def open_line(self, timeout: timedelta) -> bytes:
        """Return the OPEN line for an attempt with this timeout."""


class UpstreamAttempt(LineProtocol):
    """One attempt, and the upstream side of the session that it establishes (`core.Attempt`).

    The attempt owns its socket. It calls `Core.attempt_ended` once and only after the socket is closed, so
    that the next attempt can't start earlier. Only a relay may report the end while the socket still lingers
    (`detach`). `closed` is called once, when the socket is closed.
    """

    def __init__(
        self,
        services: UpstreamServices,
        context: RequestContext,
        timeout: timedelta,
        closed: Callable[[], None],
    ) -> None:
        super().__init__()
        self._services, self._context, self._on_closed = services, context, closed
        self._expires_at = services.clock.now() + timeout
        self._result: AttemptResult | None = None  # set when the result is known, before the socket is closed
        self._load_report: tuple[float, ...] = ()
        self._answer = b""
        self._connected = self._closed = False
        # Whether the OPEN line was passed to the transport, and whether its last byte was sent.
        self._line_written = self._line_sent = False
        self._detached = False
        self._relay: Relay | None = None
        self.up_line = b""  # the endpoint's UP line as received
        self._bytes_after_up = b""
        connect_timeout = min(timeout, services.settings.connect_timeout)
        self._timer = services.timers.after(connect_timeout, self._connect_timed_out)

    @property
    def request_id(self) -> str:
        """The client's request id."""
        return self._context.client_request_id

    # Before UP.

    def dial(self, address: Address) -> None:
        """Start to connect."""
        self._dialer = Dialer(self, self._connect_failed)
        self._dialer.dial(self._services.reactor, address)

    def skip_opening(self) -> None:
        """Treat the request as sent and answered, for a session that another process established."""
        self._timer.cancel()
        self._line_written = self._line_sent = True
        self.setRawMode()

    def abandon(self) -> None:
        """Close the socket, unless the attempt already has a result."""
        self._give_up(AttemptResult.CANCELLED)

    def connectionMade(self) -> None:
        """Start to send the OPEN line, if the policy still allows it."""
        super().connectionMade()
        self._connected = True
        if self._line_sent:
            return
        self._timer.cancel()
        # Connecting took time: the policy may no longer allow the attempt that it started.
        if not self._services.core.may_send_attempt(self._context):
            self._give_up(AttemptResult.NOT_SENT)
            return
        self._timer = self._services.timers.at(self._expires_at, self._timed_out)
        # The transport asks a pull producer for more data once the line's last byte was written: from then on
        # the request may have run.
        self.tcp_transport.registerProducer(self, False)
        # Write now: before the reactor's next turn, which many events can delay, the client may disconnect.
        flush(self.tcp_transport)

    def resumeProducing(self) -> None:
        """Write the OPEN line at the transport's first call; the second call shows that it was sent."""
        if self._line_written:
            self.tcp_transport.unregisterProducer()
            self._mark_sent()
        elif self._result is not None:
            self.tcp_transport.unregisterProducer()
        else:
            self._line_written = True
            downstream = cast(LineDownstream, self._context.downstream)
            self.tcp_transport.write(downstream.open_line(self._expires_at - self._services.clock.now()))

    def stopProducing(self) -> None:
        """Do nothing: the connection was lost before the line was sent, and `connectionLost` follows."""

    def lineReceived(self, line: memoryview) -> None:
        """Handle the endpoint's answer."""
        if self._result is not None:
            return
        word, _, rest = bytes(line).partition(b" ")
        if word == b"LOAD":
            return  # LOAD has no meaning before UP
        if self._line_written:
            self._mark_sent()
        if word == b"UP":
            self._timer.cancel()
            self.up_line = bytes(line) + b"\r\n"
            self._bytes_after_up = self.setRawMode()
            self._services.core.attempt_established(self._context, self)
            return
        self._result = _RESULT_OF_ANSWER.get(word, AttemptResult.ERROR)  # an unknown word is an error
        self._answer = bytes(line) + b"\r\n"
        if rest:
            self._load_report = parse_load_report(rest, self._services.settings.policy.load_report_fields)
        self._abort(self._result)

    def lineLengthExceeded(self) -> None:
        """Close the socket: the endpoint speaks another protocol."""
        self._give_up(AttemptResult.ERROR)

    # After UP.

    def attach_relay(self, relay: Relay) -> None:
        """Pass the bytes that followed UP in its buffer, and all bytes received from now on, to the relay."""
        self._relay = relay
        received, self._bytes_after_up = self._bytes_after_up, b""
        if received:
            relay.data_from_upstream(received)

    def detach(self) -> None:
        """Report the attempt's end now: its relay has ended, and only the socket remains to be closed."""
        if self._relay is not None and not self._detached:
            self._detached = True
            self._services.core.attempt_ended(self._context, self._relay.result)

    def rawDataReceived(self, data: bytes) -> None:
        """Pass bytes of a session to its relay."""
        if self._relay is not None:
            self._relay.data_from_upstream(data)

    def input_ended(self) -> bool:
        """Report the endpoint's FIN to the relay, which then ends this connection."""
        if self._relay is None:
            return False
        self._relay.upstream_ended()
        return True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the attempt's end, unless `detach` already did."""
        self._timer.cancel()
        answered = bool(self.up_line or self._answer)
        how = error_name(self.transport) or type(reason.value).__name__
        self._services.log.closed(self.request_id, Side.ENDPOINT, how, answered)
        self._mark_closed()
        result = self._result
        if self._relay is not None:
            result = self._relay.upstream_lost(was_reset(reason), network_failed(self.transport))
            self._relay = None  # break the reference cycle: the relay holds this attempt
        elif result is None:
            result = AttemptResult.RESET if self._line_sent else AttemptResult.CONNECT_FAILED
        if not self._detached:
            self._services.core.attempt_ended(self._context, result, self._load_report, self._answer)

    def _connect_timed_out(self) -> None:
        if not self._closed:
            self._dialer.cancel()  # _connect_failed follows

    def _connect_failed(self) -> None:
        self._timer.cancel()
        self._mark_closed()
        result = AttemptResult.CONNECT_FAILED if self._result is None else self._result
        # `dial` may fail before it returns, and so before the core has stored the attempt.
        self._services.reactor.callLater(0, self._services.core.attempt_ended, self._context, result)

    def _mark_closed(self) -> None:
        self._closed = True
        self._on_closed()

    def _mark_sent(self) -> None:
        """Record that the line was sent; the answer may arrive before the transport reports this."""
        if not self._line_sent:
            self._line_sent = True
            self._services.core.attempt_sent(self._context)

    def _timed_out(self) -> None:
        self._give_up(AttemptResult.TIMEOUT)

    def _give_up(self, result: AttemptResult) -> None:
        """Close the socket with this result, unless the attempt already has a result."""
        if self._closed or self._result is not None:
            return
        self._result = result
        if self._connected:
            self._abort(result)
        else:
            self._dialer.cancel()

    def _abort(self, result: AttemptResult) -> None:
        """Reset the connection; `connectionLost` reports the result."""
        log = self._services.log
        log.ending(self.request_id, Side.ENDPOINT, result.name.lower())
        self._timer.cancel()
        self._timer = log.start_close_deadline(
            self.request_id, Side.ENDPOINT, self.tcp_transport, self._services.clock.now()
        )
        self.tcp_transport.abortConnection()
