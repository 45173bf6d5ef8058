"""The relay of an established session: bytes both ways between a client and its endpoint, after UP.

The relay passes bytes on as they come, whole lines or not, and reads the lines among them for what they show:
echoes, load reports, and words that end the session. It owns both sockets until it has ended them; how the
session ended is its `result`. Times are of the node's clock. Nothing is raised. Source: PROTOCOL, "Figures".
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple, Protocol

from stepflow.interface import AttemptResult
from stepflow.node.core import RequestContext
from stepflow.node.relay.backpressure import Backpressure
from stepflow.node.relay.client_stall import ClientStallWatch
from stepflow.node.relay.closing import LINGER_TIMEOUT, SessionSide
from stepflow.node.relay.pending_echoes import PendingEchoes
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.connection_log import Side
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineScanner
from stepflow.node.runtime.session_log import EndCause, EndedBy, SessionLog, SideLog
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import (
    Transport,
    end_is_held,
    has_ended,
    read_pending,
    release_without_shutdown,
    unsent_bytes,
)
from stepflow.node.upstreams.liveness import LivenessMonitor

# A session that brings nothing back for so long is broken. It is owed an end within 7 s of its endpoint's
# last line, and up to 2 s of them pass before the client's next line shows anything.
ECHO_TIMEOUT = timedelta(milliseconds=2500)

MIGRATE_LINE = b"MOVE\r\n"
_LOAD_WORD = b"LOAD "
_WORD_LENGTH = 5  # of the line's first bytes, which tell what it is
_BYE_WORDS = (b"BYE", b"BYE ")
_MOVE_WORD = b"MOVE"


class TransferState(NamedTuple):
    """A session on its way to another process: the sockets, and what belongs to no socket.

    The names of the fields are keys of the hand-over's message.
    """

    client_descriptor: int
    endpoint_descriptor: int
    from_client: bytes  # half lines that have gone on already
    from_endpoint: bytes
    echoes_owed: int  # lines that had no echo yet


@dataclass(frozen=True, slots=True)
class RelayServices:
    """The parts of the node that relays need. A relay owns none of them."""

    clock: Clock
    timers: Timers
    counters: Counters
    liveness: LivenessMonitor
    log: SessionLog


class RelaySide(Protocol):
    """What a relay needs of either side."""

    @property
    def wire(self) -> Transport:
        """The connection's transport."""


