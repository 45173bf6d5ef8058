"""The operators' address: whether the node can serve, and its figures, over HTTP."""

# twisted.web's server has no types.
# mypy: disable-error-code="no-untyped-call"

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast

from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from stepflow.node.deadlines import Deadline, Deadlines
from stepflow.node.ports import Endpoint, Port, Reactor, Transport

CALLS_KEPT = 12  # descriptors for calls; clients never get them, and calls no others
CALL = timedelta(seconds=2)  # from a caller's first moment to the end of its call, however it drips
BACKLOG = 256


class _Call(HTTPChannel):
    """One caller's connection, for one call."""

    site: OpsSite

    def connectionMade(self) -> None:
        super().connectionMade()
        self.deadline: Deadline = self.site.deadlines.after(CALL, self.end)
        self.site.calls[self] = None

    def checkPersistence(self, request: Request, version: bytes) -> bool:
        request.setHeader(b"connection", b"close")
        return False

    def end(self) -> None:
        """Close at once: in the reactor's next turn, the turn's other callers would have no descriptor."""
        wire = cast(Transport, self.transport)
        wire.abortConnection()
        wire.connectionLost(Failure(ConnectionAborted()))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.deadline.cancel()
        self.site.calls.pop(self, None)
        super().connectionLost(reason)


class _Answer(Resource):
    """What one path answers to GET."""

    def __init__(self, answer: Callable[[Request], bytes]) -> None:
        super().__init__()
        self._answer = answer

    def render_GET(self, request: Request) -> bytes:
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return self._answer(request)


class OpsSite(Site):
    """The two calls; no more than so many callers, the oldest of them making room."""

    protocol = cast(Any, _Call)
    noisy = False

    def __init__(self, deadlines: Deadlines, ready: Callable[[], bool], figures: Callable[[], bytes]) -> None:
        root, version = Resource(), Resource()
        super().__init__(root, timeout=None)
        self.deadlines, self._ready = deadlines, ready
        self.calls: dict[_Call, None] = {}  # the oldest first
        self.displayTracebacks = False
        put = cast(Any, version).putChild
        put(b"readyz", _Answer(self._readyz))
        put(b"metrics", _Answer(lambda request: figures()))
        cast(Any, root).putChild(b"v1", version)

    def buildProtocol(self, addr: object) -> Any:
        # A whole call is answered in the turn that reads it, so whoever is still here has said nothing whole.
        if len(self.calls) >= CALLS_KEPT:
            next(iter(self.calls)).end()
        return super().buildProtocol(addr)

    def _readyz(self, request: Request) -> bytes:
        if self._ready():
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"

    def log(self, request: Request) -> None:
        """Calls come all day: they are no news."""


def listen(reactor: Reactor, address: Endpoint, site: OpsSite) -> Port:
    """Open the address; the port lasts until the process exits."""
    return reactor.listenTCP(address.port, site, backlog=BACKLOG, interface=address.host)
