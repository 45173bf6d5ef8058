"""One HTTP call to discovery, from its connect to the end of its answer.

h11 parses HTTP/1.1 strictly (RFC 9112), and `JsonStream` parses the body. A call either watches the list, and
its answer has no end, or fetches the list once. Errors are not raised: `ended` is called once, with a short
reason for the log.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple, cast

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Connector, Transport, read_pending
from stepflow.upstream import JsonStream, JsonStreamError
from stepflow.upstream.json_stream import MAX_VALUE_BYTES
from stepflow.upstream.poll_schedule import ANSWER_TIMEOUT_US, WATCH_SILENCE_LIMIT_US

# The maximum time from the start of a call until its first value begins.
ANSWER_TIMEOUT = timedelta(microseconds=ANSWER_TIMEOUT_US)
# The maximum time between two parts of the body, once its first value has begun.
IDLE_TIMEOUT = timedelta(microseconds=WATCH_SILENCE_LIMIT_US)


class CallHandlers(NamedTuple):
    """The functions that a call calls; each gets the call as its first argument."""

    value_received: Callable[[DiscoveryCall, object], None]  # each value; sets `answered` or closes the call
    ended: Callable[[DiscoveryCall, str], None]  # once, with the reason
    # After each part of the body, once its values have been passed on.
    part_received: Callable[[DiscoveryCall], None] = lambda call: None


class DiscoveryCall(Protocol):
    """One call. It owns its socket and closes it when the call ends.

    Args of the constructor:
        connect: Starts the connection of the given call.
        request: The request, without a body; sent once the connection is established.
        handlers: What is called as the answer arrives and when the call ends.
    """

    def __init__(
        self,
        connect: Callable[[DiscoveryCall], Connector],
        request: h11.Request,
        timers: Timers,
        handlers: CallHandlers,
    ) -> None:
        self._connect, self._request = connect, request
        self._timers, self._handlers = timers, handlers
        self._http, self._body = h11.Connection(our_role=h11.CLIENT), JsonStream()
        self.answered = False  # a list was received
        self._closed = self._connect_failed = False

    def begin(self) -> None:
        """Start to connect. The owner must have stored the call, since it may end during `begin`."""
        self._timer: Timer = self._timers.after(ANSWER_TIMEOUT, self._timed_out)
        self._connector = self._connect(self)

    def close(self, reason: str) -> None:
        """End the call, unless it has ended. All other methods end a call through this one."""
        if self._closed:
            return
        self._closed = True
        self._timer.cancel()
        if self._wire is not None:
            self._wire.loseConnection()
        elif not self._connect_failed:
            self._connector.stopConnecting()
        self._handlers.ended(self, reason)

    def read_pending(self) -> None:
        """Process what the kernel holds of the answer now, without waiting for the reactor.

        At least the longest list is read.
        """
        if self._wire is not None:
            for data in read_pending(self._wire, MAX_VALUE_BYTES):
                self.dataReceived(data)

    def connectionMade(self) -> None:
        """Send the request."""
        wire = cast(Transport, self.transport)
        if self._closed:
            wire.loseConnection()
            return
        for event in (self._request, h11.EndOfMessage()):
            wire.write(self._http.send(event) or b"")

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of the answer; empty data marks its end."""
        if self._closed:
            return
        self._http.receive_data(data)
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.close(f"invalid HTTP: {error}")
        except JsonStreamError as error:
            self.close(f"invalid JSON: {error}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the call; an answer without a length ends with its connection."""
        if not self._closed:
            self.dataReceived(b"")  # reports the end of the stream to h11, which ends a body without a length
        self.close("ended")

    def connection_failed(self, reason: Failure) -> None:
        """End the call: the connect failed."""
        self._connect_failed = True
        self.close(str(reason.value) or type(reason.value).__name__)

    @property
    def has_partial_value(self) -> bool:
        """Whether a value of the answer has begun and is incomplete."""
        return self._body.has_partial_value

    @property
    def _wire(self) -> Transport | None:
        return cast("Transport | None", self.transport)

    def _read_events(self) -> None:
        """Handle the events that h11 has parsed from the bytes received so far."""
        while not self._closed:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                if event.status_code != HTTPStatus.OK:
                    self.close(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                self._read_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.close("ended within a JSON value" if self.has_partial_value else "ended")
            elif not isinstance(event, h11.InformationalResponse):
                return  # NEED_DATA, or another event that needs no handling

    def _read_body(self, data: bytes) -> None:
        """Parse a part of the body.

        Once the first value has begun, each part restarts the idle timeout, even an empty line.
        """
        for value in self._body.feed(data):
            self._handlers.value_received(self, value)
            if self._closed:
                return
        if self.answered or self.has_partial_value:
            self._timer.cancel()
            self._timer = self._timers.after(IDLE_TIMEOUT, self._timed_out)
        self._handlers.part_received(self)

    def _timed_out(self) -> None:
        self.close("timed out")


class SingleCallFactory(ClientFactory):
    """The factory for the one connection of a call."""

    noisy = False

    def __init__(self, call: DiscoveryCall) -> None:
        self._call = call

    def buildProtocol(self, addr: object) -> DiscoveryCall:
        """Return the call: the connection is established."""
        return self._call

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """End the call."""
        self._call.connection_failed(reason)
