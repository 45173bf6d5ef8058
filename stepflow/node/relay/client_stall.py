"""Finds clients that read nothing of what waits for them.

Such a client stops its endpoint by backpressure, and would hold both connections for good. It is owed an end
within 3 s, and within a second once its endpoint has ended (PROTOCOL); one that reads slowly is left alone.
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
# The end is seen up to one interval late.
STALL_TIMEOUT_AFTER_END = LINGER_TIMEOUT - CLIENT_STALL_CHECK_INTERVAL


class ClientStallWatch:
    """Watches one client while its unread bytes hold its endpoint up.

    `stalled` is called once, with whether the endpoint has ended meanwhile: while it is held up that is not
    read.
    """

    def __init__(
        self,
        client: Transport,
        endpoint: Transport,
        clock: Clock,
        timers: Timers,
        stalled: Callable[[bool], None],
    ) -> None:
        self._client, self._endpoint = client, endpoint
        self._clock, self._timers = clock, timers
        self._stalled: Callable[[bool], None] | None = stalled
        self._timer: Timer | None = None
        self._ended_since: timedelta | None = None  # when the endpoint's end was seen

    def full_changed(self, full: bool) -> None:
        """Watch from when the client's buffer is full until it has been sent."""
        self._cancel()
        if full and self._stalled is not None:
            self._check_later(unsent_bytes(self._client), self._clock.now())

    def stop(self) -> None:
        """Watch no more, and let go of whom this was for: it holds this watch."""
        self._cancel()
        self._stalled = None

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _check_later(self, waiting: int, since: timedelta) -> None:
        self._timer = self._timers.after(CLIENT_STALL_CHECK_INTERVAL, partial(self._check, waiting, since))

    def _check(self, waiting: int, since: timedelta) -> None:
        """Tell of a client for which as many bytes have waited since then: it reads none of them."""
        still_waiting, now = unsent_bytes(self._client), self._clock.now()
        if self._ended_since is None and has_ended(self._endpoint):
            self._ended_since = now
        if still_waiting < waiting:
            self._check_later(still_waiting, now)
        elif not self._is_overdue(since, now):
            self._check_later(still_waiting, since)
        elif self._stalled is not None:
            self._stalled(self._ended_since is not None)

    def _is_overdue(self, since: timedelta, now: timedelta) -> bool:
        """Whether a client that has read nothing since then is to be ended now."""
        if now - since >= CLIENT_STALL_TIMEOUT:
            return True
        return (
            self._ended_since is not None and now - max(since, self._ended_since) >= STALL_TIMEOUT_AFTER_END
        )
