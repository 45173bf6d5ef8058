"""The operators' HTTP address: whether the node can serve, and its metrics.

Responsible for answering `/v1/readyz` and `/v1/metrics`, one call a connection (h11 holds it to HTTP/1.1, RFC
9112), and for bounding the callers and their time. Owns the callers' connections. Spans are timedeltas.
Errors: what is no call gets the status that h11 hints at; another path gets 404, another method 405.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, cast

import h11
from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Port, Reactor, Transport

MAX_CALLS = 12  # at a time; as many descriptors are reserved for them
CALL_TIMEOUT = timedelta(seconds=2)  # from the connection to the call's end, however slowly its bytes come
BACKLOG = 256

OK, NOT_FOUND, METHOD_NOT_ALLOWED, UNAVAILABLE = 200, 404, 405, 503  # http.HTTPStatus is not loaded for these
METHODS = (b"GET", b"HEAD")


class Answer(NamedTuple):
    """What a call is answered."""

    status: int
    body: bytes


class _Call(Protocol):
    """One caller's connection, for one call."""

    def __init__(self, site: AdminSite) -> None:
        self._site = site
        self._http = h11.Connection(our_role=h11.SERVER)

    @property
    def _wire(self) -> Transport:
        return cast(Transport, self.transport)

    def connectionMade(self) -> None:
        """Take the place of a caller, for a while."""
        self._timeout: Timer = self._site.timers.after(CALL_TIMEOUT, self.abort)
        self._site.calls[self] = None

    def dataReceived(self, data: bytes) -> None:
        """Answer once the request is whole."""
        if self._http.our_state is not h11.IDLE:
            return  # it has its answer
        self._http.receive_data(data)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._send(b"GET", Answer(error.error_status_hint, b""))
            return
        if isinstance(event, h11.Request):
            self._send(event.method, self._site.answer(event.method, event.target))

    def _send(self, method: bytes, answer: Answer) -> None:
        """Answer and close: whoever has more to ask calls again."""
        status, body = answer
        headers = [
            ("content-type", "text/plain; charset=utf-8"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if status == METHOD_NOT_ALLOWED:
            headers.append(("allow", "GET, HEAD"))
        events: list[h11.Event] = [h11.Response(status_code=status, headers=headers)]
        events += [h11.Data(data=body)] if body and method != b"HEAD" else []
        for event in (*events, h11.EndOfMessage()):
            self._wire.write(self._http.send(event) or b"")
        self._wire.loseConnection()

    def abort(self) -> None:
        """Close at once: in the reactor's next turn, the turn's other callers would have no descriptor."""
        self._wire.abortConnection()
        self._wire.connectionLost(Failure(ConnectionAborted()))  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Give the place back."""
        self._timeout.cancel()
        self._site.calls.pop(self, None)


class AdminSite(Factory):
    """The two calls; no more than MAX_CALLS callers at a time, the oldest of them making room."""

    noisy = False

    def __init__(self, timers: Timers, can_serve: Callable[[], bool], metrics: Callable[[], bytes]) -> None:
        self.timers, self._can_serve = timers, can_serve
        self.calls: dict[_Call, None] = {}  # the oldest first
        self._paths: dict[bytes, Callable[[], Answer]] = {
            b"/v1/readyz": self._readyz,
            b"/v1/metrics": lambda: Answer(OK, metrics()),
        }

    def buildProtocol(self, addr: object) -> _Call:
        """Take a caller in the place of the oldest, where all places are taken."""
        # A whole call is answered in the turn that reads it, so whoever is still here has sent nothing whole.
        if len(self.calls) >= MAX_CALLS:
            next(iter(self.calls)).abort()
        return _Call(self)

    def answer(self, method: bytes, target: bytes) -> Answer:
        """What a call is answered; a query after the path is ignored."""
        path = self._paths.get(target.partition(b"?")[0])
        if path is None:
            return Answer(NOT_FOUND, b"no such path\n")
        return path() if method in METHODS else Answer(METHOD_NOT_ALLOWED, b"ask with GET\n")

    def _readyz(self) -> Answer:
        return Answer(OK, b"ready\n") if self._can_serve() else Answer(UNAVAILABLE, b"not ready\n")


def listen(reactor: Reactor, address: Address, site: AdminSite) -> Port:
    """Open the address; the port lasts until the process exits."""
    return reactor.listenTCP(address.port, site, backlog=BACKLOG, interface=address.host)
