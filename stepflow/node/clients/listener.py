"""The listening socket: accepts clients whatever accept(2) fails with, and ends without resetting any."""

# Twisted's ports have no types.
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
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Reactor, has_unread
from stepflow.os_errors import ACCEPT_RETRY_DELAY, SINGLE_CONNECTION_ERRORS

log = get_logger()

BACKLOG = 4096  # all clients of a node that died come at once
MOST_AT_ONCE = 200  # accepted in one turn of the reactor


class ClientListener(Protocol):
    """A listening socket, as the node sees it."""

    def getHost(self) -> Any: ...
    def fileno(self) -> int: ...
    def stop_hearing(self) -> None: ...
    def end(self, ended: Callable[[], None]) -> None: ...
    def close_now(self) -> None: ...


class ClientPort(tcp.Port):
    """Twisted's port, but for its accepting.

    Twisted's own closes clients unheard where descriptors run out, and asks without a pause where memory
    does.
    """

    counters: Counters
    heard = True  # whether this process accepts at all: another may hold the socket too
    _pausing = False

    def doRead(self) -> None:
        """Accept what waits; the reactor's call."""
        for _ in range(MOST_AT_ONCE):
            try:
                accepted, address = self.socket.accept()
            except OSError as fault:
                if fault.errno in SINGLE_CONNECTION_ERRORS:
                    continue
                if fault.errno not in (errno.EAGAIN, errno.EINTR):
                    self.counters.accept_failures += 1
                    self._pause()
                return
            try:
                self._serve(accepted, address)
            except Exception:
                # One client's trouble must not reach the reactor, which would close the listener for it.
                self.counters.faults += 1
                log.exception("a client could not be taken")

    def _serve(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        """Make the connection's protocol and transport."""
        protocol: Any = cast(Factory, self.factory).buildProtocol(self._buildAddr(address[:2]))
        if protocol is None:
            accepted.close()
            return
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        protocol.makeConnection(transport)

    def _pause(self) -> None:
        if not self._pausing:
            self._pausing = True
            self.stopReading()
            self.reactor.callLater(ACCEPT_RETRY_DELAY.total_seconds(), self._go_on)

    def _go_on(self) -> None:
        self._pausing = False
        if self.connected and not self.disconnecting and self.heard:
            self.startReading()

    def stop_hearing(self) -> None:
        """Leave what waits to another process that holds the socket."""
        self.heard = False
        self.stopReading()

    def end(self, ended: Callable[[], None]) -> None:
        """Accept all that the kernel holds, then close: closed with it, it would be reset, requests and all.

        `ended` follows; where a shortage keeps some waiting, that takes until it is over.
        """
        while self.connected and has_unread(self):
            before = self.sessionno
            self.doRead()
            if self.sessionno == before and self._pausing:
                self.reactor.callLater(ACCEPT_RETRY_DELAY.total_seconds(), self.end, ended)
                return
        self.close_now()
        ended()

    def close_now(self) -> None:
        """Close in this turn: what comes between the last accept and the close is reset."""
        if self.connected:
            self.heard = False
            self.stopReading()
            self.connectionLost(Failure(ConnectionDone()))


def listen(
    reactor: Reactor, address: Address, factory: Factory, counters: Counters, passed: int | None = None
) -> ClientListener:
    """Accept clients from a listening socket that was passed, else from a new one; an OSError says why not.

    Two processes may hold the socket, and Twisted shuts down what it closes unless it was adopted: that
    would end it for both.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    with _bound(address, family) if passed is None else socket.socket(fileno=os.dup(passed)) as sock:
        sock.setblocking(False)
        port = ClientPort._fromListeningDescriptor(reactor, sock.fileno(), family, factory)
    port.counters = counters
    port.startListening()
    if passed is not None:
        os.close(passed)
    return cast(ClientListener, port)


def _bound(address: Address, family: int) -> socket.socket:
    """A new socket that listens at the address."""
    sock = socket.socket(family)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address.host, address.port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
