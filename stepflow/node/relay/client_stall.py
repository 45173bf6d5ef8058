"""Detects clients that have stopped reading while data for them is buffered.

Backpressure from such a client pauses its endpoint, and both connections would stay open forever. PROTOCOL
requires the client's connection to end within 3 s, and within 1 s once the endpoint's has ended. A client
that reads slowly is not closed.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from stepflow.node.relay.closing import LINGER_TIMEOUT
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Transport, has_ended, unsent_bytes

CLIENT_STALL_TIMEOUT = timedelta(milliseconds=2500)
CLIENT_STALL_CHECK_INTERVAL = timedelta(milliseconds=100)
# The endpoint's end is detected up to one check interval late.
STALL_TIMEOUT_AFTER_END = LINGER_TIMEOUT - CLIENT_STALL_CHECK_INTERVAL


class ClientStallWatch:
    """Watches one client while its full buffer keeps its endpoint paused.

    `on_stalled` is called once, with whether the endpoint has ended in the meantime: the relay does not read
    that end itself while reading from the endpoint is paused.
    """

    def __init__(
        self,
        client: Transport,
        endpoint: Transport,
        clock: Clock,
        timers: Timers,
        on_stalled: Callable[[bool], None],
    ) -> None:
        self._client, self._endpoint = client, endpoint
        self._clock, self._timers = clock, timers
        self._on_stalled: Callable[[bool], None] | None = on_stalled
        self._timer: Timer | None = None
        self._ended_since: timedelta | None = None  # when the endpoint's end was detected

    def buffer_full_changed(self, full: bool) -> None:
        """Start watching when the client's buffer is full; stop when the buffer has been sent."""
        self._cancel()
        if full and self._on_stalled is not None:
            self._check_later(unsent_bytes(self._client), self._clock.now())

    def stop(self) -> None:
        """Stop watching, and drop the callback: its owner refers to this watch, a reference cycle."""
        self._cancel()
        self._on_stalled = None

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _check_later(self, unsent: int, since: timedelta) -> None:
        self._timer = self._timers.after(CLIENT_STALL_CHECK_INTERVAL, partial(self._check, unsent, since))

    def _check(self, unsent: int, since: timedelta) -> None:
        """Report the client if its `unsent` bytes have not decreased for the timeout since `since`."""
        still_unsent, now = unsent_bytes(self._client), self._clock.now()
        if self._ended_since is None and has_ended(self._endpoint):
            self._ended_since = now
        if still_unsent < unsent:
            self._check_later(still_unsent, now)
        elif not self._is_overdue(since, now):
            self._check_later(still_unsent, since)
        elif self._on_stalled is not None:
            self._on_stalled(self._ended_since is not None)

    def _is_overdue(self, since: timedelta, now: timedelta) -> bool:
        """Whether a client that has read nothing since `since` has exceeded its timeout."""
        if now - since >= CLIENT_STALL_TIMEOUT:
            return True
        return (
            self._ended_since is not None and now - max(since, self._ended_since) >= STALL_TIMEOUT_AFTER_END
        )
