"""Types for the parts of Twisted that the node uses, and functions that its transports lack.

Twisted's classes are not typed; the protocols here declare the methods that the node calls, with Twisted's
names and arguments. The functions `unsent_bytes`, `flush` and `release_without_shutdown` use attributes that
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

CLOSED_DESCRIPTOR = -1  # `fileno()` of a closed transport
MAX_PENDING_BYTES = 1 << 18  # the bytes that `read_pending` reads, unless its caller names a limit


class DelayedCall(Protocol):
    """A call scheduled by `Reactor.callLater`."""

    def active(self) -> bool:
        """Whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call; raises an error if it isn't active."""


class Connector(Protocol):
    """An outgoing connection: being established, established or closed."""

    transport: Any

    def connect(self) -> None:
        """Connect again after the connection was lost."""

    def stopConnecting(self) -> None:
        """Cancel a connection that is being established."""


class Transport(Protocol):
    """A TCP connection."""

    def write(self, data: bytes) -> None:
        """Send data; what the kernel doesn't accept now is buffered."""

    def loseConnection(self) -> None:
        """Close the connection once everything is sent."""

    def loseWriteConnection(self) -> None:
        """Send a FIN once everything is sent, and keep reading."""

    def abortConnection(self) -> None:
        """Reset the connection now."""

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket and notify the protocol."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Set whether small writes are sent at once."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Register a producer, which is paused and resumed with the write buffer."""

    def unregisterProducer(self) -> None:
        """Unregister the producer."""

    def fileno(self) -> int:
        """The socket's file descriptor."""


class UnixTransport(Transport, Protocol):
    """A Unix socket connection."""

    def sendFileDescriptor(self, fileno: int) -> None:
        """Pass a file descriptor with the data that is sent next."""


class DatagramTransport(Protocol):
    """A UDP socket."""

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""


class Port(Protocol):
    """A listening socket."""

    def getHost(self) -> Any:
        """The address of the socket."""

    def fileno(self) -> int:
        """The file descriptor of the socket."""

    def stopListening(self) -> Any:
        """Close the socket."""


class Reactor(Protocol):
    """Twisted's reactor. Delays and timeouts are in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:
        """Schedule a call."""

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:
        """Make a call in the reactor's thread; the only method that other threads may use."""

    def listenTCP(self, port: int, factory: Any, backlog: int = ..., interface: str = ...) -> Port:
        """Accept TCP connections."""

    def listenUDP(self, port: int, protocol: Any, interface: str = ...) -> Port:
        """Receive datagrams."""

    def addSystemEventTrigger(self, phase: str, event: str, call: Callable[[], Any]) -> Any:
        """Schedule a call before, during or after a system event, such as the shutdown."""

    def run(self, installSignalHandlers: bool = ...) -> None:
        """Run until `stop` is called."""

    def stop(self) -> None:
        """End `run`."""


def unsent_bytes(transport: Transport) -> int:
    """The number of bytes written but not yet accepted by the kernel."""
    inner = cast(Any, transport)
    return sum(map(len, inner._tempDataBuffer)) + len(inner.dataBuffer) - int(inner.offset)


def unread_bytes(descriptor: int) -> int:
    """The number of bytes in the kernel's receive queue; 0 if unknown, and for a closed connection."""
    return _queue_length(descriptor, termios.FIONREAD)


def end_is_held(transport: Transport) -> bool:
    """Whether the connection is broken, but data received before that is still unread."""
    return bool(getattr(transport, "end_is_held", False))


def read_pending(transport: Transport, max_bytes: int = MAX_PENDING_BYTES) -> Iterator[bytes]:
    """Read what the kernel holds now, up to `max_bytes`; the reactor handles ends and errors.

    Less is read where the connections hold much unsent data.
    """
    remaining = max_bytes
    while remaining > 0:
        try:
            data = cast(Any, transport).socket.recv(min(remaining, cast(Any, transport).bufferSize))
        except (AttributeError, OSError):  # the socket is closed, or there is no data
            return
        if not data:
            return
        remaining -= len(data)
        yield data


def unread_at_close(transport: Transport) -> int:
    """The number of bytes left unread when a connection was closed; 0 while it is open."""
    return getattr(transport, "left_unread", 0)


def unacknowledged_bytes(descriptor: int) -> int:
    """The number of sent bytes that the other host has not acknowledged; 0 if unknown or closed."""
    return _queue_length(descriptor, termios.TIOCOUTQ)


def _queue_length(descriptor: int, request: int) -> int:
    """The length of a socket's queue; `request` is SIOCINQ or SIOCOUTQ of tcp(7), by its older name."""
    if descriptor == CLOSED_DESCRIPTOR:  # ioctl raises ValueError for it, which would interrupt a close
        return 0
    length = array("i", [0])
    try:
        fcntl.ioctl(descriptor, request, length)
    except OSError:
        return 0
    return max(0, length[0])


def has_unread(transport: Transport | Port) -> bool:
    """Whether data, the other side's FIN or a connection to accept is pending."""
    if transport.fileno() == CLOSED_DESCRIPTOR:
        return False
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(transport: Transport) -> bool:
    """Whether a FIN was received or the connection is closed, even if data before that is unread."""
    if transport.fileno() == CLOSED_DESCRIPTOR:
        return True
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def flush(transport: Transport) -> None:
    """Write buffered data now instead of in the reactor's next turn; an error is handled in that turn.

    Partial writes are repeated until the kernel accepts no more data.
    """
    while unsent := unsent_bytes(transport):
        cast(Any, transport).doWrite()
        if unsent_bytes(transport) == unsent:
            return


def close_or_reset(transport: Transport) -> None:
    """Close a connection for which nothing more is written; reset it only if some data is unsent."""
    if unsent_bytes(transport):
        transport.abortConnection()
    else:
        transport.loseConnection()


def release_without_shutdown(transport: Transport) -> None:
    """Close this process's copy of a socket that another process also holds.

    Twisted calls shutdown(2) before close(2), which would end the connection for both processes.
    """
    cast(Any, transport)._shouldShutdown = False
    transport.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
