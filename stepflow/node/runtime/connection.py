"""TCP transports that report how a connection ended, and only after the data received before its end.

Twisted closes a connection at the first call that fails, although the kernel may still hold received data: a
write fails, or a hang-up is reported, before everything was read. Here such data is read first, at the pace
of the protocol. Transient errors of this machine, such as a lack of memory, close no connection; the call is
repeated.

The error number that broke a connection is kept, because the reaction depends on it. A reset comes from the
other side and is relayed as a reset. After a network failure the endpoint may still be reachable over other
connections, so its client is migrated.
"""

# Twisted's transports have no types.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

import errno
import os
import socket
from typing import Any, cast

from twisted.internet import main, tcp
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.logs import debugging, get_logger
from stepflow.node.runtime.buffers import MIN_PIECE_BYTES, HeldBytes
from stepflow.node.runtime.lines import LineProtocol
from stepflow.node.runtime.transports import Reactor, unread_bytes

log = get_logger()

NETWORK_ERRNOS = frozenset(
    {
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.ENETDOWN,
        errno.ENONET,
        errno.EPROTO,
        errno.ENOPROTOOPT,
    }
)
# Errors that recv(2) and send(2) document for calls that may succeed a moment later.
_TRANSIENT_ERRNOS = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
_RETRYABLE_ERRNOS = _TRANSIENT_ERRNOS | {errno.EAGAIN}
_UNKNOWN_ADDRESS = ("", 0)
_READ_RETRY_DELAY_S = 0.005  # after a transient error; the reactor reports no further event for this socket


class OrderedTransport:
    """Mixin that replaces how a Twisted transport reads, writes and closes.

    Once the other side has broken the connection, the protocol's `connectionLost` is called after all data
    received before was delivered to it. While the protocol has paused reading, the end is held until it
    resumes reading or closes the connection.
    """

    socket: socket.socket
    protocol: Any
    reactor: Any
    SEND_LIMIT: int
    dataBuffer: bytes
    _tempDataLen: int
    connected: int
    _aborting: bool

    held_bytes = HeldBytes()  # of all connections of the process
    _held = 0  # the part of this connection
    broken_by = 0  # number of the error that broke the connection; 0 without an error, and after a FIN
    left_unread = 0  # bytes left unread in the kernel, set when the socket is closed
    _held_end: Failure | None = None  # the end of a broken connection, while data before it is unread
    _is_paused = False
    _input_ended = False  # a FIN was received

    @property
    def end_is_held(self) -> bool:
        """Whether the connection is broken, but data received before that is still unread."""
        return self._held_end is not None

    @property
    def bufferSize(self) -> int:
        """The size of a read, and the number of unsent bytes above which Twisted pauses the producer."""
        return self.held_bytes.piece_bytes

    def write(self, data: bytes) -> None:
        """Send data; what the kernel doesn't accept now is buffered."""
        super().write(data)  # type: ignore[misc]
        if self._held or self._tempDataLen > MIN_PIECE_BYTES:  # small writes are sent in the next turn
            self._count_held()

    def doWrite(self) -> Any:
        """Send buffered data. Returns the reason for Twisted to close the connection, or None."""
        result = super().doWrite()  # type: ignore[misc]
        if self._held or self.dataBuffer:
            self._count_held()
        return result

    def _count_held(self) -> None:
        held = len(self.dataBuffer) + self._tempDataLen if self.connected else 0
        self.held_bytes.add(held - self._held)
        self._held = held

    def doRead(self) -> Any:
        """Read once. Returns the reason for Twisted to close the connection, or None to keep it open."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            return self._handle_error(error)
        return cast(Any, self)._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Write once. Returns the number of bytes sent, or the reason for Twisted to close the connection."""
        if self._held_end is not None:
            return 0
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return self._handle_error(error) or 0

    def pauseProducing(self) -> None:
        """Stop reading."""
        self._is_paused = True
        cast(Any, super()).pauseProducing()

    def resumeProducing(self) -> None:
        """Resume reading; if an end is held, the reactor's next turn reads the rest and closes."""
        self._is_paused = False
        if self._held_end is not None:
            self.reactor.callLater(0, self.connectionLost, self._held_end)
        elif not self._input_ended:
            cast(Any, super()).resumeProducing()

    def readConnectionLost(self, reason: Failure) -> None:
        """Close the connection after a FIN, unless the protocol keeps its sending direction open."""
        self._input_ended = True
        protocol = self.protocol
        if not (isinstance(protocol, LineProtocol) and protocol.input_ended()):
            self.connectionLost(reason)

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket; if the other side broke the connection, only after its data has been read."""
        # This process's own reset is never held. Twisted reports it as a subclass of ConnectionLost, and only
        # once: if it were held, the socket would never be closed.
        if self.connected and not self._aborting and reason.check(ConnectionLost):
            self._hold_end(reason)
            try:
                if not self._read_remaining():
                    self._log_delay(reason)
                    return
            except Exception:
                self._close(Failure())
                raise
        self._close(reason)

    def _handle_error(self, error: OSError) -> Any:
        """Record a call's error; return the reason to close the connection, or None to repeat the call."""
        if error.errno in _RETRYABLE_ERRNOS:
            return None
        self.broken_by = self.broken_by or error.errno or 0
        return main.CONNECTION_LOST

    def _hold_end(self, reason: Failure) -> None:
        """Hold the end, and discard unsent data: nothing more can reach the other side."""
        self._held_end = reason
        transport = cast(Any, self)
        transport.stopWriting()
        transport._writeDisconnected = True
        transport.dataBuffer, transport.offset = b"", 0
        transport._tempDataBuffer, transport._tempDataLen = [], 0
        self._count_held()

    def _read_remaining(self) -> bool:
        """Deliver unread data to the protocol until it pauses; return whether everything was read.

        Returns False also if the protocol has closed or aborted the connection in the meantime.
        """
        while not self._is_paused:
            try:
                data = self.socket.recv(self.bufferSize)
            except OSError as error:
                would_block = error.errno == errno.EAGAIN
                if error.errno in _TRANSIENT_ERRNOS or (would_block and unread_bytes(self.socket.fileno())):
                    self.reactor.callLater(_READ_RETRY_DELAY_S, self.connectionLost, self._held_end)
                    return False
                self._handle_error(error)
                return True
            if not data:
                return True
            self.protocol.dataReceived(data)
            if not self.connected or self._aborting:
                return False
        return False

    def _log_delay(self, reason: Failure) -> None:
        if self.connected and debugging():
            log.debug(
                "connection close delayed",
                request=getattr(self.protocol, "request_id", ""),
                how=type(reason.value).__name__,
                unread=unread_bytes(self.socket.fileno()),
                paused=self._is_paused,
            )

    def _close(self, reason: Failure) -> None:
        if self.connected:
            self.left_unread = unread_bytes(self.socket.fileno())
        cast(Any, super()).connectionLost(reason)
        self._count_held()


