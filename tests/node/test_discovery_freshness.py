"""The endpoint list is never older than 6 s while discovery is reachable: many clients on a virtual clock."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast

import pytest
from twisted.internet.error import ConnectionDone, ConnectionRefusedError, TCPTimedOutError
from twisted.internet.task import Clock as VirtualClock
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.core import Core, Upstream
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.policy import Policy
from stepflow.upstream import EndpointGroup
from tests.policy.driver import plain_settings

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST = b'{"rev":1,"all":true,"targets":[]}\n'
NODES = 200
MARGIN_S = 0.5


REFUSED, TIMED_OUT = ConnectionRefusedError(), TCPTimedOutError()  # type: ignore[no-untyped-call]


def _failure(fault: Exception) -> Failure:
    return Failure(fault)  # type: ignore[no-untyped-call]


class ServerTransport:
    """The transport of one call, whose other end is the discovery server."""

    def __init__(self, server: DiscoveryServer, protocol: Any) -> None:
        self.server, self.protocol, self.open, self.alive = server, protocol, True, False

    def write(self, data: bytes) -> None:
        if b"\r\n\r\n" in data:
            self.server.request_received(self)

    def loseConnection(self) -> None:
        if self.open:
            self.open = self.alive = False
            self.server.clock.callLater(0, self.protocol.connectionLost, _failure(ConnectionDone()))

    def send(self, data: bytes) -> None:
        if self.open:
            self.protocol.dataReceived(b"%x\r\n%s\r\n" % (len(data), data))


class Connector:
    def __init__(self) -> None:
        self.stopped = False

    def stopConnecting(self) -> None:
        self.stopped = True


class DiscoveryServer:
    """Serves calls one after another while it is up; otherwise it refuses them, hangs or is unreachable."""

    SERVICE_TIME_S, MAX_QUEUE_TIME_S = 0.01, 3.0

    def __init__(self, clock: VirtualClock) -> None:
        self.clock, self.state = clock, "up"
        self.queue: deque[tuple[float, ServerTransport]] = deque()
        self.transports: list[ServerTransport] = []
        self._serve()
        self._send_heartbeats()

    def connect(self, factory: Any, timeout: float) -> Connector:
        connector = Connector()
        if self.state == "refuses":
            self._later(0.001, connector, lambda: self._connect_failed(connector, factory, REFUSED))
        elif self.state == "unreachable":
            self._later(timeout, connector, lambda: self._connect_failed(connector, factory, TIMED_OUT))
        else:
            self._later(0.001, connector, lambda: self._connected(factory))
        return connector

    def _later(self, wait: float, connector: Connector, call: Callable[[], None]) -> None:
        self.clock.callLater(wait, lambda: None if connector.stopped else call())

    def _connect_failed(self, connector: Connector, factory: Any, fault: Exception) -> None:
        factory.clientConnectionFailed(connector, _failure(fault))

    def _connected(self, factory: Any) -> None:
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(ServerTransport(self, protocol))

    def request_received(self, transport: ServerTransport) -> None:
        if self.state == "up":
            self.queue.append((self.clock.seconds(), transport))

    def _serve(self) -> None:
        self.clock.callLater(self.SERVICE_TIME_S, self._serve)
        while self.queue:
            since, transport = self.queue.popleft()
            if not transport.open:
                continue
            if self.clock.seconds() - since > self.MAX_QUEUE_TIME_S:
                transport.protocol.dataReceived(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            transport.alive = True
            self.transports.append(transport)
            transport.protocol.dataReceived(HEAD)
            transport.send(LIST)
            return

    def _send_heartbeats(self) -> None:
        self.clock.callLater(2.0, self._send_heartbeats)
        for transport in self.transports:
            if transport.alive:
                transport.send(b"\n")

    def set_state(self, state: str) -> None:
        """Change the state: "refuses" closes open watches and calls; other outages leave them silent."""
        self.state, transports, self.transports = state, self.transports, []
        calls, self.queue = self.queue, deque()
        if state != "up":
            for transport in (*transports, *(transport for _, transport in calls)):
                transport.alive = False
                if state == "refuses":
                    transport.loseConnection()

    def silence_watches(self) -> None:
        """Send nothing more on the open watches; new calls are still served."""
        for transport in self.transports:
            transport.alive = False

    def reset_watches(self) -> None:
        for transport in self.transports:
            transport.loseConnection()


class VirtualNodeClock(Clock):
    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock

    def now(self) -> timedelta:
        return timedelta(seconds=1000 + self._clock.seconds())


class NodeClients:
    """The discovery clients of many nodes, and for how long each has had no watch while the server was up."""

    def __init__(self, count: int, seed: int, state: str = "up") -> None:
        self.clock = VirtualClock()
        self.server = DiscoveryServer(self.clock)
        self.server.state = state
        self.clients, self.stale_s = [], [0.0] * count
        self.worst_stale_s = 0.0
        time = VirtualNodeClock(self.clock)
        reactor = cast(Reactor, self.clock)  # only its timers are used
        for number in range(count):
            timers = Timers(time, reactor, Counters())
            settings = plain_settings(polls_endpoint_list=True)
            policy = Policy(settings, seed * 1000 + number)
            counters = Counters()
            core = Core(policy, settings, time, timers, counters, 8)
            client = DiscoveryClient(
                self._connect, Address("h", 1), EndpointGroup((), ()), core, timers, counters
            )
            core.start(cast(Upstream, None), client, ())
            self.clients.append(client)

    def _connect(self, address: Address, factory: Any, timeout: float) -> Any:
        return self.server.connect(factory, timeout)

    def run(self, seconds: float) -> None:
        step = 0.05
        for _ in range(round(seconds / step)):
            self.clock.pump([0.01] * 5)
            watched = {id(transport.protocol) for transport in self.server.transports if transport.alive}
            for number, client in enumerate(self.clients):
                reached = self.server.state == "up"
                is_fresh = id(client._watch) in watched
                self.stale_s[number] = 0.0 if is_fresh or not reached else self.stale_s[number] + step
            self.worst_stale_s = max(self.worst_stale_s, *self.stale_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("state", ["refuses", "hangs", "unreachable"])
def test_the_list_is_fresh_within_6_s_after_an_outage_ends(state: str, seed: int) -> None:
    """With delays of up to 0.75 of the settings' time, after calls of 4 s, it took 6 s to over 9 s."""
    nodes = NodeClients(NODES, seed)
    nodes.run(6)
    nodes.server.set_state(state)
    nodes.run(14 + random.Random(seed).random())
    nodes.server.set_state("up")
    nodes.run(9)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S


