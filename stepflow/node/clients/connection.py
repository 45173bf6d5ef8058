"""A client's connection: speaks the platform's line protocol, and is the core's `Downstream`.

A connection passes through these stages:

1. Unopened: PING lines are answered with PONG. The OPEN line must arrive within `FIRST_LINE_TIMEOUT`.
2. Waiting: the core handles the request. Any data from the client is malformed.
3. Established: after UP, a `Relay` forwards bytes in both directions and owns the socket.
4. Answered: BUSY, ERR or the endpoint's answer was sent, followed by a FIN. Further data of the client is
   read and discarded for `CLOSE_TIMEOUT` at most, so that no reset overtakes the answer.

Lines end in CR LF. A line that can't be parsed is answered `ERR malformed`. An exception while a client's
data is processed closes an established session; at earlier stages it is logged, counted and answered `ERR`.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.logs import get_logger
from stepflow.node.clients.admission import DescriptorAdmission
from stepflow.node.clients.open_request import MalformedRequestError, OpenRequest
from stepflow.node.clients.refusal import BUSY_LINE
from stepflow.node.clients.request_ids import RequestIds
from stepflow.node.clients.services import ClientServices
from stepflow.node.core import Attempt, RequestContext
from stepflow.node.relay import Relay
from stepflow.node.runtime.clock import millis
from stepflow.node.runtime.connection_log import Side
from stepflow.node.runtime.lines import LineProtocol, was_reset
from stepflow.node.runtime.timers import Timer
from stepflow.node.runtime.transports import close_or_reset, flush, has_ended
from stepflow.node.session_transfer import BYTES_ENCODING, SessionTransfer
from stepflow.node.upstreams.attempt import UpstreamAttempt

# Counted from the time of connection. Neither single bytes nor PINGs extend it, since many clients that send
# those could hold all of the node's descriptors. Real clients may take 2 s to write their OPEN line; bad
# clients must get an answer within 3 s.
FIRST_LINE_TIMEOUT = timedelta(seconds=2.6)
CLOSE_TIMEOUT = timedelta(milliseconds=600)  # time for the client to read its answer and close
MAX_PINGS = 8  # per connection
MAX_DISCARDED_BYTES = 1 << 18  # bytes discarded after the answer before reading is paused

log = get_logger()


class ClientConnection(LineProtocol):
    """The protocol of one client connection; owns the socket until a relay takes it over.

    `request_ids` holds the ids that must not come again; the connection opens and closes the id of its own
    request there. `parse` parses an OPEN line by the current settings.
    """

    def __init__(
        self,
        services: ClientServices,
        admission: DescriptorAdmission,
        request_ids: RequestIds,
        parse: Callable[[bytes], OpenRequest],
    ) -> None:
        super().__init__()
        self._services, self._admission = services, admission
        self._request_ids, self._parse = request_ids, parse
        self._request_id = ""
        self._open_request: OpenRequest | None = None  # until the answer: each attempt needs the line
        self._context: RequestContext | None = None
        self._relay: Relay | None = None
        self._timer: Timer | None = None  # first for the first line, later for the close
        self._answered = False
        self._pings = self._discarded_bytes = 0
        self._registered_id: int | None = None  # the id that this connection has opened in `request_ids`
        self._accepted: RequestContext | None = None  # kept until the close, other than `_context`

    @property
    def request_id(self) -> str:
        """The id in the client's OPEN line; empty before that line."""
        return self._request_id

    # Callbacks of Twisted and `LineProtocol`.

    def connectionMade(self) -> None:
        """Start the timeout of the first line."""
        super().connectionMade()
        self._admission.connection_made(self)
        self._services.counters.clients += 1
        self._timer = self._services.timers.after(FIRST_LINE_TIMEOUT, self._first_line_timed_out)

    def dataReceived(self, data: bytes) -> None:
        """Process data of the client; an exception ends this connection only."""
        try:
            super().dataReceived(data)
        except Exception:
            if self._relay is not None:
                raise  # Twisted closes the session; an answer must not appear between its lines
            # Twisted would close the connection without an answer to the request that was read.
            self._services.counters.faults += 1
            log.exception("processing client data failed")
            self._release_request()
            self.fail()
            return
        self._admission.data_received(self)

    def lineReceived(self, line: memoryview) -> None:
        """Handle a line before UP: a PING or the OPEN line."""
        if line.tobytes() == b"PING":
            self._ping_received()
            return
        try:
            open_request = self._parse(bytes(line))  # a copy, since it is kept for all attempts
        except MalformedRequestError:
            self._answer_malformed()
            return
        # A client must not send data before its answer: bytes after the OPEN line would have to be forwarded
        # to the endpoint as if they belonged to the session.
        if not self.between_lines or not self._request_ids.open(open_request.numeric_id):
            self._answer_malformed()
            return
        self._registered_id = open_request.numeric_id
        self.setRawMode()
        self._end_unopened_stage()
        self._open(open_request)

    def lineLengthExceeded(self) -> None:
        """Answer `ERR malformed` to an overlong first line."""
        self._answer_malformed()

    def rawDataReceived(self, data: bytes) -> None:
        """Process data after the OPEN line."""
        if self._relay is not None:
            self._relay.data_from_client(data)
        elif not self._answered:  # a client must not send data before its answer
            self._release_request()
            self._answer_malformed()
        else:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:  # an answered client may send without end
                self.tcp_transport.pauseProducing()

    def input_ended(self) -> bool:
        """Forward the client's FIN to the session; without a session the FIN ends the connection."""
        if self._relay is None:
            return False
        self._relay.client_ended()
        return True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Release the request and the timer; end the endpoint's side of a session in the same way."""
        self._admission.connection_lost(self)
        self._cancel_timer()
        self._log_closed(reason)
        if self._registered_id is not None:
            may_have_run = self._accepted is not None and self._accepted.may_have_run
            self._request_ids.close(self._registered_id, may_have_run)
        self._accepted = None
        if self._relay is not None:
            self._relay.client_lost(reset=was_reset(reason))
            # Relay and context refer to this connection; reference counting could free none of the three.
            self._relay = self._context = None
        else:
            self._release_request()

    # Called by admission.

    def evict(self) -> None:
        """Close an unopened connection at once, since its descriptor is needed."""
        self._end_unopened_stage()
        self._answered = True
        self.tcp_transport.write(BUSY_LINE)  # in case its OPEN line is already on the way
        flush(self.tcp_transport)
        # Twisted's closing methods take effect in the reactor's next turn, but one turn accepts many clients.
        self.tcp_transport.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]

    # Hand-over of sessions between processes.

    def prepare_transfer(self) -> SessionTransfer | None:
        """Return the state that another process needs to continue this session.

        None while there is no session, or its sockets can't be passed yet.
        """
        if (
            self._relay is None
            or self._context is None
            or (transfer := self._relay.prepare_transfer()) is None
        ):
            return None
        request = self._context.request
        return SessionTransfer(
            client_descriptor=transfer.client_descriptor,
            endpoint_descriptor=transfer.endpoint_descriptor,
            from_client=transfer.from_client.decode(BYTES_ENCODING),
            from_endpoint=transfer.from_endpoint.decode(BYTES_ENCODING),
            echoes_owed=transfer.echoes_owed,
            request_id=cast(int, self._registered_id),
            class_name=self._services.core.class_name(request.class_index),
            tenant=self._services.core.tenant_name(request.tenant),
            load=self._services.core.session_load(self._context),
            idempotency_key=request.idempotency_key,
            affinity_group=request.affinity_group,
            endpoint=self._context.endpoint,
        )

    def transfer_answered(self, accepted: bool) -> None:
        """Tell the relay whether the other process has taken the session that was offered to it."""
        if accepted:
            self._accepted = None  # its id is open in the other process now
        if self._relay is not None:
            self._relay.transfer_answered(accepted)

    def adopt_request(self, context: RequestContext, id: int) -> None:
        """Register the request of a session that the predecessor has handed over."""
        self._end_unopened_stage()
        self.setRawMode()
        self._request_ids.adopt(id)
        self._registered_id, self._context, self._accepted = id, context, context

    def restore_transferred(self, session: SessionTransfer) -> None:
        """Pass the predecessor's half lines and its number of pending echoes to the relay."""
        if self._relay is not None:
            self._relay.restore_transferred(*session.half_lines(), session.echoes_owed)

    # `Downstream`, called by the core and its attempts.

    def check_disconnected(self) -> None:
        """Tell the core if the client has disconnected, even if Twisted has not read its FIN yet."""
        if not self._answered and self._relay is None and has_ended(self.tcp_transport):
            self._release_request()

    def open_line(self, timeout: timedelta) -> bytes:
        """Return the OPEN line for an attempt with this timeout."""
        return b"" if self._open_request is None else self._open_request.line_for_attempt(timeout)

    def session_established(self, attempt: Attempt) -> None:
        """Send the endpoint's UP line, and connect both sides with a relay."""
        upstream = cast(UpstreamAttempt, attempt)
        context = cast(RequestContext, self._context)
        self.tcp_transport.write(upstream.up_line)
        self._relay = Relay(context, self, upstream, self._services.relay, upstream.detach)
        self._open_request = None
        upstream.attach_relay(self._relay)

    def reject(self, retry_after: timedelta) -> None:
        """Answer BUSY, with the milliseconds to wait before a retry if they are above zero."""
        wait = millis(retry_after)
        self._answer(b"BUSY %d\r\n" % wait if wait > 0 else BUSY_LINE)

    def fail(self) -> None:
        """Answer ERR."""
        self._answer(b"ERR\r\n")

    def complete(self, answer: bytes) -> None:
        """Forward the answer of an endpoint that served the request without a session."""
        self._answer(answer)

    def prepare_migration(self) -> None:
        """Forward whole lines only from now on."""
        if self._relay is not None:
            self._relay.prepare_migration()

    def migrate(self) -> None:
        """Send MOVE after the current line, and end the session."""
        if self._relay is not None:
            self._relay.migrate()

    # Internal helpers.

    def _ping_received(self) -> None:
        self._pings += 1
        if self._pings > MAX_PINGS or not self.between_lines:  # a client must wait for each PONG
            self._answer_malformed()
        else:
            self.tcp_transport.write(b"PONG\r\n")

    def _open(self, open_request: OpenRequest) -> None:
        """Pass a request to the core, if a descriptor is free for the socket to its endpoint."""
        core, name = self._services.core, open_request.client_request_id
        if not self._admission.ensure_descriptor():
            self._services.counters.table_full += 1
            core.reject_unaccepted(open_request.request, name, "no free descriptor")
            self.reject(timedelta(0))
            return
        self._request_id, self._open_request = name, open_request
        self._context = core.accept(open_request.request, self, open_request.previous_endpoint, name)
        self._accepted = self._context
        if self._context is None:
            self.reject(timedelta(0))

    def _first_line_timed_out(self) -> None:
        self._services.counters.malformed += 1
        self._answer(b"ERR too slow\r\n")

    def _answer_malformed(self) -> None:
        if not self._answered:
            self._services.counters.malformed += 1
            self._answer(b"ERR malformed\r\n")

    def _release_request(self) -> None:
        """Tell the core that the request no longer needs an answer."""
        if self._context is not None:
            context, self._context = self._context, None
            self._services.core.client_disconnected(context)

    def _end_unopened_stage(self) -> None:
        """Exclude the connection from eviction and cancel its timer.

        Called when the OPEN line has arrived, or when the client's lines are no longer read.
        """
        self._admission.remove_candidate(self)
        self._cancel_timer()

    def _log_closed(self, reason: Failure) -> None:
        if self._request_id:
            answered = self._answered or self._relay is not None
            how = type(reason.value).__name__
            self._services.log.closed(self.request_id, Side.CLIENT, how, answered)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _answer(self, line: bytes) -> None:
        """Send the answer and a FIN, and wait up to `CLOSE_TIMEOUT` for the client to close.

        Only the first answer is sent. Closing a socket with unread bytes would send a reset, which could
        overtake the answer.
        """
        if self._answered:
            return
        self._end_unopened_stage()
        self._answered, self._context, self._open_request = True, None, None
        self.setRawMode()
        self.tcp_transport.write(line)
        self.tcp_transport.loseWriteConnection()
        self._timer = self._services.timers.after(CLOSE_TIMEOUT, self._close)

    def _close(self) -> None:
        """Close the connection of a client that did not close it after its answer."""
        log = self._services.log
        log.ending(self.request_id, Side.CLIENT, "answered")
        self._timer = log.start_close_deadline(
            self.request_id, Side.CLIENT, self.tcp_transport, self._services.clock.now()
        )
        close_or_reset(self.tcp_transport)
