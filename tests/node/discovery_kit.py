"""A discovery server on a virtual clock, for many clients in one process, and one node's client of it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, cast

from twisted.internet.error import ConnectionDone, ConnectionRefusedError, TCPTimedOutError
from twisted.internet.task import Clock as VirtualClock
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import SafetyRules
from stepflow.node.core import Core, Upstream
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.policy import Policy
from stepflow.upstream import EndpointGroup
from tests.node.runtime.virtual_clock import ManualClock
from tests.policy.driver import plain_settings

STEP_S = 0.005
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
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
        self.revision = 1
        self.calls = 0
        self.queue: deque[tuple[float, ServerTransport]] = deque()
        self.transports: list[ServerTransport] = []
        self.unanswered: list[ServerTransport] = []  # calls that came while the state was "hangs"
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

    def whole_list(self) -> bytes:
        """Return the first message of each answer."""
        return b'{"rev":%d,"all":true,"targets":[]}\n' % self.revision

    def _later(self, wait: float, connector: Connector, call: Callable[[], None]) -> None:
        self.clock.callLater(wait, lambda: None if connector.stopped else call())

    def _connect_failed(self, connector: Connector, factory: Any, fault: Exception) -> None:
        factory.clientConnectionFailed(connector, _failure(fault))

    def _connected(self, factory: Any) -> None:
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(ServerTransport(self, protocol))

    def request_received(self, transport: ServerTransport) -> None:
        self.calls += 1
        if self.state == "up":
            self.queue.append((self.clock.seconds(), transport))
        else:
            self.unanswered.append(transport)

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
            transport.send(self.whole_list())
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


class NodeClient:
    """One node's client of discovery.

    `polls`: The policy asks for the list; otherwise an agent pushes it.
    """

    def __init__(self, server: DiscoveryServer, rules: SafetyRules, polls: bool, seed: int = 1) -> None:
        self.clock, self.server = server.clock, server
        time = ManualClock(self.clock)
        counters = Counters()
        timers = Timers(time, cast(Reactor, self.clock), counters)  # only its timers are used
        settings = plain_settings(rules=rules, polls_endpoint_list=polls)
        core = Core(Policy(settings, seed), settings, time, timers, counters, 8)
        self.group = EndpointGroup((), ())
        self.client = DiscoveryClient(self._connect, Address("h", 1), self.group, core, timers, counters)
        self.client.update_rules(rules)
        core.start(cast(Upstream, None), self.client, ())
        if not polls:
            self.client.start_agent_watch(lambda: None)

    def _connect(self, address: Address, factory: Any, timeout: float) -> Any:
        return self.server.connect(factory, timeout)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def seconds_until_heard(self, limit_s: float = 10.0) -> float:
        """Run until the node has the server's list; return the seconds that this took."""
        began_at = self.clock.seconds()
        while self.group.revision != self.server.revision:
            self.clock.advance(STEP_S)
            assert self.clock.seconds() - began_at < limit_s
        return self.clock.seconds() - began_at
