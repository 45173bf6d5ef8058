"""The listening socket by itself: a failure with one client concerns no other."""

from __future__ import annotations

import socket
from typing import cast

from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock

from stepflow.address import Address
from stepflow.node.clients.listener import ClientPort, listen
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Reactor


class FailingOnce(Factory):
    """Raises for its first client."""

    def __init__(self) -> None:
        self.made: list[Protocol] = []
        self.calls = 0

    def buildProtocol(self, addr: object) -> Protocol:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("no room for this one")
        self.made.append(Protocol())
        return self.made[-1]


def test_failure_with_one_client_leaves_the_listener_and_the_next_client_alone() -> None:
    """The reactor would close the listener for an exception from its `doRead`."""
    factory, counters = FailingOnce(), Counters()
    reactor = cast(Reactor, MemoryReactorClock())  # type: ignore[no-untyped-call]
    port = cast(ClientPort, listen(reactor, Address("127.0.0.1", 0), factory, counters))
    clients = [socket.create_connection(port.socket.getsockname()) for _ in range(2)]
    port.doRead()
    assert len(factory.made) == 1 and counters.faults == 1 and port.connected
    ended: list[bool] = []
    port.close_gracefully(lambda: ended.append(True))
    assert ended and not port.connected
    for client in clients:
        client.close()
