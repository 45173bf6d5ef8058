"""One client's connection: the platform's line protocol on the wire, a `Downstream` for the core.

A connection goes through these stages:

1. Unopened: PING lines are answered PONG, and an OPEN line is waited for, for `FIRST_LINE_TIMEOUT` at most.
2. Waiting: the core has the request. Anything that the client sends now is malformed.
3. Established: after UP a `Relay` passes bytes on both ways and owns the socket.
4. Answered: BUSY, ERR or the endpoint's own answer went out, and the sending has ended. What the client still
   sends is read and dropped for `CLOSE_TIMEOUT` at most, so that no reset overtakes the answer.

Lines end in CR LF. A line that can't be parsed is answered `ERR malformed`; an exception while bytes of a
client are taken is logged, counted and answered `ERR`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.logs import get_logger
from stepflow.node.clients.admission import DescriptorAdmission
from stepflow.node.clients.open_request import MalformedRequestError, OpenRequest
from stepflow.node.core import Attempt, Core, RequestContext
from stepflow.node.relay import Relay, RelayServices
from stepflow.node.runtime.clock import Clock, millis
from stepflow.node.runtime.connection_log import ConnectionLog, Side
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineProtocol, was_reset
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import finish, flush, has_ended
from stepflow.node.session_transfer import BYTES_ENCODING, SessionTransfer
from stepflow.node.upstreams.attempt import UpstreamAttempt

# Counted from the connection's first moment: neither single bytes nor PINGs extend it, or a crowd that sends
# those would hold the node's descriptors. Real clients may write for 2 s; bad ones are owed an answer within
# 3.
FIRST_LINE_TIMEOUT = timedelta(seconds=2.6)
CLOSE_TIMEOUT = timedelta(milliseconds=600)  # the most that a client takes to read its answer
MAX_PINGS = 8  # on one connection
MAX_DISCARDED_BYTES = 1 << 18  # read of a client after its answer; then its sending has to wait

log = get_logger()


@dataclass(frozen=True, slots=True)
class ClientServices:
    """The parts of the node that client connections use."""

    core: Core
    clock: Clock
    timers: Timers
    counters: Counters
    log: ConnectionLog
    relay: RelayServices


class ClientConnection(LineProtocol):
    """The protocol of one client connection; owns its socket until the relay does.

    `request_ids` holds the ids of all open requests of the node, to which the connection adds its own.
    `parse` parses an OPEN line by the settings of that moment.
    """

    def __init__(
        self,
        services: ClientServices,
        admission: DescriptorAdmission,
        request_ids: set[int],
        parse: Callable[[bytes], OpenRequest],
    ) -> None:
        super().__init__()
        self._services, self._admission = services, admission
        self._request_ids, self._parse = request_ids, parse
        self._open_request: OpenRequest | None = None
        self._context: RequestContext | None = None
        self._relay: Relay | None = None
        self._timer: Timer | None = None  # the first line's, later the close's
        self._answered = False
        self._pings = self._discarded_bytes = 0
        self._id: int | None = None  # what it has added to `request_ids`

    @property
    def request_id(self) -> str:
        """The id that the client gave, once it has opened."""
        return "" if self._open_request is None else self._open_request.client_request_id

    # What Twisted calls.

    def connectionMade(self) -> None:
        """Begin to wait for the first line."""
        super().connectionMade()
        self._admission.connection_made(self)
        self._services.counters.clients += 1
        self._timer = self._services.timers.after(FIRST_LINE_TIMEOUT, self._first_line_timed_out)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the client; an exception costs this connection alone."""
        try:
            super().dataReceived(data)
        except Exception:
            if self._relay is not None:
                raise  # Twisted closes the session: no answer may stand amid its lines
            # Twisted would close the connection, and the request that was read is owed an answer.
            self._services.counters.faults += 1
            log.exception("a client's bytes could not be taken")
            self._release_request()
            self.fail()
            return
        self._admission.data_received(self)

    def lineReceived(self, line: memoryview) -> None:
        """Take a line before UP: a PING or the OPEN line."""
        if line.tobytes() == b"PING":
            self._ping_received()
            return
        try:
            opening = self._parse(bytes(line))  # a copy, since every attempt sends it
        except MalformedRequestError:
            self._malformed()
            return
        # No client may send anything before its answer: bytes behind the line could only go on to the
        # endpoint as if they were the session's.
        if not self.at_end or opening.numeric_id in self._request_ids:
            self._malformed()
            return
        self.setRawMode()
        self._end_unopened_stage()
        self._open(opening)

    def lineLengthExceeded(self) -> None:
        """Answer an overlong first line."""
        self._malformed()

    def rawDataReceived(self, data: bytes) -> None:
        """Take bytes behind the OPEN line."""
        if self._relay is not None:
            self._relay.data_from_client(data)
        elif not self._answered:  # a client has to wait for its answer
            self._release_request()
            self._malformed()
        else:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:  # it may send without end, and has its answer
                self.wire.pauseProducing()

    def input_ended(self) -> bool:
        """Pass the client's FIN on to its session; before there is one, the client has left with it."""
        if self._relay is None:
            return False
        self._relay.client_ended()
        return True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Free what the connection holds; end the endpoint's side of a session in the same way."""
        self._admission.connection_lost(self)
        self._cancel_timer()
        self._log_closed(reason)
        if self._id is not None:
            self._request_ids.discard(self._id)
        if self._relay is not None:
            self._relay.client_lost(reset=was_reset(reason))
            # Both refer to this connection: reference counting alone would free none of the three.
            self._relay = self._context = None
        else:
            self._release_request()

    # What admission calls.

    def evict(self) -> None:
        """Close an unopened connection at once: its descriptor is needed."""
        self._end_unopened_stage()
        self._answered = True
        self.wire.write(b"BUSY\r\n")  # in case that its OPEN line is on its way
        flush(self.wire)
        # Twisted's own methods close in the reactor's next turn, but one turn accepts many clients.
        self.wire.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]

    # The hand-over to another process and from one.

    def prepare_transfer(self) -> SessionTransfer | None:
        """What another process must know to go on with this session, once its sockets can be passed."""
        if (
            self._relay is None
            or self._context is None
            or (passing := self._relay.prepare_transfer()) is None
        ):
            return None
        request = self._context.request
        return SessionTransfer(
            client_descriptor=passing.client_descriptor,
            endpoint_descriptor=passing.endpoint_descriptor,
            from_client=passing.from_client.decode(BYTES_ENCODING),
            from_endpoint=passing.from_endpoint.decode(BYTES_ENCODING),
            echoes_owed=passing.echoes_owed,
            request_id=cast(int, self._id),
            class_name=self._services.core.class_name(request.class_index),
            tenant=self._services.core.tenant_name(request.tenant),
            load=self._services.core.session_load(self._context),
            idempotency_key=request.idempotency_key,
            affinity_group=request.affinity_group,
            endpoint=self._context.endpoint,
        )

    def transfer_answered(self, by_other: bool) -> None:
        """Take note whether the other process goes on with the session that was offered to it."""
        if self._relay is not None:
            self._relay.transfer_answered(by_other)

    def adopt_request(self, context: RequestContext, id: int) -> None:
        """Hold the request of a session that the process before this one has handed over."""
        self._end_unopened_stage()
        self.setRawMode()
        self._request_ids.add(id)
        self._id, self._context = id, context

    def resume_transferred(self, session: SessionTransfer) -> None:
        """Give the relay of an adopted session the half lines and echoes that its predecessor told."""
        if self._relay is not None:
            self._relay.resume_transferred(*session.half_lines(), session.echoes_owed)

    def check_disconnected(self) -> None:
        """Tell the core now if the client has left, though Twisted has not read its end yet."""
        if not self._answered and self._relay is None and has_ended(self.wire):
            self._release_request()

    def opening_line(self, wait: timedelta) -> bytes:
        """The OPEN line for an attempt that waits so long."""
        return b"" if self._open_request is None else self._open_request.line_for_attempt(wait)

    def session_established(self, attempt: Attempt) -> None:
        """Send the endpoint's UP, and join both sides in a relay."""
        upstream = cast(UpstreamAttempt, attempt)
        context = cast(RequestContext, self._context)
        self.wire.write(upstream.up_line)
        self._relay = Relay(context, self, upstream, self._services.relay, upstream.detach)
        upstream.attach_relay(self._relay)

    def reject(self, retry_after: timedelta) -> None:
        """Answer BUSY, with the milliseconds to wait before a retry unless that is zero."""
        wait = millis(retry_after)
        self._answer(b"BUSY %d\r\n" % wait if wait > 0 else b"BUSY\r\n")

    def fail(self) -> None:
        """Answer ERR."""
        self._answer(b"ERR\r\n")

    def complete(self, answer: bytes) -> None:
        """Pass on the answer of an endpoint that served the request without a session."""
        self._answer(answer)

    def migrate(self) -> None:
        """Send MOVE at the end of the line, and end the session."""
        if self._relay is not None:
            self._relay.migrate()

    # Steps of these.

    def _ping_received(self) -> None:
        self._pings += 1
        if self._pings > MAX_PINGS or not self.at_end:  # a client has to wait for its answer
            self._malformed()
        else:
            self.wire.write(b"PONG\r\n")

    def _open(self, opening: OpenRequest) -> None:
        """Hand a request to the core, if there is a descriptor for its endpoint's socket."""
        core, name = self._services.core, opening.client_request_id
        if not self._admission.ensure_descriptor():
            self._services.counters.table_full += 1
            core.reject_unaccepted(opening.request, name, "no descriptor")
            self.reject(timedelta(0))
            return
        self._request_ids.add(opening.numeric_id)
        self._id, self._open_request = opening.numeric_id, opening
        self._context = core.accept(opening.request, self, opening.previous_endpoint, name)
        if self._context is None:
            self.reject(timedelta(0))

    def _first_line_timed_out(self) -> None:
        self._services.counters.malformed += 1
        self._answer(b"ERR too slow\r\n")

    def _malformed(self) -> None:
        if not self._answered:
            self._services.counters.malformed += 1
            self._answer(b"ERR malformed\r\n")

    def _release_request(self) -> None:
        """Tell the core that the client is owed no answer any more."""
        if self._context is not None:
            context, self._context = self._context, None
            self._services.core.client_disconnected(context)

    def _end_unopened_stage(self) -> None:
        """The client has opened, or its lines are no longer read: never evict it, and stop its timer."""
        self._admission.remove_candidate(self)
        self._cancel_timer()

    def _log_closed(self, reason: Failure) -> None:
        if self._open_request is not None:
            answered = self._answered or self._relay is not None
            how = type(reason.value).__name__
            self._services.log.closed(self.request_id, Side.CLIENT, how, answered)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _answer(self, line: bytes) -> None:
        """Answer once, end the sending, and wait a little for the client's own end.

        Closing with bytes of the client unread would send a reset, which could overtake the answer.
        """
        if self._answered:
            return
        self._end_unopened_stage()
        self._answered, self._context = True, None
        self.setRawMode()
        self.wire.write(line)
        self.wire.loseWriteConnection()
        self._timer = self._services.timers.after(CLOSE_TIMEOUT, self._close)

    def _close(self) -> None:
        """End the connection of a client that did not end it after its answer."""
        log = self._services.log
        log.ending(self.request_id, Side.CLIENT, "answered")
        self._timer = log.watch(self.request_id, Side.CLIENT, self.wire, self._services.clock.now())
        finish(self.wire)
