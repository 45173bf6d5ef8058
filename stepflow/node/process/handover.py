"""Hand-over between two processes of a node.

A starting process looks for its predecessor; a running process passes its state and its sessions to its
successor. Responsible for which of the two processes listens on the Unix socket, and for the order of their
messages; handover_messages.py defines their format. Owns the channel, the socket's path, and received
descriptors that no message has claimed yet. Durations are timedeltas of the node's clock.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.error import CannotListenError

from stepflow.logs import get_logger
from stepflow.node.list_transfer import ListTransfer
from stepflow.node.process.channel_transport import connect, listen
from stepflow.node.process.handover_channel import HandoverChannel, HandoverChannelFactory
from stepflow.node.process.handover_messages import (
    ClosedRequests,
    DescriptorCount,
    HandoverMessageError,
    HandoverState,
    SessionAnswer,
    SessionOffer,
    SessionsComplete,
    read_message,
    read_session,
    read_state,
)
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Port, Reactor
from stepflow.node.session_transfer import SessionTransfer
from stepflow.os_errors import LOCAL_CONNECT_ERRORS, TRANSIENT_FILE_ERRORS, errno_of

log = get_logger()

SEARCH_TIMEOUT = timedelta(seconds=2)  # how long a starting process waits for the predecessor's state
# Interval between reports of the open descriptors, and so the maximum age of the other process's count.
DESCRIPTORS_INTERVAL = timedelta(milliseconds=100)
LISTEN_RETRY_DELAY = timedelta(seconds=1)  # after listening on the path failed
MAX_PATH_BYTES = 100  # slightly less than the address of a Unix socket can hold
SOCKET_MODE = 0o600
SOCKETS_PER_SESSION = 2  # the client's and the endpoint's

# Called once with the predecessor's listening socket (None if there is no predecessor) and its state.
FoundPredecessor = Callable[[int | None, HandoverState], None]


class HandoverProcess(Protocol):
    """The interface that the hand-over needs from its process."""

    def handover_state(self) -> tuple[int, HandoverState]:
        """Return the listening socket's descriptor, and the state for a successor."""

    def reclaim_descriptors(self) -> None:
        """Close idle connections to endpoints, since the two processes share the limit of descriptors."""

    def open_descriptors(self) -> int:
        """Return the number of descriptors that this process holds open, or reserves."""

    def adopt_session(self, session: SessionTransfer, client: int, endpoint: int) -> bool:
        """Adopt a session, given the descriptors of its two sockets.

        Returns False if the session has to stay with the other process.
        """

    def session_answered(self, number: int, accepted: bool) -> None:
        """Handle the successor's answer to the offer with this number."""

    def closed_requests(self) -> list[int]:
        """Return the ids of the requests that this process has closed and that may have run."""

    def closed_requests_received(self, ids: list[int]) -> None:
        """Record that the other process has closed requests with these ids, which may have run."""

    def list_received(self, transfer: ListTransfer) -> None:
        """Apply a message of discovery that the other process has received."""

    def sessions_complete(self) -> None:
        """Handle the predecessor's message that it holds no more sessions."""


