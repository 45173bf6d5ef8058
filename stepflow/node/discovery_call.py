"""One HTTP call of discovery, from its connection to the end of its answer.

h11 holds HTTP/1.1 to its form (RFC 9112); the body goes through a stream of JSON values. A call either
watches the list, and then its answer has no end, or fetches it once. Errors are not raised: each end is a
short text for the log, given to `ended` once.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import cast

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Connector, Transport
from stepflow.upstream import JsonStream, JsonStreamError
from stepflow.upstream.poll_schedule import WATCH_SILENCE_LIMIT_US

IDLE_TIMEOUT = timedelta(
    microseconds=WATCH_SILENCE_LIMIT_US
)  # between two pieces of an answer that has begun


class DiscoveryCall(Protocol):
    """One call. It owns its socket, and closes it at whatever ends the call.

    Args of the constructor:
        connect: Begins the connection of the call that it is given.
        request: Sent whole once the connection is up; it has no body.
        answer_timeout: From the call's begin to its first value.
        received: Takes each JSON value of the answer. It sets `answered`, or closes the call.
        ended: Told once that the call has ended, and why.
    """

    def __init__(
        self,
        connect: Callable[[DiscoveryCall], Connector],
        request: h11.Request,
        timers: Timers,
        answer_timeout: timedelta,
        received: Callable[[DiscoveryCall, object], None],
        ended: Callable[[DiscoveryCall, str], None],
    ) -> None:
        self._connect, self._request = connect, request
        self._timers, self._answer_timeout = timers, answer_timeout
        self._received, self._ended = received, ended
        self._http, self._body = h11.Connection(our_role=h11.CLIENT), JsonStream()
        self.answered = False  # a list has come
        self._closed = self._connect_failed = False

    def begin(self) -> None:
        """Connect; the owner must know of the call first, for it may fail at once."""
        self._timer: Timer = self._timers.after(self._answer_timeout, self._timed_out)
        self._connector = self._connect(self)

    def close(self, reason: str) -> None:
        """The one place that ends a call."""
        if self._closed:
            return
        self._closed = True
        self._timer.cancel()
        if self._wire is not None:
            self._wire.loseConnection()
        elif not self._connect_failed:
            self._connector.stopConnecting()
        self._ended(self, reason)

    def connectionMade(self) -> None:
        """Send the request."""
        wire = cast(Transport, self.transport)
        if self._closed:
            wire.loseConnection()
            return
        for event in (self._request, h11.EndOfMessage()):
            wire.write(self._http.send(event) or b"")

    def dataReceived(self, data: bytes) -> None:
        """Take a piece of the answer, or its end."""
        if self._closed:
            return
        self._http.receive_data(data)
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.close(f"no HTTP: {error}")
        except JsonStreamError as error:
            self.close(f"bad list: {error}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the call, and before it an answer that ends with its connection."""
        if not self._closed:
            self.dataReceived(b"")  # to h11 the end, which is also that of a body of no told length
        self.close("ended")

    def connection_failed(self, reason: Failure) -> None:
        """End the call: no connection has come up."""
        self._connect_failed = True
        self.close(str(reason.value) or type(reason.value).__name__)

    @property
    def _wire(self) -> Transport | None:
        return cast("Transport | None", self.transport)

    def _read_events(self) -> None:
        """Go through what h11 has made of the bytes so far."""
        while not self._closed:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                if event.status_code != HTTPStatus.OK:
                    self.close(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                self._read_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.close("ended amid a list" if self._body.has_partial_value else "ended")
            elif not isinstance(event, h11.InformationalResponse):
                return  # no more so far, or nothing that counts

    def _read_body(self, data: bytes) -> None:
        """Take a piece of the body; each is a sign of life, also an empty line, once a list has come."""
        for value in self._body.feed(data):
            self._received(self, value)
            if self._closed:
                return
        if self.answered or self._body.has_partial_value:
            self._timer.cancel()
            self._timer = self._timers.after(IDLE_TIMEOUT, self._timed_out)

    def _timed_out(self) -> None:
        self.close("silent")


class SingleCallFactory(ClientFactory):
    """Makes the one connection of a call."""

    noisy = False

    def __init__(self, call: DiscoveryCall) -> None:
        self._call = call

    def buildProtocol(self, addr: object) -> DiscoveryCall:
        """Hand out the call: the connection is up."""
        return self._call

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """End the call."""
        self._call.connection_failed(reason)
