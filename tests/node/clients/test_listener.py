"""The listening socket alone: what it does for one client delays or ends no other connection."""

from __future__ import annotations

import socket
from itertools import pairwise
from typing import cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.tcp import Connection
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.clients.listener import MAX_ACCEPTS_PER_TURN, ClientPort, listen
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Reactor


class FailsOnceFactory(Factory):
    """A factory that raises an exception for its first client."""

    def __init__(self) -> None:
        self.protocols: list[Protocol] = []
        self.calls = 0

    def buildProtocol(self, addr: object) -> Protocol:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("failure for the first client")
        self.protocols.append(Protocol())
        return self.protocols[-1]


def test_exception_for_one_client_affects_neither_the_listener_nor_the_next_client() -> None:
    """The reactor would close the listener if its `doRead` raised an exception."""
    factory, counters = FailsOnceFactory(), Counters()
    reactor = cast(Reactor, MemoryReactorClock())  # type: ignore[no-untyped-call]
    port = cast(ClientPort, listen(reactor, Address("127.0.0.1", 0), factory, counters))
    clients = [socket.create_connection(port.socket.getsockname()) for _ in range(2)]
    port.doRead()
    assert len(factory.protocols) == 1 and counters.faults == 1 and port.connected
    closed: list[bool] = []
    port.close_gracefully(lambda: closed.append(True))
    assert closed and not port.connected
    for client in clients:
        client.close()


class CountingFactory(Factory):
    """A factory that counts the clients it was asked to serve."""

    def __init__(self) -> None:
        self.protocols: list[Protocol] = []

    @property
    def clients(self) -> int:
        return len(self.protocols)

    def buildProtocol(self, addr: object) -> Protocol:
        self.protocols.append(Protocol())
        return self.protocols[-1]

    def close_all(self) -> None:
        """Close the accepted connections."""
        reason = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
        for protocol in self.protocols:
            cast(Connection, protocol.transport).connectionLost(reason)


def test_a_long_queue_is_accepted_over_several_turns_before_the_listener_closes() -> None:
    """Guards against a shutdown that serves nothing else until the whole queue of a crowd is accepted."""
    factory, closed = CountingFactory(), list[bool]()
    reactor = cast(Reactor, MemoryReactorClock())  # type: ignore[no-untyped-call]
    port = cast(ClientPort, listen(reactor, Address("127.0.0.1", 0), factory, Counters()))
    count = 2 * MAX_ACCEPTS_PER_TURN + 1
    clients = [socket.create_connection(port.socket.getsockname()) for _ in range(count)]
    port.close_gracefully(lambda: closed.append(True))
    accepted = [factory.clients]
    while not closed:
        port.doRead()  # one turn of the reactor
        accepted.append(factory.clients)
    turns = [later - earlier for earlier, later in pairwise(accepted)]
    assert accepted[-1] == count and not port.connected
    assert max(accepted[0], *turns) <= MAX_ACCEPTS_PER_TURN
    factory.close_all()
    for client in clients:
        client.close()
