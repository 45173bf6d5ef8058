"""Ends one connection of a session, by a FIN or a reset, after everything written to it was delivered.

Data that one side wrote before it ended its connection has to reach the other side before that end does. So
an end is relayed after the bytes before it; it waits for them for at most `LINGER_TIMEOUT`. Nothing here
raises an exception. Source: PROTOCOL, "Figures".
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.session_log import EndCause, SideLog, Undelivered
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import (
    Transport,
    close_or_reset,
    flush,
    unacknowledged_bytes,
    unread_at_close,
    unread_bytes,
    unsent_bytes,
)

# Once one side of a session has ended, the other side's connection must end within 1 s.
LINGER_TIMEOUT = timedelta(milliseconds=800)
# Time for the rest of an endpoint's line once all sessions have to end; shorter than the time until the
# process exits (`shutdown_schedule.LAST_ANSWERS_TIME`), so that the client still gets its FIN in order.
LAST_LINE_TIMEOUT = timedelta(milliseconds=400)
DELIVERY_CHECK_INTERVAL = timedelta(milliseconds=10)
# Minimum delay of a reset, so that the receiver can read the data before it: many clients are told of a reset
# before they have read what their kernel has acknowledged.
RESET_DELAY = timedelta(milliseconds=20)


class SessionSide:
    """One connection of a session, and which of its directions have ended.

    `source` is the session's other connection, whose incoming bytes are written to this one.
    """

    def __init__(
        self, tcp_transport: Transport, source: Transport, clock: Clock, timers: Timers, log: SideLog
    ) -> None:
        self.tcp_transport = tcp_transport
        self._source, self._clock, self._timers = source, clock, timers
        self._log: SideLog | None = log
        self._timer: Timer | None = None  # for the linger timeout, delivery check or close deadline
        self._ending_since = ZERO
        self._input_ended = self._output_ended = self._resetting = False

    @property
    def accepts_data(self) -> bool:
        """Whether data from the other side may still be written to this connection."""
        return not self._output_ended

    def input_ended(self) -> None:
        """Note that a FIN was received; the connection closes once the node's own FIN is sent."""
        self._input_ended = True
        if self._output_ended and not self._resetting:
            self.tcp_transport.loseConnection()

    def send_fin(self) -> None:
        """Send a FIN after the data written so far, and wait up to `LINGER_TIMEOUT` for a FIN from this side.

        Closing at once while received data is unread would send a reset, which can make the other host
        discard data that it has not read yet.
        """
        if not self._begin_end(EndCause.FIN):
            return
        self.tcp_transport.loseWriteConnection()
        self.tcp_transport.resumeProducing()
        if self._input_ended:
            self.tcp_transport.loseConnection()

    def send_reset(self) -> None:
        """Reset the connection once the data written so far is acknowledged."""
        if not self._begin_end(EndCause.RESET):
            return
        self._resetting = True
        flush(self.tcp_transport)
        self.tcp_transport.resumeProducing()
        self._call_later(RESET_DELAY, self._reset_if_delivered)

    def reset_now(self) -> None:
        """Reset the connection at once and drop undelivered data: this side does not read."""
        self._begin_end(EndCause.RESET)
        self._report_dropped()
        self._abort()

    def closed(self) -> None:
        """Note that the connection is closed: cancel its timer and release its log."""
        self._input_ended = self._output_ended = True
        self._cancel_timer()
        self._log = None

    def _begin_end(self, cause: EndCause) -> bool:
        """Refuse further data for this side and start the linger timeout; return False if already ending."""
        if self._output_ended:
            return False
        self._output_ended = True
        if self._log is not None:
            self._log.ending(cause)
        # A paused producer would keep Twisted from sending the FIN.
        self.tcp_transport.unregisterProducer()
        self._ending_since = self._clock.now()
        self._call_later(LINGER_TIMEOUT, self._expire)
        return True

    def _reset_if_delivered(self) -> None:
        if not unsent_bytes(self.tcp_transport) and not unacknowledged_bytes(self.tcp_transport.fileno()):
            self._abort()
        elif self._clock.now() < self._ending_since + LINGER_TIMEOUT:
            self._call_later(DELIVERY_CHECK_INTERVAL, self._reset_if_delivered)
        else:
            self._expire()

    def _expire(self) -> None:
        """Close the connection; the kernel keeps delivering its data, unless the close is a reset."""
        if unsent_bytes(self.tcp_transport):
            self._report_dropped()
        self._watch_close()
        close_or_reset(self.tcp_transport)

    def _abort(self) -> None:
        self._watch_close()
        self.tcp_transport.abortConnection()

    def _watch_close(self) -> None:
        self._cancel_timer()
        if self._log is not None:
            self._timer = self._log.start_close_deadline(self.tcp_transport, self._ending_since)

    def _report_dropped(self) -> None:
        if self._log is not None:
            unread = unread_at_close(self._source) or unread_bytes(self._source.fileno())
            unacknowledged = unacknowledged_bytes(self.tcp_transport.fileno())
            self._log.dropped(Undelivered(unread, unsent_bytes(self.tcp_transport), unacknowledged))

    def _call_later(self, delay: timedelta, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._timers.after(delay, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
