"""The listening socket: keeps accepting clients after errors of accept(2), and closes without resets.

The port owns the listening socket, which two processes may share during a hand-over. An error of accept(2)
that concerns a single connection is ignored; any other error, except EAGAIN and EINTR, is counted as
`accept_failures`, and accepting resumes after `ACCEPT_RETRY_DELAY`. An exception while a client's protocol is
created is logged and counted as a fault, and ends only that client's connection. `listen` raises OSError if
the address can't be bound.

Source for the treatment of clients in the kernel's accept queue when the socket closes: docs/endings.md.
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
from stepflow.node.clients.refusal import refuse
from stepflow.node.runtime.connection import AcceptedTransport
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Reactor, has_unread
from stepflow.node.runtime.turn_budget import TurnBudget
from stepflow.os_errors import ACCEPT_RETRY_DELAY, SINGLE_CONNECTION_ERRORS

log = get_logger()

BACKLOG = 4096  # connections; all clients of a failed node reconnect at once
MAX_ACCEPTS_PER_TURN = 200  # clients accepted in one turn of the reactor, if its time allows for them


class ClientProtocolFactory(Protocol):
    """Creates the protocols of accepted connections."""

    def buildProtocol(self, addr: Any) -> Any:
        """Return the protocol of an accepted connection, or None to refuse the connection."""

    def connection_refused(self, received: bytes) -> None:
        """Handle a connection that was answered BUSY; `received` is what its client had sent."""


class ClientListener(Protocol):
    """The listening socket's interface to the rest of the node."""

    def getHost(self) -> Any:
        """Return Twisted's address of the socket, which has a `port`."""

    def fileno(self) -> int:
        """Return the socket's file descriptor."""

    def stop_accepting(self) -> None:
        """Stop accepting clients, but keep the socket open."""

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Accept all clients in the kernel's accept queue, close the socket, then call `on_closed`.

        A long queue takes several turns of the reactor.
        """

    def close_now(self) -> None:
        """Close the socket in this turn of the reactor."""


class ClientPort(tcp.Port):
    """A Twisted port with a different accept loop.

    Twisted's loop closes clients without an answer when descriptors run out, and retries without a delay when
    memory runs out.
    """

    counters: Counters  # set by `listen`, since Twisted creates the port
    is_accepting = True  # False once stopped or closed; another process may still accept clients
    _is_paused = False
    _on_drained: Callable[[], None] | None = None  # set once the socket is to be closed after its queue

    def doRead(self) -> None:
        """Accept waiting clients; the reactor calls this when the socket is readable."""
        self._accept_clients()
        if self._on_drained is not None:
            self._close_if_drained()

    def _accept_clients(self) -> None:
        """Accept waiting clients, within the budget of one turn."""
        budget = TurnBudget()
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
                # The reactor would close the listener on an exception.
                self.counters.faults += 1
                log.exception("accepting a client failed")
            if budget.is_spent:
                return

    def _serve(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        """Connect an accepted socket to a protocol of the factory; refuse it if the factory returns None."""
        factory = cast(ClientProtocolFactory, self.factory)
        protocol = factory.buildProtocol(self._buildAddr(address[:2]))
        if protocol is None:
            factory.connection_refused(refuse(accepted))
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
        if self._on_drained is not None:
            self._close_if_drained()
        elif self.connected and not self.disconnecting and self.is_accepting:
            self.startReading()

    def stop_accepting(self) -> None:
        """Stop accepting, so that waiting clients go to another process that holds the socket."""
        self.is_accepting = False
        self.stopReading()

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Accept all clients in the kernel's accept queue, close the socket, then call `on_closed`.

        The kernel resets connections that are still in the queue when the socket closes. A long queue takes
        several turns, in which other connections are served too. While accept(2) fails because of a shortage,
        it is retried every `ACCEPT_RETRY_DELAY`, which delays `on_closed`.
        """
        self._on_drained = on_closed
        self._close_if_drained()

    def _close_if_drained(self) -> None:
        """Close the socket if no client waits in its queue; else keep accepting."""
        on_drained = self._on_drained
        if self.connected and has_unread(self):
            if not self._is_paused:
                self.startReading()
        elif on_drained is not None:
            self._on_drained = None
            self.close_now()
            on_drained()

    def close_now(self) -> None:
        """Close in this turn of the reactor; clients that connected after the last accept are reset."""
        if self.connected:
            self.is_accepting = False
            self.stopReading()
            self.connectionLost(Failure(ConnectionDone()))


def listen(
    reactor: Reactor, address: Address, factory: Factory, counters: Counters, inherited: int | None = None
) -> ClientListener:
    """Start accepting clients at the address, on the listening socket `inherited` if there is one.

    `inherited` is a descriptor passed by the predecessor; it is closed after it has been duplicated.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = _bind(address, family) if inherited is None else socket.socket(fileno=os.dup(inherited))
    with bound:
        bound.setblocking(False)
        # Twisted shuts down a listening socket of its own before closing it, which would also stop another
        # process that shares the socket. An adopted socket is only closed.
        port = ClientPort._fromListeningDescriptor(reactor, bound.fileno(), family, factory)
    port.counters = counters
    port.startListening()
    if inherited is not None:
        os.close(inherited)
    return cast(ClientListener, port)


def _bind(address: Address, family: int) -> socket.socket:
    """Return a new socket that listens at the address."""
    sock = socket.socket(family)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A successor that was passed no socket binds the same address while this process still listens.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address.host, address.port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
