"""Logs why and when this process closes connections, and those that stay open too long.

At level debug each close is logged twice, under the request id that the client gave: when it is decided and
when the socket is closed. A connection still open `CLOSE_DEADLINE` after the decision is logged as a warning
at any level and counted as `outlived`; in normal operation there is none.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from functools import partial

from stepflow.logs import debugging, get_logger
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import (
    Transport,
    end_is_held,
    unacknowledged_bytes,
    unread_bytes,
    unsent_bytes,
)

log = get_logger()

CLOSE_DEADLINE = timedelta(seconds=1)  # from the decision to close; PROTOCOL, "Figures"


class Side(StrEnum):
    """One of the two connections of a request."""

    CLIENT = "client"
    ENDPOINT = "endpoint"


class ConnectionLog:
    """Logs how the connections of requests are closed, and detects those that are not closed in time."""

    def __init__(self, timers: Timers, counters: Counters) -> None:
        self._timers, self._counters = timers, counters

    def ending(self, request_id: str, side: Side, reason: str) -> None:
        """Log that this process has decided to close a connection."""
        if debugging():
            log.debug("connection closing", request=request_id, side=side.value, why=reason)

    def closed(self, request_id: str, side: Side, how: str, answered: bool) -> None:
        """Log that a socket is closed.

        `how` is the name of Twisted's exception or of the error number. `answered` says whether the client
        had received its answer or, for an attempt's connection, whether the endpoint had answered.
        """
        if debugging():
            log.debug("connection closed", request=request_id, side=side.value, how=how, answered=answered)

    def start_close_deadline(
        self, request_id: str, side: Side, tcp_transport: Transport, since: timedelta
    ) -> Timer:
        """Start the close deadline of a connection whose end was decided at `since`; cancel it on close."""
        return self._timers.at(
            since + CLOSE_DEADLINE, partial(self._outlived, request_id, side, tcp_transport)
        )

    def _outlived(self, request_id: str, side: Side, tcp_transport: Transport) -> None:
        self._counters.outlived += 1
        log.warning(
            "connection not closed in time",
            request=request_id,
            side=side.value,
            unread=unread_bytes(tcp_transport.fileno()),
            unsent=unsent_bytes(tcp_transport),
            unacknowledged=unacknowledged_bytes(tcp_transport.fileno()),
            held=end_is_held(tcp_transport),
        )
