"""Unix transports of the hand-over's channel that are read to their end.

A process that was killed can have passed sessions whose messages lie unread here, and this process holds the
only descriptors of them. Twisted drops what is unread once a write fails.
"""

# Twisted's transports have no types.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

from typing import Any, cast

from twisted.internet import unix
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from stepflow.node.runtime.transports import Connector, Port, Reactor, Transport, has_unread

MAX_READS = 10_000  # a message has two reads at the most; more are no end that can be waited for
BACKLOG = 50


class _ChannelTransport:
    """Replaces how a Unix transport of Twisted ends."""

    connected: int

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket; if the other process has broken the channel, once its messages have been read."""
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
    """The channel at the process that listened."""


class _DialedChannel(_ChannelTransport, unix.Client):
    """The channel at the process that connected."""


class _ChannelPort(unix.Port):
    transport = _AcceptedChannel


class _ChannelConnector(unix.Connector):
    def _makeTransport(self) -> Any:
        return _DialedChannel(self.address, self, self.reactor, self.checkPID)


def listen(reactor: Reactor, path: str, factory: Any, mode: int) -> Port:
    """Accept connections to a Unix socket of these permissions.

    Raises:
        CannotListenError: the path can't be bound.
        OSError: its permissions can't be set.
    """
    port = cast(Any, _ChannelPort)(path, factory, BACKLOG, mode, reactor)
    port.startListening()
    return cast(Port, port)


def connect(reactor: Reactor, path: str, factory: Any, timeout_s: float) -> Connector:
    """Begin a connection to a Unix socket; returns its connector."""
    connector = _ChannelConnector(path, factory, timeout_s, reactor, 0)
    connector.connect()
    return cast(Connector, connector)
