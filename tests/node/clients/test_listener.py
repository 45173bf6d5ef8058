"""The listening socket alone: what goes wrong with one client concerns no other."""

from __future__ import annotations

import socket
from typing import cast

from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock

from stepflow.address import Address
from stepflow.node.clients.listener import ClientPort, listen
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Reactor


class Moody(Factory):
    """Fails at its first client."""

    def __init__(self) -> None:
        self.taken: list[Protocol] = []
        self.asked = 0

    def buildProtocol(self, addr: object) -> Protocol:
        self.asked += 1
        if self.asked == 1:
            raise RuntimeError("no room for this one")
        self.taken.append(Protocol())
        return self.taken[-1]


def test_a_client_that_cannot_be_taken_leaves_the_listener_and_the_next_one_alone() -> None:
    """The reactor closes whatever raises when it is read."""
    factory, counters = Moody(), Counters()
    reactor = cast(Reactor, MemoryReactorClock())  # type: ignore[no-untyped-call]
    port = cast(ClientPort, listen(reactor, Address("127.0.0.1", 0), factory, counters))
    clients = [socket.create_connection(port.socket.getsockname()) for _ in range(2)]
    port.doRead()
    assert len(factory.taken) == 1 and counters.faults == 1 and port.connected
    ended: list[bool] = []
    port.close_gracefully(lambda: ended.append(True))
    assert ended and not port.connected
    for client in clients:
        client.close()
