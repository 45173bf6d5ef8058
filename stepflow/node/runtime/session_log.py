"""The log of how sessions end, and of bytes that did not reach the other side.

At level debug each end is logged by the id that the client gave. Bytes of one side that are dropped are a
warning at any level, and counted: in good order only clients that do not read lose any.
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
    """Whose act ended a session."""

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
    """Bytes of one side that the other had not received when its connection was closed."""

    unread: int = 0  # left in the kernel, never read by this process
    unsent: int = 0  # read, and held in this process
    unacknowledged: int = 0  # given to the kernel, and taken back by the reset that ended the connection


class LoggedSession(Protocol):
    """What the log shows of a session."""

    client_request_id: str
    endpoint: str


class SessionLog:
    """Logs the ends of sessions, and counts those that lost bytes."""

    def __init__(self, counters: Counters, connections: ConnectionLog) -> None:
        self._counters, self.connections = counters, connections

    def ended(self, session: LoggedSession, by: EndedBy, cause: EndCause) -> None:
        """One side has ended, or the node ends both."""
        if debugging():
            log.debug(
                "session ended",
                request=session.client_request_id,
                peer=session.endpoint,
                by=by.value,
                how=cause.value,
            )

    def dropped(self, session: LoggedSession, to: Side, bytes_of: Undelivered) -> None:
        """The connection to one side is closed; does nothing unless bytes for it are lost with it."""
        if any(bytes_of):
            self._counters.truncated += 1
            log.warning(
                "bytes of a session were dropped",
                request=session.client_request_id,
                peer=session.endpoint,
                to=to.value,
                **bytes_of._asdict(),
            )


class SideLog:
    """The log of one connection of a session."""

    __slots__ = ("_session", "_sessions", "_side")

    def __init__(self, sessions: SessionLog, session: LoggedSession, side: Side) -> None:
        self._sessions, self._session, self._side = sessions, session, side

    def ending(self, cause: EndCause) -> None:
        """Its end was decided, as a FIN or a reset."""
        self._sessions.connections.ending(self._session.client_request_id, self._side, cause.value)

    def dropped(self, bytes_of: Undelivered) -> None:
        """It is closed, and these bytes for it are lost."""
        self._sessions.dropped(self._session, self._side, bytes_of)

    def watch(self, wire: Transport, since: timedelta) -> Timer:
        """Watch that it closes, its end having been decided then; to be cancelled once it has."""
        return self._sessions.connections.watch(self._session.client_request_id, self._side, wire, since)
