"""The listening socket alone: an exception for one client affects no other client."""

from __future__ import annotations

import socket
from typing import cast

from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock

from stepflow.address import Address
from stepflow.node.clients.listener import ClientPort, listen
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
