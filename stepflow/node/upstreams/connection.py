"""Connections to peers that keep the error which broke them: Twisted's own forget it.

What it means for the client differs. A reset is the peer's word, and is passed on in kind; where the network
between has failed, the peer may well answer on other connections, and its client is sent away politely.
"""

# Twisted's transports have no types.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

import errno
import socket
from typing import Any, cast

from twisted.internet import main, tcp

from stepflow.address import Address
from stepflow.node.runtime.transports import Reactor

OF_THE_NETWORK = frozenset(
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
_NOT_NOW = (errno.EAGAIN, errno.EINTR)
_NO_ROOM = (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM)


class KeepsError:
    """The reading and writing of a Twisted transport, which notes what they failed with."""

    socket: socket.socket
    bufferSize: int
    SEND_LIMIT: int
    broken_by = 0  # the error number; 0 for an end that was none

    def doRead(self) -> Any:
        """Read once; the reactor's call."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as fault:
            if fault.errno in _NOT_NOW:
                return None
            self.broken_by = fault.errno or 0
            return main.CONNECTION_LOST
        return cast(Any, self)._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Write once; how much went out, or what the connection ends with."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as fault:
            if fault.errno in _NO_ROOM:
                return 0
            self.broken_by = fault.errno or 0
            return main.CONNECTION_LOST


class _Client(KeepsError, tcp.Client):
    """A connection that this process has made."""


class _Adopted(KeepsError, tcp.Server):
    """A connection that another process has passed."""


class _Connector(tcp.Connector):
    """Twisted's connector, for these connections."""

    def _makeTransport(self) -> Any:
        return _Client(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Reactor, endpoint: Address, factory: Any) -> Any:
    """Begin a connection to a peer; its connector."""
    no_timeout = cast(float, None)
    connector = _Connector(endpoint.host, endpoint.port, factory, no_timeout, None, reactor)
    connector.connect()
    return connector


def adopt(reactor: Reactor, descriptor: int, family: int, factory: Any) -> None:
    """Go on with a connection to a peer that another process has passed."""
    _Adopted._fromConnectedSocket(descriptor, family, factory, reactor)


def network_failed(transport: object) -> bool:
    """Whether a connection was broken by the network, not by the peer."""
    return getattr(transport, "broken_by", 0) in OF_THE_NETWORK
