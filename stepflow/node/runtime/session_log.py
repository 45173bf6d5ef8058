"""Logs how sessions end, and bytes that were not delivered to the other side.

At level debug each end is logged under the request id that the client gave. Dropped bytes are logged as a
warning at any level and counted; in normal operation only clients that do not read lose any.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, Protocol

from stepflow.logs import debugging, get_logger
from stepflow.node.runtime.connection_log import ConnectionLog, Side
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timer
from stepflow.node.runtime.transports import Transport

log = get_logger()


class EndedBy(StrEnum):
    """Which party ended a session."""

    CLIENT = "client"
    ENDPOINT = "endpoint"
    NODE = "node"


class EndCause(StrEnum):
    """How a session was ended."""

    FIN = "fin"
    RESET = "reset"
    NETWORK = "network failed"
    MIGRATION = "migrated"
    MALFORMED = "overlong line"
    CLIENT_STALLED = "client does not read"
    TRANSFER = "passed to another process"


class Undelivered(NamedTuple):
    """Numbers of bytes for one side that it had not received when its connection was closed."""

    unread: int = 0  # in the kernel, never read by this process
    unsent: int = 0  # read, and still buffered in this process
    unacknowledged: int = 0  # passed to the kernel, not acknowledged, and discarded by a reset


class LoggedSession(Protocol):
    """The attributes of a session that are logged."""

    client_request_id: str
    endpoint: str


class SessionLog:
    """Logs the ends of sessions, and counts connections that lost bytes."""

    def __init__(self, counters: Counters, connections: ConnectionLog) -> None:
        self._counters, self.connections = counters, connections

    def ended(self, session: LoggedSession, by: EndedBy, cause: EndCause) -> None:
        """Log the end of a session, by one side or by the node."""
        if debugging():
            log.debug(
                "session ended",
                request=session.client_request_id,
                peer=session.endpoint,
                by=by.value,
                how=cause.value,
            )

    def cut_within_line(self, session: LoggedSession, lines: int, half_line: int) -> None:
        """Log a migration whose client got no MOVE, since it had received only a part of a line.

        `lines` is the number of lines that its endpoint has completed since half lines are held back;
        `half_line` is the number of bytes of the line that it has not completed.
        """
        log.warning(
            "session cut within a line",
            request=session.client_request_id,
            peer=session.endpoint,
            lines=lines,
            half_line=half_line,
        )

    def dropped(self, session: LoggedSession, to: Side, undelivered: Undelivered) -> None:
        """Log and count a connection that was closed with bytes lost; do nothing if none were lost."""
        if any(undelivered):
            self._counters.truncated += 1
            log.warning(
                "session data dropped",
                request=session.client_request_id,
                peer=session.endpoint,
                to=to.value,
                **undelivered._asdict(),
            )


class SideLog:
    """The log of one connection of a session."""

    __slots__ = ("_session", "_sessions", "_side")

    def __init__(self, sessions: SessionLog, session: LoggedSession, side: Side) -> None:
        self._sessions, self._session, self._side = sessions, session, side

    def ending(self, cause: EndCause) -> None:
        """Log the decision to end the connection, by a FIN or a reset."""
        self._sessions.connections.ending(self._session.client_request_id, self._side, cause.value)

    def dropped(self, undelivered: Undelivered) -> None:
        """Log and count the connection if it was closed with bytes lost."""
        self._sessions.dropped(self._session, self._side, undelivered)

    def start_close_deadline(self, tcp_transport: Transport, since: timedelta) -> Timer:
        """Start the close deadline of a connection whose end was decided at `since`; cancel it on close."""
        return self._sessions.connections.start_close_deadline(
            self._session.client_request_id, self._side, tcp_transport, since
        )
