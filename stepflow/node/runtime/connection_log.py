"""The log of connections that this process ends: why, when they are closed, and those that stay open.

At level debug each end is logged by the id that the client gave, when it is decided and when the socket is
closed. A connection that is still open `CLOSE_DEADLINE` after its end was decided is a warning at any level,
and counted as `outlived`: in good order there is none.
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

CLOSE_DEADLINE = timedelta(seconds=1)  # from the decision; PROTOCOL, "Figures"


class Side(StrEnum):
    """Which connection of a request."""

    CLIENT = "client"
    ENDPOINT = "endpoint"


class ConnectionLog:
    """Logs the ends of the connections of requests, and watches that they come."""

    def __init__(self, timers: Timers, counters: Counters) -> None:
        self._timers, self._counters = timers, counters

    def ending(self, request_id: str, side: Side, reason: str) -> None:
        """This process has decided to end a connection."""
        if debugging():
            log.debug("connection ending", request=request_id, side=side.value, why=reason)

    def closed(self, request_id: str, side: Side, how: str, answered: bool) -> None:
        """The socket is closed.

        `how` is the end as Twisted tells it, or the name of the error number; `answered` whether the client
        had its answer, or the attempt the endpoint's.
        """
        if debugging():
            log.debug("connection closed", request=request_id, side=side.value, how=how, answered=answered)

    def watch(self, request_id: str, side: Side, wire: Transport, since: timedelta) -> Timer:
        """Watch that a connection closes whose end was decided then; to be cancelled once it has."""
        return self._timers.at(since + CLOSE_DEADLINE, partial(self._outlived, request_id, side, wire))

    def _outlived(self, request_id: str, side: Side, wire: Transport) -> None:
        self._counters.outlived += 1
        log.warning(
            "a connection has outlived its end",
            request=request_id,
            side=side.value,
            unread=unread_bytes(wire.fileno()),
            unsent=unsent_bytes(wire),
            unacknowledged=unacknowledged_bytes(wire.fileno()),
            held=end_is_held(wire),
        )
