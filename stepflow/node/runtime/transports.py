"""The parts of Twisted that the node uses, as types."""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure


def family(descriptor: int) -> int:
    """The address family of a connection that was passed; an OSError says that it has ended meanwhile."""
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        sock.getpeername()
        return sock.family


class DelayedCall(Protocol):
    def active(self) -> bool: ...
    def cancel(self) -> None: ...


class Connector(Protocol):
    transport: Any

    def connect(self) -> None: ...
    def stopConnecting(self) -> None: ...


class Transport(Protocol):
    """A TCP connection."""

    def write(self, data: bytes) -> None: ...
    def loseConnection(self) -> None: ...
    def loseWriteConnection(self) -> None: ...
    def abortConnection(self) -> None: ...
    def connectionLost(self, reason: Failure) -> None: ...
    def setTcpNoDelay(self, enabled: bool) -> None: ...
    def pauseProducing(self) -> None: ...
    def resumeProducing(self) -> None: ...
    def registerProducer(self, producer: Any, streaming: bool) -> None: ...
    def unregisterProducer(self) -> None: ...
    def fileno(self) -> int: ...


def unsent(transport: Transport) -> int:
    """How many bytes wait here for the kernel; Twisted has no public word for it."""
    inner = cast(Any, transport)
    return sum(map(len, inner._tempDataBuffer)) + len(inner.dataBuffer) - int(inner.offset)


def has_unread(socket: Transport | Port) -> bool:
    """Whether the kernel holds something of the other side's, be it only its end or a connection."""
    poll = select.poll()
    poll.register(socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(transport: Transport) -> bool:
    """Whether the other side has ended its sending, or the connection is broken, be that unread yet."""
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def flush(transport: Transport) -> None:
    """Write what waits now, not in the reactor's next turn; a failure shows there.

    A short write is followed by another, until the kernel takes no more.
    """
    while waiting := unsent(transport):
        cast(Any, transport).doWrite()
        if unsent(transport) == waiting:
            return


def finish(transport: Transport) -> None:
    """Close a connection whose sending has ended: by a reset only where bytes of it never went out."""
    if unsent(transport):
        transport.abortConnection()
    else:
        transport.loseConnection()


def let_go(transport: Transport) -> None:
    """Close this process's copy of a socket that another holds too: a shutdown would end it for both."""
    cast(Any, transport)._shouldShutdown = False
    transport.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]


class UnixTransport(Transport, Protocol):
    """A connection of a Unix socket."""

    def sendFileDescriptor(self, fileno: int) -> None: ...


class DatagramTransport(Protocol):
    """A UDP socket."""

    def write(self, data: bytes, address: tuple[str, int]) -> None: ...


class Port(Protocol):
    def getHost(self) -> Any: ...
    def fileno(self) -> int: ...
    def stopListening(self) -> Any: ...


class Reactor(Protocol):
    """Twisted's default reactor."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall: ...
    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None: ...
    def listenTCP(self, port: int, factory: Any, backlog: int = ..., interface: str = ...) -> Port: ...
    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any: ...
    def listenUDP(self, port: int, protocol: Any, interface: str = ...) -> Port: ...
    def listenUNIX(self, address: str, factory: Any, backlog: int = ..., mode: int = ...) -> Port: ...
    def connectUNIX(self, address: str, factory: Any, timeout: float = ...) -> Connector: ...
    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = ...) -> Connector: ...
    def addSystemEventTrigger(self, phase: str, event: str, call: Callable[[], Any]) -> Any: ...
    def run(self, installSignalHandlers: bool = ...) -> None: ...
    def stop(self) -> None: ...
