"""TCP transports to endpoints that keep the number of the error which broke them: Twisted's own forget it.

The error decides what the client is told. A reset comes from the endpoint and is passed on as a reset. Where
the network between has failed, the endpoint may well answer on other connections, and its client is migrated.
"""

# Twisted's transports have no types.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

import errno
import socket
from typing import Any, cast

from twisted.internet import main, tcp
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.runtime.transports import Reactor, unread_bytes

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
_READ_LATER = (errno.EAGAIN, errno.EINTR)
_WRITE_LATER = (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM)


class ErrnoRecorder:
    """Replaces the reading and writing of a Twisted transport, to record the error that breaks it."""

    socket: socket.socket
    bufferSize: int
    SEND_LIMIT: int
    broken_by = 0  # the error number; 0 while there was none, and after a FIN
    left_unread = 0  # bytes that were never read, once the socket is closed

    def doRead(self) -> Any:
        """Read once. Returns what Twisted ends the connection with, or None while it lasts."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            if error.errno in _READ_LATER:
                return None
            self.broken_by = error.errno or 0
            return main.CONNECTION_LOST
        return cast(Any, self)._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Write once. Returns how many bytes went out, or what Twisted ends the connection with."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            if error.errno in _WRITE_LATER:
                return 0
            self.broken_by = error.errno or 0
            return main.CONNECTION_LOST

    def connectionLost(self, reason: Failure) -> None:
        """Note what was never read, and close the socket."""
        if hasattr(self, "socket"):
            self.left_unread = unread_bytes(self.socket.fileno())
        super().connectionLost(reason)  # type: ignore[misc]


class _DialedTransport(ErrnoRecorder, tcp.Client):
    """A connection that this process has made."""


class _AdoptedTransport(ErrnoRecorder, tcp.Server):
    """A connection that another process has passed: for Twisted, one that was accepted."""


class _Connector(tcp.Connector):
    """Twisted's connector, which makes these transports."""

    def _makeTransport(self) -> Any:
        return _DialedTransport(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Reactor, address: Address, factory: Any) -> Any:
    """Begin a connection to an endpoint, without a time-out; returns its connector."""
    no_timeout = cast(float, None)
    connector = _Connector(address.host, address.port, factory, no_timeout, None, reactor)
    connector.connect()
    return connector


def adopt(reactor: Reactor, descriptor: int, family: int, factory: Any) -> None:
    """Go on with a connection that another process has passed; the descriptor is duplicated."""
    _AdoptedTransport._fromConnectedSocket(descriptor, family, factory, reactor)


def network_failed(transport: object) -> bool:
    """Whether a connection was broken by the network, not by the endpoint."""
    return getattr(transport, "broken_by", 0) in NETWORK_ERRNOS


def error_name(transport: object) -> str:
    """The name of the error number that broke a connection, such as ECONNRESET; empty if none did."""
    return errno.errorcode.get(getattr(transport, "broken_by", 0), "")
