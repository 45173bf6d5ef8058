"""The admin HTTP server for operators: the node's readiness and its metrics.

Answers `/v1/readyz` and `/v1/metrics`, one request per connection, and limits the number of connections and
their duration. h11 enforces HTTP/1.1 (RFC 9112). Owns these connections. Durations are timedeltas.
Errors: a malformed request gets the status that h11 suggests, an unknown path 404, an unknown method 405.
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

MAX_ADMIN_CONNECTIONS = 12  # concurrent connections; this many descriptors are reserved for them
REQUEST_TIMEOUT = timedelta(seconds=2)  # from connecting to the end of the response, at any transfer rate
BACKLOG = 256

# These are literals, to avoid importing http.HTTPStatus.
OK, NOT_FOUND, METHOD_NOT_ALLOWED, UNAVAILABLE = 200, 404, 405, 503
METHODS = (b"GET", b"HEAD")


class HttpResponse(NamedTuple):
    """The status and the body of a response."""

    status: int
    body: bytes


class _HttpConnection(Protocol):
    """An HTTP connection, which serves one request."""

    def __init__(self, site: AdminSite) -> None:
        self._site = site
        self._http = h11.Connection(our_role=h11.SERVER)

    @property
    def _wire(self) -> Transport:
        return cast(Transport, self.transport)

    def connectionMade(self) -> None:
        """Register the connection and start its timeout."""
        self._timeout: Timer = self._site.timers.after(REQUEST_TIMEOUT, self.abort)
        self._site.connections[self] = None

    def dataReceived(self, data: bytes) -> None:
        """Send the response once the request is complete."""
        if self._http.our_state is not h11.IDLE:
            return  # the response was sent
        self._http.receive_data(data)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._send(b"GET", HttpResponse(error.error_status_hint, b""))
            return
        if isinstance(event, h11.Request):
            self._send(event.method, self._site.response(event.method, event.target))

    def _send(self, method: bytes, response: HttpResponse) -> None:
        """Send the response and close; there is no keep-alive."""
        status, body = response
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
        """Close at once; closing in the next turn would leave this turn's connections no descriptor."""
        self._wire.abortConnection()
        self._wire.connectionLost(Failure(ConnectionAborted()))  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the timeout and unregister the connection."""
        self._timeout.cancel()
        self._site.connections.pop(self, None)


class AdminSite(Factory):
    """The factory of HTTP connections; above MAX_ADMIN_CONNECTIONS connections the oldest one is closed."""

    noisy = False

    def __init__(self, timers: Timers, can_serve: Callable[[], bool], metrics: Callable[[], bytes]) -> None:
        self.timers, self._can_serve = timers, can_serve
        self.connections: dict[_HttpConnection, None] = {}  # the oldest first
        self._paths: dict[bytes, Callable[[], HttpResponse]] = {
            b"/v1/readyz": self._readyz,
            b"/v1/metrics": lambda: HttpResponse(OK, metrics()),
        }

    def buildProtocol(self, addr: object) -> _HttpConnection:
        """Create a connection; close the oldest one first if MAX_ADMIN_CONNECTIONS are open."""
        # A request is answered in the turn that reads it, so open connections have no whole request.
        if len(self.connections) >= MAX_ADMIN_CONNECTIONS:
            next(iter(self.connections)).abort()
        return _HttpConnection(self)

    def response(self, method: bytes, target: bytes) -> HttpResponse:
        """Return the response to a request; a query after the path is ignored."""
        path = self._paths.get(target.partition(b"?")[0])
        if path is None:
            return HttpResponse(NOT_FOUND, b"no such path\n")
        return path() if method in METHODS else HttpResponse(METHOD_NOT_ALLOWED, b"ask with GET\n")

    def _readyz(self) -> HttpResponse:
        return (
            HttpResponse(OK, b"ready\n") if self._can_serve() else HttpResponse(UNAVAILABLE, b"not ready\n")
        )


def listen(reactor: Reactor, address: Address, site: AdminSite) -> Port:
    """Listen at the address; the port stays open until the process exits."""
    return reactor.listenTCP(address.port, site, backlog=BACKLOG, interface=address.host)