@pytest.mark.parametrize("state", ["refuses", "hangs", "unreachable"])
def test_the_list_is_fresh_within_6_s_for_nodes_that_start_during_an_outage(state: str) -> None:
    nodes = NodeClients(NODES, 4, state)
    nodes.run(2.2)
    nodes.server.set_state("up")
    nodes.run(9)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S


@pytest.mark.parametrize("fault", ["silence_watches", "reset_watches"])
def test_watches_that_all_end_at_once_are_reopened_within_6_s(fault: str) -> None:
    nodes = NodeClients(NODES, 5)
    nodes.run(6.7)
    getattr(nodes.server, fault)()
    nodes.run(9)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S


def test_the_list_is_fresh_within_2_s_after_a_change_of_address_in_an_outage() -> None:
    nodes = NodeClients(20, 6, "refuses")
    nodes.run(20)
    nodes.server.set_state("up")
    for client in nodes.clients:
        client.change_address(Address("h", 2))
    nodes.run(2)
    assert 0 < nodes.worst_stale_s < 2


@pytest.mark.parametrize("seed", range(6))
def test_the_list_is_fresh_within_6_s_after_outages_of_any_kind_in_any_order(seed: int) -> None:
    """Outages of all kinds and of random lengths, and watches that fall silent or are reset in between."""
    rng = random.Random(seed)
    nodes = NodeClients(40, seed)
    for _ in range(8):
        nodes.run(rng.uniform(0.2, 9))
        fault = rng.choice(["refuses", "hangs", "unreachable", "silence_watches", "reset_watches"])
        if fault in ("silence_watches", "reset_watches"):
            getattr(nodes.server, fault)()
        else:
            nodes.server.set_state(fault)
            nodes.run(rng.uniform(0.2, 12))
            nodes.server.set_state("up")
    nodes.run(8)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S
