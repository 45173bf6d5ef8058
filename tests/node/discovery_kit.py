"""A discovery server on a virtual clock, for many clients in one process."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError, TCPTimedOutError
from twisted.internet.task import Clock as VirtualClock
from twisted.python.failure import Failure

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST = b'{"rev":1,"all":true,"targets":[]}\n'
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
        self.list = LIST  # the first message of each answer
        self.calls = 0
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
        self.calls += 1
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
            transport.send(self.list)
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