class Handover:
    """Finds the predecessor, then waits for the successor.

    Only one of a node's processes listens on the path at a time: the predecessor stops when the successor
    connects, and the successor starts when the channel ends, so neither removes the other's socket.
    """

    def __init__(self, reactor: Reactor, timers: Timers, process: HandoverProcess, path: str) -> None:
        self._reactor, self._timers, self._process = reactor, timers, process
        if len(path) > MAX_PATH_BYTES:
            log.warning("hand-over path too long", path=path)
            path = ""
        self._path = path
        self._on_found: FoundPredecessor | None = None  # called once, then None
        self._descriptors: deque[int] = deque()  # received, and not claimed by a message yet
        self._channel: HandoverChannel | None = None
        self._port: Port | None = None
        self._search_timer: Timer | None = None
        self._refuses_successors = False  # whether the process is shutting down
        self.has_successor = False  # whether a successor is connected
        self.successor_serves = False  # whether the successor has reported that it serves
        self.other_descriptors = 0  # descriptors that the other process holds, as last reported

    @property
    def is_connected(self) -> bool:
        """Whether a channel to the other process is open."""
        return self._channel is not None

    def find_predecessor(self, on_found: FoundPredecessor) -> None:
        """Connect to the predecessor, if there is one; `on_found` gets what it hands over."""
        self._on_found = on_found
        self._search_timer = self._timers.after(SEARCH_TIMEOUT, self.channel_failed)
        if not self._path or not os.path.exists(self._path):
            self._end_search(None)
            return
        factory = HandoverChannelFactory(self)
        connect(self._reactor, self._path, factory, SEARCH_TIMEOUT.total_seconds())

    def start_serving(self) -> None:
        """Tell the predecessor that this process serves; without a predecessor, wait for a successor."""
        if self._channel is None:
            self._await_successor()
        else:
            self._send_descriptor_count()

    def refuse_successors(self) -> None:
        """Refuse new successors, since the process is shutting down; a connected one is kept."""
        self._refuses_successors = True
        self._stop_listening()

    def close(self) -> None:
        """Close the channel and the listening socket, since the process exits."""
        self.refuse_successors()
        if self._channel is not None:
            self._channel.flush()
            self._channel.close()

    def offer_session(self, number: int, session: SessionTransfer) -> None:
        """Pass a session to the successor, whose answer follows unless the channel ends first."""
        if self._channel is not None:
            self._channel.send_descriptor(session.client_descriptor)
            self._channel.send_descriptor(session.endpoint_descriptor)
            self._channel.send(SessionOffer(number, session))

    def send_sessions_complete(self) -> None:
        """Tell the successor that this process holds no more sessions."""
        if self._channel is not None:
            self._channel.send(SessionsComplete())

    def send_list(self, transfer: ListTransfer) -> None:
        """Pass a message of discovery to the other process, which may not hear of it, or only later."""
        if self._channel is not None and self._on_found is None:
            self._channel.send(transfer)

    def send_closed_request(self, id: int) -> None:
        """Tell the other process of a request that is closed here and may have run."""
        if self._channel is not None and self._on_found is None:
            self._channel.send(ClosedRequests([id]))

    # Events of the channel.

    def channel_connected(self, channel: HandoverChannel) -> None:
        """Handle a new channel, to the predecessor or from a successor."""
        if self._channel is not None or self._refuses_successors:
            channel.close()
            return
        self._channel = channel
        if self._port is None:
            if self._on_found is None:  # the predecessor answered after the search had timed out
                channel.close()
            return
        self._stop_listening()
        # Set here rather than on the first message: SIGTERM may arrive before that message is read.
        self.has_successor = True
        descriptor, state = self._process.handover_state()
        channel.send_descriptor(descriptor)
        channel.send(state)
        if ids := self._process.closed_requests():
            channel.send(ClosedRequests(ids))
        self._send_descriptor_count()

    def channel_failed(self) -> None:
        """End the search: no process listens on the path any more, or none has answered in time."""
        self._end_search(None)

    def descriptor_received(self, descriptor: int) -> None:
        """Keep a descriptor until the message that it belongs to arrives."""
        self._descriptors.append(descriptor)

    def line_received(self, channel: HandoverChannel, fields: dict[str, Any]) -> None:
        """Handle the next message of the other process."""
        if channel is not self._channel:
            return
        if self._on_found is not None:
            self._end_search(read_state(fields) if fields else None)
            return
        try:
            message = read_message(fields)
        except HandoverMessageError as error:
            log.warning("invalid hand-over message", fault=error)
            return
        if isinstance(message, SessionOffer):
            channel.send(SessionAnswer(message.number, self._adopt(message.session)))
        elif isinstance(message, SessionsComplete):
            self._process.sessions_complete()
        elif isinstance(message, ClosedRequests):
            self._process.closed_requests_received(message.ids)
        elif isinstance(message, ListTransfer):
            self._process.list_received(message)
        elif isinstance(message, SessionAnswer):
            self._process.session_answered(message.number, message.accepted)
        elif isinstance(message, DescriptorCount):
            self.other_descriptors, self.successor_serves = message.descriptors, self.has_successor

    def channel_lost(self, channel: HandoverChannel) -> None:
        """Handle the end of the channel: the other process has ended, or has refused the connection."""
        if channel is not self._channel:
            return
        self._channel, self.other_descriptors = None, 0
        while self._descriptors:
            os.close(self._descriptors.popleft())
        self.has_successor = self.successor_serves = False
        if self._on_found is not None:
            self._end_search(None)
        else:
            self._await_successor()

    def _await_successor(self) -> None:
        if not self._path or self._refuses_successors or self._port is not None or self._channel is not None:
            return
        with suppress(OSError):
            os.unlink(self._path)  # a socket that a killed process left behind
        try:
            self._port = listen(self._reactor, self._path, HandoverChannelFactory(self), SOCKET_MODE)
            log.info("waiting for a successor")
        except (CannotListenError, OSError) as error:
            log.warning("listening for a successor failed", fault=error)
            if errno_of(error) in LOCAL_CONNECT_ERRORS | TRANSIENT_FILE_ERRORS:
                self._timers.after(LISTEN_RETRY_DELAY, self._await_successor)

    def _stop_listening(self) -> None:
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def _adopt(self, offered: object) -> bool:
        """Adopt an offered session with its two sockets, received before; return whether it succeeded."""
        if len(self._descriptors) < SOCKETS_PER_SESSION:
            return False
        client, endpoint = self._descriptors.popleft(), self._descriptors.popleft()
        try:
            return self._process.adopt_session(read_session(offered), client, endpoint)
        except (HandoverMessageError, ValueError, OSError):
            log.exception("session adoption failed")
            return False
        finally:  # the adopted sockets are duplicates
            os.close(client)
            os.close(endpoint)

    def _end_search(self, state: HandoverState | None) -> None:
        """End the search, with the state of the predecessor if there is one; later calls have no effect."""
        on_found, self._on_found = self._on_found, None
        if on_found is None:
            return
        if self._search_timer is not None:
            self._search_timer.cancel()
        listener = self._descriptors.popleft() if state is not None and self._descriptors else None
        if listener is None and self._channel is not None:
            channel, self._channel = self._channel, None
            channel.close()
        on_found(listener, state or HandoverState())

    def _send_descriptor_count(self) -> None:
        if self._channel is not None:
            self._process.reclaim_descriptors()
            self._channel.send(DescriptorCount(self._process.open_descriptors()))
            self._timers.after(DESCRIPTORS_INTERVAL, self._send_descriptor_count)
