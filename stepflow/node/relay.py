"""The relay of an established session: bytes both ways between a client and its endpoint, after UP.

The relay passes bytes on as they come, whole lines or not, and reads the lines among them for what they show:
echoes, load reports, and words that end the session. It owns both sockets until it has ended them; how the
session ended is its `result`. Times are of the node's clock. Nothing is raised. Source: PROTOCOL, "Figures".
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple, Protocol

from stepflow.interface import AttemptResult
from stepflow.node.backpressure import Backpressure
from stepflow.node.client_stall import ClientStallWatch
from stepflow.node.core import RequestContext
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineScanner
from stepflow.node.runtime.session_log import EndCause, EndedBy, SessionLog, Undelivered
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import (
    Transport,
    finish,
    release_without_shutdown,
    unacknowledged_bytes,
    unread_at_close,
    unsent_bytes,
)
from stepflow.node.upstreams.liveness import LivenessMonitor

# A session that brings nothing back for so long is broken. It is owed an end within 7 s of its endpoint's
# last line, and up to 2 s of them pass before the client's next line shows anything.
ECHO_TIMEOUT = timedelta(milliseconds=2500)
LINGER_TIMEOUT = timedelta(milliseconds=800)  # the most that an end waits for the other side's
MAX_PENDING_ECHOES = 64  # lines without an echo whose times a relay remembers

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
        self.context, self._client, self._upstream = context, client.wire, upstream.wire
        self._clock, self._timers, self._counters = services.clock, services.timers, services.counters
        self._ended, self._log = ended, SessionLog(services.counters)
        self._client_lines, self._upstream_lines = LineScanner(), LineScanner()
        # When the lines went out that have no echo yet, the oldest first.
        self._pending_echoes: deque[timedelta] = deque(maxlen=MAX_PENDING_ECHOES)
        self._echo_timer: Timer | None = None
        self._linger_timer: Timer | None = None
        self._client_stall = ClientStallWatch(self._client, self._clock, self._timers, self._client_stalled)
        self._migrating = self._finished = self._offered = False
        self.result = AttemptResult.RESET  # unless the endpoint says what its end means
        self._liveness = services.liveness.add(self)
        # Each side stops reading while the other can't take more.
        self._client.registerProducer(Backpressure(self._upstream, self._client_stall.full_changed), True)
        self._upstream.registerProducer(Backpressure(self._client), True)

    # Bytes.

    def data_from_client(self, data: bytes) -> None:
        """Pass on what the client has sent."""
        if self._finished:
            return  # lingers for the client's end
        self._upstream.write(data)
        self._client_lines.feed(data)
        while self._client_lines.next_line() is not None:
            now = self._clock.now()
            self._pending_echoes.append(now)
            self._liveness.line_sent(self, now)
        if self._client_lines.overlong:
            self._end_malformed()
            return
        if self._pending_echoes and self._echo_timer is None:
            self._echo_timer = self._timers.at(self._pending_echoes[0] + ECHO_TIMEOUT, self._check_echo)

    def data_from_upstream(self, data: bytes) -> None:
        """Pass on what the endpoint has sent."""
        if self._finished:
            return
        self._client.write(data)
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
        elif self._pending_echoes:
            self._liveness.echo_received(self, self._clock.now() - self._pending_echoes.popleft())

    def _end_malformed(self) -> None:
        """End both sides after an overlong line: whoever sends it speaks another protocol."""
        self._counters.malformed += 1
        self._log.ended(self.context, EndedBy.NODE, EndCause.MALFORMED)
        self._end_upstream(reset=True)
        self._reset(EndedBy.CLIENT)

    def _client_stalled(self) -> None:
        """Close a client that reads nothing."""
        self._counters.evicted += 1
        self._log.ended(self.context, EndedBy.NODE, EndCause.CLIENT_STALLED)
        self._end_upstream()
        self._reset(EndedBy.CLIENT)

    # An endpoint that doesn't echo.

    def _check_echo(self) -> None:
        """Act on the oldest line without an echo if its time is over; else check again when it will be."""
        self._echo_timer = None
        if self._finished or self._offered or not self._pending_echoes:
            return
        due = self._pending_echoes[0] + ECHO_TIMEOUT
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
        self.result = AttemptResult.CANCELLED
        self._migrate_between_lines()

    def _migrate_between_lines(self) -> None:
        self._migrating = True
        if self._upstream_lines.between_lines:
            self._migrate_now()
        else:  # an endpoint that stops amid a line must not keep its client
            self._linger_timer = self._timers.after(LINGER_TIMEOUT, self._migrate_now)

    def _migrate_now(self) -> None:
        if self._finished:
            return
        if self._upstream_lines.between_lines:
            self._client.write(MIGRATE_LINE)
        self._log.ended(self.context, EndedBy.NODE, EndCause.MIGRATION)
        self._end_upstream()
        self._end_client()

    # Hand-over to another process.

    def prepare_transfer(self) -> TransferState | None:
        """Stop reading, that another process may go on; None while something is unsent or about to end."""
        if self._finished or self._migrating or self._offered:
            return None
        if unsent_bytes(self._client) or unsent_bytes(self._upstream):
            return None
        self._offered = True
        self._client.pauseProducing()
        self._upstream.pauseProducing()
        return TransferState(
            self._client.fileno(),
            self._upstream.fileno(),
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
            self._log.ended(self.context, EndedBy.NODE, EndCause.TRANSFER)
            self._finish()
            for side in (self._client, self._upstream):
                side.unregisterProducer()
                release_without_shutdown(side)
        else:
            self._client.resumeProducing()
            self._upstream.resumeProducing()

    def resume_transferred(self, from_client: bytes, from_upstream: bytes, owed: int) -> None:
        """Take over where another process left off: amid these lines, and with so many echoes pending."""
        for scanner, half_line in ((self._client_lines, from_client), (self._upstream_lines, from_upstream)):
            scanner.feed(half_line)
            scanner.next_line()
        now = self._clock.now()
        for _ in range(min(owed, MAX_PENDING_ECHOES)):
            self._pending_echoes.append(now)
            self._liveness.line_sent(self, now)
        if self._pending_echoes:
            self._echo_timer = self._timers.at(now + ECHO_TIMEOUT, self._check_echo)

    # The ends.

    def client_lost(self, reset: bool) -> None:
        """End the endpoint's side as the client's has ended: by a reset or a FIN."""
        self._cancel(self._linger_timer)
        if self._finished:
            return
        self.result = AttemptResult.CANCELLED
        self._log.ended(self.context, EndedBy.CLIENT, EndCause.RESET if reset else EndCause.FIN)
        self._end_upstream(reset)

    def upstream_lost(self, reset: bool, network_failed: bool) -> AttemptResult:
        """End the client's side as the endpoint's has ended; returns what that end means.

        Where the network has failed, the endpoint has ended nothing: its client is told to come again.
        """
        if not self._finished:
            self._finish()
            cause = EndCause.NETWORK if network_failed else EndCause.RESET if reset else EndCause.FIN
            self._log.ended(self.context, EndedBy.ENDPOINT, cause)
            if self.result == AttemptResult.RESET:
                self._counters.broken += 1
            if network_failed and self._upstream_lines.between_lines:
                self._counters.moved += 1
                self._client.write(MIGRATE_LINE)
                self._end_client()
            elif reset:
                self._reset(EndedBy.CLIENT)
            else:
                self._end_client()
        return self.result

    def _finish(self) -> None:
        """The one place that ends the relay; what is left is to close the sockets."""
        self._finished = True
        self._cancel(self._echo_timer)
        self._client_stall.stop()
        self._liveness.remove(self)

    def _end_upstream(self, reset: bool = False) -> None:
        self._finish()
        self._upstream.unregisterProducer()
        if reset:
            self._reset(EndedBy.ENDPOINT)
        else:
            self._end_sending(self._upstream)
        self._ended()

    def _reset(self, to: EndedBy) -> None:
        """Reset the connection to one side, and note what is lost with it."""
        side, other = self._client, self._upstream
        if to is EndedBy.ENDPOINT:
            side, other = other, side
        lost = Undelivered(unread_at_close(other), unsent_bytes(side), unacknowledged_bytes(side.fileno()))
        self._log.dropped(self.context, to, lost)
        side.abortConnection()

    def _end_client(self) -> None:
        self._cancel(self._linger_timer)
        self._client.unregisterProducer()
        self._linger_timer = self._end_sending(self._client)

    def _end_sending(self, side: Transport) -> Timer:
        """Send what is left and a FIN, then wait a little for the other's.

        Closing at once, with something of its unread, would send a reset, and that might overtake what it
        has not read yet.
        """
        side.loseWriteConnection()
        side.resumeProducing()
        return self._timers.after(LINGER_TIMEOUT, lambda: finish(side))

    @staticmethod
    def _cancel(timer: Timer | None) -> None:
        if timer is not None:
            timer.cancel()
