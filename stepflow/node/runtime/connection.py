"""TCP transports that tell how a connection ended, and tell it only behind what came before that end.

Twisted ends a connection at the first call that fails, though the kernel may still hold bytes of the other
side: a write fails, or a hang-up is told, before all was read. Such bytes are read first here, as fast as the
protocol takes them. Errors of this machine, such as a want of memory, end no connection; the call is made
again.

The number of the error that broke a connection is kept, for it decides what is owed. A reset comes from the
other side and is passed on as a reset. Where the network between has failed, an endpoint may well answer on
other connections, and its client is migrated.
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
# recv(2) and send(2) document these for a call that may succeed a moment later.
_SHORTAGE = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
_TRY_AGAIN = _SHORTAGE | {errno.EAGAIN}
_NO_ADDRESS = ("", 0)
_READ_RETRY_DELAY_S = 0.005  # after a shortage, while no event of the reactor would come


class OrderedTransport:
    """Replaces how a Twisted transport reads, writes and ends.

    Once the other side has broken the connection, `connectionLost` of the protocol follows when it has been
    given all that came before. A protocol that pauses holds its end back until it goes on, or closes.
    """

    socket: socket.socket
    protocol: Any
    reactor: Any
    bufferSize: int
    SEND_LIMIT: int
    connected: int
    _aborting: bool

    broken_by = 0  # the error number; 0 while there was none, and after a FIN
    left_unread = 0  # bytes that were never read, once the socket is closed
    _held_end: Failure | None = None  # the other side's end, while bytes before it are unread
    _is_paused = False
    _input_ended = False  # a FIN was read, and the protocol goes on sending

    @property
    def end_is_held(self) -> bool:
        """Whether the other side has broken the connection, and bytes that came before are unread."""
        return self._held_end is not None

    def doRead(self) -> Any:
        """Read once. Returns what Twisted ends the connection with, or None while it lasts."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            return self._failed(error)
        return cast(Any, self)._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Write once. Returns how many bytes went out, or what Twisted ends the connection with."""
        if self._held_end is not None:
            return 0
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return self._failed(error) or 0

    def pauseProducing(self) -> None:
        """Stop reading."""
        self._is_paused = True
        cast(Any, super()).pauseProducing()

    def resumeProducing(self) -> None:
        """Go on reading, up to an end that was held back."""
        self._is_paused = False
        if self._held_end is not None:
            self.reactor.callLater(0, self.connectionLost, self._held_end)
        elif not self._input_ended:
            cast(Any, super()).resumeProducing()

    def readConnectionLost(self, reason: Failure) -> None:
        """Close after a FIN, unless the protocol has to go on sending."""
        self._input_ended = True
        protocol = self.protocol
        if not (isinstance(protocol, LineProtocol) and protocol.input_ended()):
            self.connectionLost(reason)

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket; if the other side has broken the connection, once its bytes have been read."""
        # This process's own reset waits for nothing. Twisted tells it as a kind of ConnectionLost, but only
        # once: put off, it would never be carried out.
        if self.connected and not self._aborting and reason.check(ConnectionLost):
            self._hold_end(reason)
            try:
                if not self._read_rest():
                    self._log_delay(reason)
                    return
            except Exception:
                self._close(Failure())
                raise
        self._close(reason)

    def _failed(self, error: OSError) -> Any:
        """What ends the connection after a call that failed; None if it may succeed a moment later."""
        if error.errno in _TRY_AGAIN:
            return None
        self.broken_by = self.broken_by or error.errno or 0
        return main.CONNECTION_LOST

    def _hold_end(self, reason: Failure) -> None:
        """Give up sending: nothing more can reach the other side."""
        self._held_end = reason
        transport = cast(Any, self)
        transport.stopWriting()
        transport._writeDisconnected = True
        transport.dataBuffer, transport.offset = b"", 0
        transport._tempDataBuffer, transport._tempDataLen = [], 0

    def _read_rest(self) -> bool:
        """Give the protocol what is unread, until it pauses; whether all was read.

        False also where the protocol has closed the connection meanwhile, or is about to.
        """
        while not self._is_paused:
            try:
                data = self.socket.recv(self.bufferSize)
            except OSError as error:
                would_block = error.errno == errno.EAGAIN
                if error.errno in _SHORTAGE or (would_block and unread_bytes(self.socket.fileno())):
                    self.reactor.callLater(_READ_RETRY_DELAY_S, self.connectionLost, self._held_end)
                    return False
                self._failed(error)
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
                "connection end waits",
                request=getattr(self.protocol, "request_id", ""),
                how=type(reason.value).__name__,
                unread=unread_bytes(self.socket.fileno()),
                paused=self._is_paused,
            )

    def _close(self, reason: Failure) -> None:
        if self.connected:
            self.left_unread = unread_bytes(self.socket.fileno())
        cast(Any, super()).connectionLost(reason)


class AcceptedTransport(OrderedTransport, tcp.Server):
    """A connection that was accepted, by this process or by another that has passed it."""


class _DialedTransport(OrderedTransport, tcp.Client):
    """A connection that this process has made."""


class _Connector(tcp.Connector):
    """Twisted's connector, which makes these transports."""

    def _makeTransport(self) -> Any:
        return _DialedTransport(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Reactor, address: Address, factory: Any, timeout: float | None = None) -> Any:
    """Begin a connection, which may take so many seconds to come up; returns its connector."""
    connector = _Connector(address.host, address.port, factory, cast(float, timeout), None, reactor)
    connector.connect()
    return connector


def duplicate_sockets(*descriptors: int) -> list[socket.socket]:
    """Sockets of this process's own for connections that another process has passed.

    Raises:
        OSError: There is no descriptor left; none of the sockets is open then.
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
    """Go on with a connection that another process has passed.

    The other side may have ended it by now: that is read like any end, behind what came before.
    """
    protocol = factory.buildProtocol(None)
    # Twisted's own way asks for the other side's address, which a connection that was reset has no more.
    protocol.makeConnection(cast(Any, AcceptedTransport)(sock, protocol, _NO_ADDRESS, None, 0, reactor))


def network_failed(transport: object) -> bool:
    """Whether a connection was broken by the network, not by the other side."""
    return getattr(transport, "broken_by", 0) in NETWORK_ERRNOS


def error_name(transport: object) -> str:
    """The name of the error number that broke a connection, such as ECONNRESET; empty if none did."""
    return errno.errorcode.get(getattr(transport, "broken_by", 0), "")