class AcceptedTransport(OrderedTransport, tcp.Server):  # type: ignore[override]  # bufferSize is read-only here
    """A connection that this process has accepted, or that another process has handed over."""


class _DialedTransport(OrderedTransport, tcp.Client):  # type: ignore[override]
    """An outgoing connection of this process."""


class _Connector(tcp.Connector):
    """Twisted's connector, with `_DialedTransport` for its transports."""

    def _makeTransport(self) -> Any:
        return _DialedTransport(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Reactor, address: Address, factory: Any, timeout: float | None = None) -> Any:
    """Start to connect, with a timeout in seconds; return the connector."""
    connector = _Connector(address.host, address.port, factory, cast(float, timeout), None, reactor)
    connector.connect()
    return connector


def duplicate_sockets(*descriptors: int) -> list[socket.socket]:
    """Duplicate the descriptors of sockets that another process has passed.

    Raises:
        OSError: No file descriptor is free; duplicates made so far are closed.
    """
    duplicates: list[socket.socket] = []
    try:
        for descriptor in descriptors:
            duplicates.append(socket.socket(fileno=os.dup(descriptor)))
    except OSError:
        for duplicate in duplicates:
            duplicate.close()
        raise
    return duplicates


def adopt(reactor: Reactor, sock: socket.socket, factory: Any) -> None:
    """Create the transport and protocol of a connection that another process has passed.

    An end that the other side has sent in the meantime is read as usual, after the data before it.
    """
    protocol = factory.buildProtocol(None)
    # Reactor.adoptStreamConnection asks for the peer address, which a reset connection no longer has.
    protocol.makeConnection(cast(Any, AcceptedTransport)(sock, protocol, _UNKNOWN_ADDRESS, None, 0, reactor))


def network_failed(transport: object) -> bool:
    """Whether a network error, rather than the other side, broke the connection."""
    return getattr(transport, "broken_by", 0) in NETWORK_ERRNOS


def error_name(transport: object) -> str:
    """The name of the error that broke a connection, such as ECONNRESET; empty if there was none."""
    return errno.errorcode.get(getattr(transport, "broken_by", 0), "")
