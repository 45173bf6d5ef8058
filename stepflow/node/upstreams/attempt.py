"""An attempt: one request at one endpoint, on a TCP connection of its own.

The attempt connects, writes the opening line of its request and reads the endpoint's answer. After UP, the
connection belongs to a session, and its bytes go to the relay. Nothing is raised: each end is an
`AttemptResult`. Source: PROTOCOL.
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
    """A downstream whose requests begin with a line, as this protocol's do."""

    def opening_line(self, timeout: timedelta) -> bytes:
        """The first line for an attempt that may take so long."""


class UpstreamAttempt(LineProtocol):
    """One attempt, and the upstream side of the session that it establishes (`core.Attempt`).

    It owns its socket. `Core.attempt_ended` is called once, and not before the socket is closed, so that the
    next attempt can't begin sooner; only a relay may end it while the socket still lingers (`detach`).
    `closed` is called once, when the socket is.
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
        self._result: AttemptResult | None = None  # of the end to come, once it is decided
        self._load_report: tuple[float, ...] = ()
        self._answer = b""
        self._connected = self._closed = False
        self._line_written = self._line_sent = False  # given to the transport; its last byte went out
        self._detached = False
        self._relay: Relay | None = None
        self.up_line = b""  # the endpoint's UP, as it came
        self._bytes_after_up = b""
        connect_timeout = min(timeout, services.settings.connect_timeout)
        self._timer = services.timers.after(connect_timeout, self._connect_timed_out)

    @property
    def request_id(self) -> str:
        """The id that the client gave."""
        return self._context.client_request_id

    # Before UP.

    def dial(self, address: Address) -> None:
        """Begin the connection."""
        self._dialer = Dialer(self, self._connect_failed)
        self._dialer.dial(self._services.reactor, address)

    def skip_opening(self) -> None:
        """Treat the request as sent and answered, for a session that another process has established."""
        self._timer.cancel()
        self._line_written = self._line_sent = True
        self.setRawMode()

    def abandon(self) -> None:
        """Close the socket, unless the attempt's end is decided already."""
        self._give_up(AttemptResult.CANCELLED)

    def connectionMade(self) -> None:
        """Begin to send the opening line, if the policy still allows it."""
        super().connectionMade()
        self._connected = True
        if self._line_sent:
            return
        self._timer.cancel()
        # Connecting took its time: what was allowed when this was decided may not be any more.
        if not self._services.core.may_send_attempt(self._context):
            self._give_up(AttemptResult.NOT_SENT)
            return
        self._timer = self._services.timers.at(self._expires_at, self._timed_out)
        # As a pull producer, it is asked for more once the line's last byte was written: from then
        # on the request may have run.
        self.wire.registerProducer(self, False)
        # Now, not in the next turn: the client may leave in between, and a turn of many events takes long.
        flush(self.wire)

    def resumeProducing(self) -> None:
        """Write the line at the transport's first call; at the second, its last byte has gone out."""
        if self._line_written:
            self.wire.unregisterProducer()
            self._mark_sent()
        elif self._result is not None:
            self.wire.unregisterProducer()
        else:
            self._line_written = True
            downstream = cast(LineDownstream, self._context.downstream)
            self.wire.write(downstream.opening_line(self._expires_at - self._services.clock.now()))

    def stopProducing(self) -> None:
        """Do nothing: the connection broke before the line was written, and `connectionLost` follows."""

    def lineReceived(self, line: memoryview) -> None:
        """Take the endpoint's answer."""
        if self._result is not None:
            return
        word, _, rest = bytes(line).partition(b" ")
        if word == b"LOAD":
            return  # has no meaning before UP
        if self._line_written:
            self._mark_sent()
        if word == b"UP":
            self._timer.cancel()
            self.up_line = bytes(line) + b"\r\n"
            self._bytes_after_up = self.setRawMode()
            self._services.core.attempt_established(self._context, self)
            return
        self._result = _RESULT_OF_ANSWER.get(word, AttemptResult.ERROR)  # any other line is an error too
        self._answer = bytes(line) + b"\r\n"
        if rest:
            self._load_report = parse_load_report(rest, self._services.settings.policy.load_report_fields)
        self._abort(self._result)

    def lineLengthExceeded(self) -> None:
        """Close the socket: the endpoint speaks another protocol."""
        self._give_up(AttemptResult.ERROR)

    # After UP.

    def attach_relay(self, relay: Relay) -> None:
        """Pass all that comes from now on to the relay, and what came behind UP in the same buffer."""
        self._relay = relay
        if self._bytes_after_up:
            relay.data_from_upstream(self._bytes_after_up)

    def detach(self) -> None:
        """Report the attempt's end now: its relay has ended, and only the socket is still to be closed."""
        if self._relay is not None and not self._detached:
            self._detached = True
            self._services.core.attempt_ended(self._context, self._relay.result)

    def rawDataReceived(self, data: bytes) -> None:
        """Pass bytes of a session to its relay."""
        if self._relay is not None:
            self._relay.data_from_upstream(data)

    def input_ended(self) -> bool:
        """Pass the endpoint's FIN on to its session, which then ends this connection."""
        if self._relay is None:
            return False
        self._relay.upstream_ended()
        return True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the attempt's end, unless `detach` did."""
        self._timer.cancel()
        answered = bool(self.up_line or self._answer)
        how = error_name(self.transport) or type(reason.value).__name__
        self._services.log.closed(self.request_id, Side.ENDPOINT, how, answered)
        self._mark_closed()
        result = self._result
        if self._relay is not None:
            result = self._relay.upstream_lost(was_reset(reason), network_failed(self.transport))
            self._relay = None  # the relay holds this attempt: a reference cycle
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
        # Dialling may fail before it returns: the core must know of the attempt first.
        self._services.reactor.callLater(0, self._services.core.attempt_ended, self._context, result)

    def _mark_closed(self) -> None:
        self._closed = True
        self._on_closed()

    def _mark_sent(self) -> None:
        """Note that the line went out; an answer may be read before the transport tells so."""
        if not self._line_sent:
            self._line_sent = True
            self._services.core.attempt_sent(self._context)

    def _timed_out(self) -> None:
        self._give_up(AttemptResult.TIMEOUT)

    def _give_up(self, result: AttemptResult) -> None:
        """Close the socket, unless something has decided the end already."""
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
        self._timer = log.watch(self.request_id, Side.ENDPOINT, self.wire, self._services.clock.now())
        self.wire.abortConnection()
