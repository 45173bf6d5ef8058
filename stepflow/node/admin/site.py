"""The operators' address: whether the node can serve, and its figures, over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import cast

import h11
from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Port, Reactor, Transport

CALLS_KEPT = 12  # descriptors for calls; clients never get them, and calls no others
CALL = timedelta(seconds=2)  # from a caller's first moment to the end of its call, however it drips
BACKLOG = 256

Answer = tuple[int, bytes]  # a status and a body


class _Call(Protocol):
    """One caller's connection, for one call; h11 holds it to the form of HTTP/1.1 (RFC 9112)."""

    def __init__(self, site: OpsSite) -> None:
        self._site = site
        self._http = h11.Connection(our_role=h11.SERVER)

    @property
    def _wire(self) -> Transport:
        return cast(Transport, self.transport)

    def connectionMade(self) -> None:
        self._deadline: Timer = self._site.deadlines.after(CALL, self.end)
        self._site.calls[self] = None

    def dataReceived(self, data: bytes) -> None:
        if self._http.our_state is not h11.IDLE:
            return  # it has its answer
        self._http.receive_data(data)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as fault:
            self._say(b"GET", fault.error_status_hint, b"")
            return
        if isinstance(event, h11.Request):
            self._say(event.method, *self._site.answer(event.method, event.target))

    def _say(self, method: bytes, status: int, body: bytes) -> None:
        """Answer and close: whoever has more to ask calls again."""
        headers = [
            ("content-type", "text/plain; charset=utf-8"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if status == 405:
            headers.append(("allow", "GET, HEAD"))
        events: list[h11.Event] = [h11.Response(status_code=status, headers=headers)]
        events += [h11.Data(data=body)] if body and method != b"HEAD" else []
        for event in (*events, h11.EndOfMessage()):
            self._wire.write(self._http.send(event) or b"")
        self._wire.loseConnection()

    def end(self) -> None:
        """Close at once: in the reactor's next turn, the turn's other callers would have no descriptor."""
        self._wire.abortConnection()
        self._wire.connectionLost(Failure(ConnectionAborted()))  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._deadline.cancel()
        self._site.calls.pop(self, None)


class OpsSite(Factory):
    """The two calls; no more than so many callers, the oldest of them making room."""

    noisy = False

    def __init__(self, deadlines: Timers, ready: Callable[[], bool], figures: Callable[[], bytes]) -> None:
        self.deadlines, self._ready = deadlines, ready
        self.calls: dict[_Call, None] = {}  # the oldest first
        self._paths: dict[bytes, Callable[[], Answer]] = {
            b"/v1/readyz": self._readyz,
            b"/v1/metrics": lambda: (200, figures()),
        }

    def buildProtocol(self, addr: object) -> _Call:
        # A whole call is answered in the turn that reads it, so whoever is still here has said nothing whole.
        if len(self.calls) >= CALLS_KEPT:
            next(iter(self.calls)).end()
        return _Call(self)

    def answer(self, method: bytes, target: bytes) -> Answer:
        """What a call is answered: figures are asked for without words after the path, or with any."""
        path = self._paths.get(target.partition(b"?")[0])
        if path is None:
            return 404, b"no such path\n"
        return path() if method in (b"GET", b"HEAD") else (405, b"ask with GET\n")

    def _readyz(self) -> Answer:
        return (200, b"ready\n") if self._ready() else (503, b"not ready\n")


def listen(reactor: Reactor, address: Address, site: OpsSite) -> Port:
    """Open the address; the port lasts until the process exits."""
    return reactor.listenTCP(address.port, site, backlog=BACKLOG, interface=address.host)
