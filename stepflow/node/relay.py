"""A client connection and its peer's, joined after UP."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from functools import partial
from typing import NamedTuple, Protocol

from stepflow.interface import AttemptResult
from stepflow.node.core import Core, RequestContext
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineScanner
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Transport, finish, let_go, unsent
from stepflow.node.upstreams.liveness import LivenessMonitor

# A connection that brings nothing back for so long is broken. It is owed an end within 7 s of its peer's last
# line, and up to 2 s of them pass before the client's next line shows anything.
SILENCE = timedelta(milliseconds=2500)
LINGER = timedelta(milliseconds=800)  # the most that an end waits for the other side's
# A client that takes none of what waits for it is owed an end within 3 s; how often it is looked at.
DEAF, DEAF_LOOK = timedelta(milliseconds=2500), timedelta(milliseconds=250)
ECHOES_KEPT = 64  # lines without an echo that a relay remembers


class Passing(NamedTuple):
    """A joined pair on its way to another process: the sockets, and what belongs to no socket."""

    client: int
    peer: int
    from_client: bytes  # half lines that have gone on already
    from_peer: bytes
    owed: int  # lines that had no echo yet


class Joinable(Protocol):
    """What a relay needs of either side."""

    @property
    def wire(self) -> Transport: ...


class Valve:
    """Stops and starts one side's reading for the other.

    A transport as the other's producer would be closed with it, before the relay knows how it ended.
    """

    def __init__(self, side: Transport, turned: Callable[[bool], None] = lambda closed: None) -> None:
        self._side, self._turned = side, turned

    def pauseProducing(self) -> None:
        self._side.pauseProducing()
        self._turned(True)

    def resumeProducing(self) -> None:
        self._side.resumeProducing()
        self._turned(False)

    def stopProducing(self) -> None:
        """The other side is closed: the relay ends this one."""


class Relay:
    """Passes bytes on both ways as they come, and watches the lines among them.

    It owns both sockets from UP on. `ended` is told once, when the peer's is to be closed.
    """

    def __init__(
        self,
        context: RequestContext,
        client: Joinable,
        peer: Joinable,
        core: Core,
        clock: Clock,
        deadlines: Timers,
        counters: Counters,
        pulses: LivenessMonitor,
        ended: Callable[[], None],
    ) -> None:
        self.context, self._client, self._peer = context, client.wire, peer.wire
        self._core, self._clock, self._deadlines = core, clock, deadlines
        self._counters, self._ended = counters, ended
        self._from_client, self._from_peer = LineScanner(), LineScanner()
        self._asked: deque[timedelta] = deque(maxlen=ECHOES_KEPT)  # when lines went out that had no echo yet
        self._silence: Timer | None = None
        self._linger: Timer | None = None
        self._deaf: Timer | None = None
        self._moving = self._over = self._passing = False
        self.result = AttemptResult.RESET  # unless the peer says what its end means
        self._pulse = pulses.join(self)
        # Each side stops reading while the other can't take more.
        self._client.registerProducer(Valve(self._peer, self._client_full), True)
        self._peer.registerProducer(Valve(self._client), True)

    def _client_full(self, full: bool) -> None:
        """The client has so much unread that nothing more is taken for it; or it has taken all of that."""
        self._cancel(self._deaf)
        if full and not self._over:
            self._look_at_full(unsent(self._client), self._clock.now())

    def _look_at_full(self, waiting: int, since: timedelta) -> None:
        look = partial(self._still_full, waiting, since)
        self._deaf = self._deadlines.after(DEAF_LOOK, look)

    def _still_full(self, waiting: int, since: timedelta) -> None:
        if self._over or self._passing:
            return
        left, now = unsent(self._client), self._clock.now()
        if left < waiting or now - since < DEAF:
            self._look_at_full(left, now if left < waiting else since)  # it may read, slowly
            return
        self._counters.evicted += 1
        self._end(self._peer)
        self._client.abortConnection()

    def from_client(self, data: bytes) -> None:
        if self._over:
            return  # lingers for the client's end
        self._peer.write(data)
        self._from_client.feed(data)
        while self._from_client.next_line() is not None:
            now = self._clock.now()
            self._asked.append(now)
            self._pulse.asked(self, now)
        if self._from_client.overlong:
            self._break()
            return
        if self._asked and self._silence is None:
            self._silence = self._deadlines.at(self._asked[0] + SILENCE, self._silent)

    def from_peer(self, data: bytes) -> None:
        if self._over:
            return
        self._client.write(data)
        self._from_peer.feed(data)
        while (line := self._from_peer.next_line()) is not None:
            self._peer_line(line)
        if self._from_peer.overlong:
            self._break()
        elif self._moving and self._from_peer.between_lines:
            self._send_away()

    def _peer_line(self, line: memoryview) -> None:
        word = bytes(line[:5])
        if word == b"LOAD ":
            with suppress(ValueError):  # no number: the client gets the line all the same
                self._pulse.told(self, float(bytes(line[5:])))
        elif word == b"BYE" or word == b"BYE ":
            self.result = AttemptResult.OK
        elif word == b"MOVE":
            self.result = AttemptResult.CANCELLED
        elif self._asked:
            self._pulse.echoed(self, self._clock.now() - self._asked.popleft())

    def _break(self) -> None:
        """An overlong line: whoever sends it speaks another protocol."""
        self._counters.malformed += 1
        self._end(self._peer, reset=True)
        self._client.abortConnection()

    def _silent(self) -> None:
        """The oldest line without an echo may have had its time; else look again when it will have."""
        self._silence = None
        if self._over or self._passing or not self._asked:
            return
        due = self._asked[0] + SILENCE
        if due > self._clock.now():
            self._silence = self._deadlines.at(due, self._silent)
            return
        self.peer_hangs()

    def peer_hangs(self) -> None:
        """A peer that hangs sends no FIN: its client would wait for good."""
        if not self._over and not self._passing and not self._moving:
            self._counters.broken += 1
            self._send_away_between_lines()

    def move(self) -> None:
        """Tell the client to come again: at once between two lines, else behind the line under way."""
        if self._over or self._moving or self._passing:
            return
        self.result = AttemptResult.CANCELLED
        self._send_away_between_lines()

    def _send_away_between_lines(self) -> None:
        self._moving = True
        if self._from_peer.between_lines:
            self._send_away()
        else:  # a peer that stops amid a line must not keep its client
            self._linger = self._deadlines.after(LINGER, self._send_away)

    def _send_away(self) -> None:
        if self._over:
            return
        if self._from_peer.between_lines:
            self._client.write(b"MOVE\r\n")
        self._end(self._peer)
        self._finish_client()

    def offer(self) -> Passing | None:
        """Stop reading, that another process may go on; None while something is unsent or about to end."""
        if self._over or self._moving or self._passing:
            return None
        if unsent(self._client) or unsent(self._peer):
            return None
        self._passing = True
        self._client.pauseProducing()
        self._peer.pauseProducing()
        return Passing(
            self._client.fileno(),
            self._peer.fileno(),
            self._from_client.half_line,
            self._from_peer.half_line,
            len(self._asked),
        )

    def taken(self, by_other: bool) -> None:
        """The other process has the offered pair, or doesn't want it."""
        if self._over or not self._passing:
            return
        self._passing = False
        if by_other:
            self.result = AttemptResult.CANCELLED
            self._settle()
            for side in (self._client, self._peer):
                side.unregisterProducer()
                let_go(side)
        else:
            self._client.resumeProducing()
            self._peer.resumeProducing()

    def go_on(self, from_client: bytes, from_peer: bytes, owed: int) -> None:
        """Take over where another process left off."""
        for scanner, kept in ((self._from_client, from_client), (self._from_peer, from_peer)):
            scanner.feed(kept)
            scanner.next_line()
        now = self._clock.now()
        for _ in range(min(owed, ECHOES_KEPT)):
            self._asked.append(now)
            self._pulse.asked(self, now)
        if self._asked:
            self._silence = self._deadlines.at(now + SILENCE, self._silent)

    def client_lost(self, reset: bool) -> None:
        """The client's socket is closed; end the peer's in the same way."""
        self._cancel(self._linger)
        if self._over:
            return
        self.result = AttemptResult.CANCELLED
        self._end(self._peer, reset)

    def peer_lost(self, reset: bool, network_failed: bool) -> AttemptResult:
        """The peer's socket is closed; end the client's in the same way. Returns what that end means.

        Where the network has failed, the peer has ended nothing: its client is told to come again.
        """
        if not self._over:
            self._settle()
            if self.result == AttemptResult.RESET:
                self._counters.broken += 1
            if network_failed and self._from_peer.between_lines:
                self._counters.moved += 1
                self._client.write(b"MOVE\r\n")
                self._finish_client()
            elif reset:
                self._client.abortConnection()
            else:
                self._finish_client()
        return self.result

    def _end(self, side: Transport, reset: bool = False) -> None:
        self._settle()
        side.unregisterProducer()
        if reset:
            side.abortConnection()
        else:
            self._end_sending(side)
        self._ended()

    def _settle(self) -> None:
        """The one place that ends the relay; what is left is to close the sockets."""
        self._over = True
        self._cancel(self._silence)
        self._cancel(self._deaf)
        self._pulse.leave(self)

    def _finish_client(self) -> None:
        self._cancel(self._linger)
        self._client.unregisterProducer()
        self._linger = self._end_sending(self._client)

    def _end_sending(self, side: Transport) -> Timer:
        """Send what is left and a FIN, then wait a little for the other's.

        Closing at once, with something of its unread, would send a reset, and that might overtake what it
        has not read yet.
        """
        side.loseWriteConnection()
        side.resumeProducing()
        return self._deadlines.after(LINGER, lambda: finish(side))

    @staticmethod
    def _cancel(deadline: Timer | None) -> None:
        if deadline is not None:
            deadline.cancel()