class Relay:
    """Joins a client and its endpoint from UP until the session ends, is migrated or is handed over.

    `ended` is called once, when the endpoint's side is to be closed. Whoever gives the relay its bytes lets
    go of it when its connection is lost; the relay's own references to both sides would keep them all alive.
    """

    def __init__(
        self,
        context: RequestContext,
        client: RelaySide,
        upstream: RelaySide,
        services: RelayServices,
        ended: Callable[[], None],
    ) -> None:
        self.context = context
        self._clock, self._timers, self._counters = services.clock, services.timers, services.counters
        self._ended, self._log = ended, services.log
        self._client_lines, self._upstream_lines = LineScanner(), LineScanner()
        self._pending_echoes = PendingEchoes()
        self._echo_timer: Timer | None = None
        self._line_timer: Timer | None = None  # of a migration that waits for the end of a line
        self._client = self._side(client.wire, upstream.wire, Side.CLIENT)
        self._upstream = self._side(upstream.wire, client.wire, Side.ENDPOINT)
        self._client_stall = ClientStallWatch(
            client.wire, upstream.wire, self._clock, self._timers, self._client_stalled
        )
        self._migrating = self._finished = self._offered = False
        self.result = AttemptResult.RESET  # unless the endpoint says what its end means
        self._liveness = services.liveness.add(self)
        # Each side stops reading while the other can't take more.
        producer = Backpressure(upstream.wire, self._client_stall.full_changed)
        self._client.wire.registerProducer(producer, True)
        self._upstream.wire.registerProducer(Backpressure(client.wire), True)

    def _side(self, wire: Transport, source: Transport, side: Side) -> SessionSide:
        log = SideLog(self._log, self.context, side)
        return SessionSide(wire, source, self._clock, self._timers, log)

    # Bytes. They are passed on as long as the other side takes them, also after the session has ended.

    def data_from_client(self, data: bytes) -> None:
        """Pass on what the client has sent."""
        if self._upstream.accepts_data:
            self._upstream.wire.write(data)
        if self._finished:
            return
        self._client_lines.feed(data)
        while self._client_lines.next_line() is not None:
            now = self._clock.now()
            self._pending_echoes.add(now)
            self._liveness.line_sent(self, now)
        if self._client_lines.overlong:
            self._end_malformed()
            return
        oldest = self._pending_echoes.oldest
        if oldest is not None and self._echo_timer is None:
            self._echo_timer = self._timers.at(oldest + ECHO_TIMEOUT, self._check_echo)

    def data_from_upstream(self, data: bytes) -> None:
        """Pass on what the endpoint has sent."""
        if self._client.accepts_data:
            self._client.wire.write(data)
        if self._finished:
            return
        self._upstream_lines.feed(data)
        while (line := self._upstream_lines.next_line()) is not None:
            self._upstream_line(line)
        if self._upstream_lines.overlong:
            self._end_malformed()
        elif self._migrating and self._upstream_lines.between_lines:
            self._migrate_now()

    def _upstream_line(self, line: memoryview) -> None:
        word = bytes(line[:_WORD_LENGTH])
        if word == _LOAD_WORD:
            with suppress(ValueError):  # no number: the client gets the line all the same
                self._liveness.load_received(self, float(bytes(line[_WORD_LENGTH:])))
        elif word in _BYE_WORDS:
            self.result = AttemptResult.OK
        elif word == _MOVE_WORD:
            self.result = AttemptResult.CANCELLED
        elif (latency := self._pending_echoes.echo(self._clock.now())) is not None:
            self._liveness.echo_received(self, latency)

    def _end_malformed(self) -> None:
        """End both sides after an overlong line: whoever sends it speaks another protocol."""
        self._counters.malformed += 1
        self._end(EndedBy.NODE, EndCause.MALFORMED)
        self._upstream.send_reset()
        self._client.send_reset()

    def _client_stalled(self, endpoint_ended: bool) -> None:
        """Close a client that reads nothing, whether its endpoint has ended by now or not."""
        if endpoint_ended:
            self._upstream_over(EndCause.CLIENT_STALLED)
        else:
            self._counters.evicted += 1
            self._end(EndedBy.NODE, EndCause.CLIENT_STALLED)
        self._upstream.send_fin()
        self._client.reset_now()

    # An endpoint that doesn't echo.

    def _check_echo(self) -> None:
        """Act on the oldest line without an echo if its time is over; else check again when it will be."""
        self._echo_timer = None
        oldest = self._pending_echoes.oldest
        if self._finished or self._offered or oldest is None:
            return
        due = oldest + ECHO_TIMEOUT
        if due > self._clock.now():
            self._echo_timer = self._timers.at(due, self._check_echo)
            return
        self.upstream_stalled()

    def upstream_stalled(self) -> None:
        """Migrate the client: an endpoint that hangs sends no FIN, and its client would wait for good."""
        if not self._finished and not self._offered and not self._migrating:
            self._counters.broken += 1
            self._migrate_between_lines()

    # Migration.

    def migrate(self) -> None:
        """Tell the client to come again: at once between two lines, else behind the line under way."""
        if self._finished or self._migrating or self._offered:
            return
        if has_ended(self._client.wire):  # that is passed on, behind what the client wrote before
            return
        self.result = AttemptResult.CANCELLED
        self._migrate_between_lines()

    def _migrate_between_lines(self) -> None:
        # What the endpoint wrote before is owed to the client, and MOVE is the last that it reads.
        for data in read_pending(self._upstream.wire):
            self.data_from_upstream(data)
        if self._finished:
            return
        self._migrating = True
        if self._upstream_lines.between_lines:
            self._migrate_now()
        else:  # an endpoint that stops amid a line must not keep its client
            self._line_timer = self._timers.after(LINGER_TIMEOUT, self._migrate_now)

    def _migrate_now(self) -> None:
        if self._finished:
            return
        if self._upstream_lines.between_lines:
            self._client.wire.write(MIGRATE_LINE)
        self._end(EndedBy.NODE, EndCause.MIGRATION)
        self._client.send_fin()
        self._upstream.send_fin()

    # Hand-over to another process.

    def prepare_transfer(self) -> TransferState | None:
        """Stop reading, that another process may go on; None while something is unsent or about to end."""
        if self._finished or self._migrating or self._offered:
            return None
        client, upstream = self._client.wire, self._upstream.wire
        if any(unsent_bytes(wire) or end_is_held(wire) for wire in (client, upstream)):
            return None
        self._offered = True
        client.pauseProducing()
        upstream.pauseProducing()
        return TransferState(
            client.fileno(),
            upstream.fileno(),
            self._client_lines.half_line,
            self._upstream_lines.half_line,
            len(self._pending_echoes),
        )

    def transfer_answered(self, by_other: bool) -> None:
        """Close the offered sockets here if the other process has them; else go on."""
        if self._finished or not self._offered:
            return
        self._offered = False
        if by_other:
            self.result = AttemptResult.CANCELLED
            self._end(EndedBy.NODE, EndCause.TRANSFER, closes=False)
            for side in (self._client, self._upstream):
                side.closed()  # the end of the first must not be passed on to the second
                side.wire.unregisterProducer()
            for side in (self._client, self._upstream):
                release_without_shutdown(side.wire)
        else:
            self._client.wire.resumeProducing()
            self._upstream.wire.resumeProducing()

    def resume_transferred(self, from_client: bytes, from_upstream: bytes, owed: int) -> None:
        """Take over where another process left off: amid these lines, and with so many echoes pending."""
        for scanner, half_line in ((self._client_lines, from_client), (self._upstream_lines, from_upstream)):
            scanner.feed(half_line)
            scanner.next_line()
        now = self._clock.now()
        self._pending_echoes.add(now, owed)
        if owed > 0:
            self._liveness.line_sent(self, now)
            self._echo_timer = self._timers.at(now + ECHO_TIMEOUT, self._check_echo)

    # The ends. Each is passed on behind the bytes that came before it.

    def client_ended(self) -> None:
        """Pass on the client's FIN; what its endpoint still sends reaches it until that ends too."""
        self._client_over(EndCause.FIN)
        self._upstream.send_fin()
        self._client.input_ended()

    def client_lost(self, reset: bool) -> None:
        """The client's connection is closed: end the endpoint's in the same way."""
        self._client_over(EndCause.RESET if reset else EndCause.FIN)
        self._client.closed()
        if reset:
            self._upstream.send_reset()
        else:
            self._upstream.send_fin()

    def _client_over(self, cause: EndCause) -> None:
        if not self._finished:
            self.result = AttemptResult.CANCELLED
            self._end(EndedBy.CLIENT, cause)

    def upstream_ended(self) -> None:
        """Pass on the endpoint's FIN; what the client still sends reaches it until that ends too."""
        self._upstream_over(EndCause.FIN)
        self._client.send_fin()
        self._upstream.input_ended()

    def upstream_lost(self, reset: bool, network_failed: bool) -> AttemptResult:
        """The endpoint's connection is closed: end the client's in the same way; returns what that means.

        Where the network has failed, the endpoint has ended nothing: its client is told to come again.
        """
        self._upstream.closed()
        migrates = not self._finished and network_failed and self._upstream_lines.between_lines
        if migrates:
            self._counters.moved += 1
            self._client.wire.write(MIGRATE_LINE)
        self._upstream_over(EndCause.NETWORK if network_failed else EndCause.RESET if reset else EndCause.FIN)
        if reset and not migrates:
            self._client.send_reset()
        else:
            self._client.send_fin()
        return self.result

    def _upstream_over(self, cause: EndCause) -> None:
        if not self._finished:
            if self.result == AttemptResult.RESET:
                self._counters.broken += 1
            self._end(EndedBy.ENDPOINT, cause)

    def _end(self, by: EndedBy, cause: EndCause, closes: bool = True) -> None:
        """The one place that ends the session; what is left is to end its connections."""
        self._log.ended(self.context, by, cause)
        self._finished = True
        for timer in (self._echo_timer, self._line_timer):
            if timer is not None:
                timer.cancel()
        self._client_stall.stop()
        self._liveness.remove(self)
        if closes:
            self._ended()
