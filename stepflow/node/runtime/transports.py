"""The parts of Twisted that the node uses, as types, and what Twisted's transports don't offer.

Twisted's classes are not typed; the protocols here have the methods that the node calls, with Twisted's names
and arguments. Of the functions, `unsent_bytes`, `flush` and `release_without_shutdown` use attributes that
Twisted doesn't document.
"""

from __future__ import annotations

import fcntl
import select
import termios
from array import array
from collections.abc import Callable, Iterator
from typing import Any, Protocol, cast

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

CLOSED_DESCRIPTOR = -1  # `fileno` of a transport that is closed
MAX_PENDING_BYTES = 1 << 18  # that are read at once of a connection, whoever takes them


class DelayedCall(Protocol):
    """A call that was scheduled by `Reactor.callLater`."""

    def active(self) -> bool:
        """Whether it is still to be made."""

    def cancel(self) -> None:
        """Cancel it; an error if it isn't active."""


class Connector(Protocol):
    """An outgoing connection: being established, established or closed."""

    transport: Any

    def connect(self) -> None:
        """Connect again after the connection was lost."""

    def stopConnecting(self) -> None:
        """Give up a connection that is being established."""


class Transport(Protocol):
    """A TCP connection."""

    def write(self, data: bytes) -> None:
        """Send data, or keep what the kernel doesn't take now."""

    def loseConnection(self) -> None:
        """Close the connection once everything is sent."""

    def loseWriteConnection(self) -> None:
        """Send a FIN once everything is sent, and go on reading."""

    def abortConnection(self) -> None:
        """Close the connection now, by a reset."""

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket and notify the protocol."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Whether small writes are sent at once."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Go on reading."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Call a producer when data can be sent."""

    def unregisterProducer(self) -> None:
        """Call the producer no more."""

    def fileno(self) -> int:
        """The socket's file descriptor."""


class UnixTransport(Transport, Protocol):
    """A connection of a Unix socket."""

    def sendFileDescriptor(self, fileno: int) -> None:
        """Pass a file descriptor with the data that is sent next."""


class DatagramTransport(Protocol):
    """A UDP socket."""

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""


class Port(Protocol):
    """A listening socket."""

    def getHost(self) -> Any:
        """Its address."""

    def fileno(self) -> int:
        """Its file descriptor."""

    def stopListening(self) -> Any:
        """Close it."""


class Reactor(Protocol):
    """Twisted's default reactor. Delays and time-outs are in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:
        """Schedule a call."""

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:
        """Make a call in the reactor's thread; the one method that other threads may use."""

    def listenTCP(self, port: int, factory: Any, backlog: int = ..., interface: str = ...) -> Port:
        """Accept TCP connections."""

    def listenUDP(self, port: int, protocol: Any, interface: str = ...) -> Port:
        """Receive datagrams."""

    def addSystemEventTrigger(self, phase: str, event: str, call: Callable[[], Any]) -> Any:
        """Have a call made before, during or after a system event, such as the shutdown."""

    def run(self, installSignalHandlers: bool = ...) -> None:
        """Serve until `stop` is called."""

    def stop(self) -> None:
        """End `run`."""


def unsent_bytes(transport: Transport) -> int:
    """How many bytes were written and not yet taken by the kernel."""
    inner = cast(Any, transport)
    return sum(map(len, inner._tempDataBuffer)) + len(inner.dataBuffer) - int(inner.offset)


def unread_bytes(descriptor: int) -> int:
    """How many bytes wait in the kernel to be read; 0 where it can't tell, and for a closed connection."""
    return _queue_length(descriptor, termios.FIONREAD)


def end_is_held(transport: Transport) -> bool:
    """Whether the other side has broken the connection, and bytes that came before are unread."""
    return bool(getattr(transport, "end_is_held", False))


def read_pending(transport: Transport) -> Iterator[bytes]:
    """Read what the kernel holds now, up to `MAX_PENDING_BYTES`; ends are left to the reactor."""
    left = MAX_PENDING_BYTES
    while left > 0:
        try:
            data = cast(Any, transport).socket.recv(left)
        except (AttributeError, OSError):  # the socket is closed, or nothing waits
            return
        if not data:
            return
        left -= len(data)
        yield data


def unread_at_close(transport: Transport) -> int:
    """How many bytes were left unread when this process closed a connection; 0 for one that is open."""
    return getattr(transport, "left_unread", 0)


def unacknowledged_bytes(descriptor: int) -> int:
    """How many bytes the kernel has taken and the other side's has not; 0 as for `unread_bytes`."""
    return _queue_length(descriptor, termios.TIOCOUTQ)


def _queue_length(descriptor: int, request: int) -> int:
    """The length of one of a socket's queues (tcp(7): SIOCINQ and SIOCOUTQ, by their older names)."""
    if descriptor == CLOSED_DESCRIPTOR:  # ioctl raises ValueError, which would break off a close
        return 0
    length = array("i", [0])
    try:
        fcntl.ioctl(descriptor, request, length)
    except OSError:
        return 0
    return max(0, length[0])


def has_unread(transport: Transport | Port) -> bool:
    """Whether something waits to be read: data, the other side's FIN, or a connection to accept."""
    if transport.fileno() == CLOSED_DESCRIPTOR:
        return False
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(transport: Transport) -> bool:
    """Whether the other side has sent a FIN or the connection is over, though data before it is unread."""
    if transport.fileno() == CLOSED_DESCRIPTOR:
        return True
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def flush(transport: Transport) -> None:
    """Write what waits now rather than in the reactor's next turn; a failure shows in that turn.

    After a partial write it writes again, until the kernel takes no more.
    """
    while waiting := unsent_bytes(transport):
        cast(Any, transport).doWrite()
        if unsent_bytes(transport) == waiting:
            return


def finish(transport: Transport) -> None:
    """Close a connection whose sending side is shut: by a reset only where data of it was never sent."""
    if unsent_bytes(transport):
        transport.abortConnection()
    else:
        transport.loseConnection()


def release_without_shutdown(transport: Transport) -> None:
    """Close this process's copy of a socket that another process holds too.

    Twisted shuts a socket down before it closes it, which would end the connection for both processes.
    """
    cast(Any, transport)._shouldShutdown = False
    transport.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
