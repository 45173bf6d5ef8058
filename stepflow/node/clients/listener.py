"""The listening socket: accepts clients whatever accept(2) fails with, and closes without resetting any.

It owns the listening socket, which two processes may hold during a hand-over. A failure of accept(2) that
concerns one connection is passed over; any other is counted as `accept_failures`, and accepting goes on after
`ACCEPT_RETRY_DELAY`. An exception while a client's protocol is made is logged and counted as a fault, and
costs this client alone. `listen` raises OSError where the address can't be bound.

docs/endings.md lists what is owed to clients that wait in the kernel's queue when the socket closes.
"""

# Twisted's ports have no type annotations.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet import tcp
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.logs import get_logger
from stepflow.node.runtime.connection import AcceptedTransport
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Reactor, has_unread
from stepflow.os_errors import ACCEPT_RETRY_DELAY, SINGLE_CONNECTION_ERRORS

log = get_logger()

BACKLOG = 4096  # connections; all clients of a node that died come at once
MAX_ACCEPTS_PER_TURN = 200  # of the reactor, which has other sockets to serve too


class ClientListener(Protocol):
    """A listening socket, as the rest of the node sees it."""

    def getHost(self) -> Any:
        """Twisted's address of the socket, with its `port`."""

    def fileno(self) -> int:
        """Its descriptor."""

    def stop_accepting(self) -> None:
        """Accept no more, but keep the socket open."""

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Accept all clients that wait in the kernel's queue, close the socket, then call `on_closed`."""

    def close_now(self) -> None:
        """Close the socket in this turn of the reactor."""


class ClientPort(tcp.Port):
    """Twisted's port with an accept loop of its own.

    Twisted's loop closes clients without an answer when descriptors run out, and retries without a delay when
    memory does.
    """

    counters: Counters  # set by `listen`, since Twisted makes the port
    is_accepting = True  # False once this process has stopped accepting: another may hold the socket too
    _is_paused = False

    def doRead(self) -> None:
        """Accept the clients that wait; the reactor calls this when the socket is readable."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, address = self.socket.accept()
            except OSError as error:
                if error.errno in SINGLE_CONNECTION_ERRORS:
                    continue
                if error.errno not in (errno.EAGAIN, errno.EINTR):
                    self.counters.accept_failures += 1
                    self._pause()
                return
            try:
                self._serve(accepted, address)
            except Exception:
                # The reactor would close the listener for an exception that reaches it.
                self.counters.faults += 1
                log.exception("a client could not be taken")

    def _serve(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        """Connect an accepted socket to a protocol of the factory; close it where the factory makes none."""
        protocol: Any = cast(Factory, self.factory).buildProtocol(self._buildAddr(address[:2]))
        if protocol is None:
            accepted.close()
            return
        self.sessionno += 1
        transport = AcceptedTransport(accepted, protocol, address, self, self.sessionno, self.reactor)
        protocol.makeConnection(transport)

    def _pause(self) -> None:
        """Stop accepting for `ACCEPT_RETRY_DELAY`."""
        if not self._is_paused:
            self._is_paused = True
            self.stopReading()
            self.reactor.callLater(ACCEPT_RETRY_DELAY.total_seconds(), self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        if self.connected and not self.disconnecting and self.is_accepting:
            self.startReading()

    def stop_accepting(self) -> None:
        """Accept no more: the clients that wait go to another process that holds the socket."""
        self.is_accepting = False
        self.stopReading()

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Accept all clients that wait in the kernel's queue, close the socket, then call `on_closed`.

        The kernel resets connections that are in the queue at the close. While a shortage keeps accept(2)
        from succeeding, this is tried again every `ACCEPT_RETRY_DELAY`, and `on_closed` waits.
        """
        while self.connected and has_unread(self):
            accepted_before = self.sessionno
            self.doRead()
            if self.sessionno == accepted_before and self._is_paused:
                self.reactor.callLater(ACCEPT_RETRY_DELAY.total_seconds(), self.close_gracefully, on_closed)
                return
        self.close_now()
        on_closed()

    def close_now(self) -> None:
        """Close in this turn of the reactor: clients that come after the last accept are reset."""
        if self.connected:
            self.is_accepting = False
            self.stopReading()
            self.connectionLost(Failure(ConnectionDone()))


def listen(
    reactor: Reactor, address: Address, factory: Factory, counters: Counters, inherited: int | None = None
) -> ClientListener:
    """Accept clients at the address, from the listening socket `inherited` if there is one.

    `inherited` is a descriptor that the process before has passed; it is closed here once it is duplicated.

    Raises:
        OSError: the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = _bind(address, family) if inherited is None else socket.socket(fileno=os.dup(inherited))
    with bound:
        bound.setblocking(False)
        # Twisted shuts down a socket that it has made itself when it closes it, and that would end the
        # listening of another process that holds it too. One that it adopts it only closes.
        port = ClientPort._fromListeningDescriptor(reactor, bound.fileno(), family, factory)
    port.counters = counters
    port.startListening()
    if inherited is not None:
        os.close(inherited)
    return cast(ClientListener, port)


def _bind(address: Address, family: int) -> socket.socket:
    """A new socket that listens at the address."""
    sock = socket.socket(family)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A next process that got no socket handed over binds the same address while this one still listens.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address.host, address.port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
