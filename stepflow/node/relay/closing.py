"""Ends one connection of a session: a FIN or a reset, behind everything that was written to it.

What one side wrote before its end is owed to the other side before that end is. So an end waits until the
bytes ahead of it are delivered, for `LINGER_TIMEOUT` at the most. Nothing is raised. Source: PROTOCOL,
"Figures".
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.session_log import EndCause, SideLog, Undelivered
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import (
    Transport,
    finish,
    flush,
    unacknowledged_bytes,
    unread_at_close,
    unread_bytes,
    unsent_bytes,
)

# A connection whose other side has ended is owed its own end within a second.
LINGER_TIMEOUT = timedelta(milliseconds=800)
DELIVERY_CHECK_INTERVAL = timedelta(milliseconds=10)
# From when the other side's kernel has all until the reset: many clients are told of a reset before they have
# taken what came ahead of it.
RESET_DELAY = timedelta(milliseconds=20)


class SessionSide:
    """One connection of a session, and how far it has ended.

    `source` is the other connection, where the bytes for this one come from.
    """

    def __init__(
        self, wire: Transport, source: Transport, clock: Clock, timers: Timers, log: SideLog
    ) -> None:
        self.wire = wire
        self._source, self._clock, self._timers = source, clock, timers
        self._log: SideLog | None = log
        self._timer: Timer | None = None  # of the next step of the end, whichever that is
        self._ending_since = ZERO
        self._input_ended = self._output_ended = self._resets = False

    @property
    def accepts_data(self) -> bool:
        """Whether bytes of the other side still go here."""
        return not self._output_ended

    def input_ended(self) -> None:
        """This side has sent its FIN; the connection closes with the node's, or at once if that was sent."""
        self._input_ended = True
        if self._output_ended and not self._resets:
            self.wire.loseConnection()

    def send_fin(self) -> None:
        """End the sending behind what was written, and wait a little for this side's own end.

        Closing at once, with something of its unread, would send a reset, and that might overtake what it
        has not read yet.
        """
        if not self._begin_end(EndCause.FIN):
            return
        self.wire.loseWriteConnection()
        self.wire.resumeProducing()
        if self._input_ended:
            self.wire.loseConnection()

    def send_reset(self) -> None:
        """Reset the connection once this side has received what was written."""
        if not self._begin_end(EndCause.RESET):
            return
        self._resets = True
        flush(self.wire)
        self.wire.resumeProducing()
        self._check_later(RESET_DELAY, self._reset_if_delivered)

    def reset_now(self) -> None:
        """Reset the connection, whatever is undelivered: this side does not read."""
        self._begin_end(EndCause.RESET)
        self._report_dropped()
        self._abort()

    def closed(self) -> None:
        """The connection is closed: nothing is left to do, and nobody to be held."""
        self._input_ended = self._output_ended = True
        self._cancel_timer()
        self._log = None

    def _begin_end(self, cause: EndCause) -> bool:
        """Take no more bytes for this side; False if that was so already."""
        if self._output_ended:
            return False
        self._output_ended = True
        if self._log is not None:
            self._log.ending(cause)
        # A producer that is paused would keep Twisted from ending the sending.
        self.wire.unregisterProducer()
        self._ending_since = self._clock.now()
        self._check_later(LINGER_TIMEOUT, self._expire)
        return True

    def _reset_if_delivered(self) -> None:
        if not unsent_bytes(self.wire) and not unacknowledged_bytes(self.wire.fileno()):
            self._abort()
        elif self._clock.now() < self._ending_since + LINGER_TIMEOUT:
            self._check_later(DELIVERY_CHECK_INTERVAL, self._reset_if_delivered)
        else:
            self._expire()

    def _expire(self) -> None:
        """Close the connection; what the kernel has it goes on delivering, unless it was reset."""
        if unsent_bytes(self.wire):
            self._report_dropped()
        self._watch_close()
        finish(self.wire)

    def _abort(self) -> None:
        self._watch_close()
        self.wire.abortConnection()

    def _watch_close(self) -> None:
        self._cancel_timer()
        if self._log is not None:
            self._timer = self._log.watch(self.wire, self._ending_since)

    def _report_dropped(self) -> None:
        if self._log is not None:
            unread = unread_at_close(self._source) or unread_bytes(self._source.fileno())
            unacknowledged = unacknowledged_bytes(self.wire.fileno())
            self._log.dropped(Undelivered(unread, unsent_bytes(self.wire), unacknowledged))

    def _check_later(self, span: timedelta, check: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._timers.after(span, check)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
