"""Unix transports for the hand-over's channel that read all remaining data before they close.

A process that was killed may have passed sessions whose messages are still unread here, and this process then
holds the only descriptors of those sessions. Twisted drops unread data once a write fails.
"""

# Twisted's transports have no types.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

from typing import Any, cast

from twisted.internet import unix
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from stepflow.node.runtime.transports import Connector, Port, Reactor, Transport, has_unread

MAX_READS = 10_000  # a message takes at most two; data that needs more reads is taken to be endless
BACKLOG = 50


class _ChannelTransport:
    """Changes how a Unix transport of Twisted closes."""

    connected: int

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket; if the connection broke, read the remaining messages first."""
        if self.connected and reason.check(ConnectionLost):
            self._read_rest()
        if self.connected:
            cast(Any, super()).connectionLost(reason)

    def _read_rest(self) -> None:
        for _ in range(MAX_READS):
            if not self.connected or not has_unread(cast(Transport, self)):
                return
            if cast(Any, self).doRead() is not None:
                return


class _AcceptedChannel(_ChannelTransport, unix.Server):
    """The channel's transport in the process that listened."""


class _DialedChannel(_ChannelTransport, unix.Client):
    """The channel's transport in the process that connected."""


class _ChannelPort(unix.Port):
    transport = _AcceptedChannel


class _ChannelConnector(unix.Connector):
    def _makeTransport(self) -> Any:
        return _DialedChannel(self.address, self, self.reactor, self.checkPID)


def listen(reactor: Reactor, path: str, factory: Any, mode: int) -> Port:
    """Listen on a Unix socket with the given permissions; return its port.

    Raises:
        CannotListenError: The path can't be bound.
        OSError: The permissions can't be set.
    """
    port = cast(Any, _ChannelPort)(path, factory, BACKLOG, mode, reactor)
    port.startListening()
    return cast(Port, port)


def connect(reactor: Reactor, path: str, factory: Any, timeout_s: float) -> Connector:
    """Start to connect to a Unix socket; return the connector."""
    connector = _ChannelConnector(path, factory, timeout_s, reactor, 0)
    connector.connect()
    return cast(Connector, connector)
