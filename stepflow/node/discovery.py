"""The upstream group: discovery's list of peers, and the calls that keep it."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import cast

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import ListUpdateKind
from stepflow.logs import get_logger
from stepflow.node.core import Core
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Connector, Reactor, Transport
from stepflow.upstream import EndpointGroup, EndpointListError, JsonStream, JsonStreamError
from stepflow.upstream.poll_schedule import ANSWER_TIMEOUT_US, WATCH_SILENCE_LIMIT_US

log = get_logger()

ANSWER = timedelta(microseconds=ANSWER_TIMEOUT_US)
SILENCE = timedelta(microseconds=WATCH_SILENCE_LIMIT_US)
CONNECT = timedelta(seconds=1)  # the most that a connection takes to come up
# After a move to another address the first failures are tried again soon, and are not the module's affair:
# its waits, which grow while discovery is out of reach, speak of the old address.
MOVE_RETRY = timedelta(milliseconds=250)
MOVE_GRACE = timedelta(seconds=2)
# An agent on the node's own machine answers at once and at no cost, or has nothing to say.
AGENT_ANSWER = timedelta(seconds=1)
AGENT_RETRY = (
    timedelta(milliseconds=100),
    timedelta(seconds=1),
)  # the first wait for the next call, and the last
AGENT_FIRST = timedelta(milliseconds=500)  # the most that a start waits for what the agent holds
LIST = "/v1/servers"


class Call(Protocol):
    """One call of discovery, from its connection to the end of its answer: a watch, or one whole list.

    h11 holds HTTP/1.1 to its form (RFC 9112); what it gives of the body goes through the stream of values.
    """

    def __init__(
        self,
        connect: Callable[[Call], Connector],
        request: h11.Request,
        deadlines: Timers,
        answer: timedelta,
        value: Callable[[Call, object], None],
        ended: Callable[[Call, str], None],
    ) -> None:
        self._connect, self._request, self._deadlines, self._wait = connect, request, deadlines, answer
        self._value, self._ended = value, ended
        self._http, self._body = h11.Connection(our_role=h11.CLIENT), JsonStream()
        self.answered = self._over = self._unreached = False

    def begin(self) -> None:
        """Connect; whoever owns the call must know of it first, for it may fail at once."""
        self._deadline: Timer = self._deadlines.after(self._wait, self._silent)
        self._connector = self._connect(self)

    @property
    def _wire(self) -> Transport | None:
        return cast("Transport | None", self.transport)

    def connectionMade(self) -> None:
        wire = cast(Transport, self.transport)
        if self._over:
            wire.loseConnection()
            return
        for event in (self._request, h11.EndOfMessage()):
            wire.write(self._http.send(event) or b"")

    def dataReceived(self, data: bytes) -> None:
        if self._over:
            return
        self._http.receive_data(data)
        try:
            self._answer()
        except h11.RemoteProtocolError as fault:
            self.close(f"no HTTP: {fault}")
        except JsonStreamError as fault:
            self.close(f"bad list: {fault}")

    def _answer(self) -> None:
        """Go through what h11 has made of the bytes so far."""
        while not self._over:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    self.close(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                self._read(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.close("ended amid a list" if self._body.has_partial_value else "ended")
            elif not isinstance(event, h11.InformationalResponse):
                return  # no more so far, or nothing that counts

    def _read(self, data: bytes) -> None:
        """Take a piece of the body; each is a sign of life, also an empty line, once a list has come."""
        for value in self._body.feed(data):
            self._value(self, value)
            if self._over:
                return
        if self.answered or self._body.has_partial_value:
            self._deadline.cancel()
            self._deadline = self._deadlines.after(SILENCE, self._silent)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self._over:
            self.dataReceived(b"")  # to h11 the end, which is also that of a body of no told length
        self.close("ended")

    def failed(self, reason: Failure) -> None:
        """No connection came up."""
        self._unreached = True
        self.close(str(reason.value) or type(reason.value).__name__)

    def _silent(self) -> None:
        self.close("silent")

    def close(self, why: str) -> None:
        """The one place that ends a call."""
        if self._over:
            return
        self._over = True
        self._deadline.cancel()
        if self._wire is not None:
            self._wire.loseConnection()
        elif not self._unreached:
            self._connector.stopConnecting()
        self._ended(self, why)


class _Factory(ClientFactory):
    """Makes the one connection of a call."""

    noisy = False

    def __init__(self, call: Call) -> None:
        self._call = call

    def buildProtocol(self, addr: object) -> Call:
        return self._call

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._call.failed(reason)


class DiscoveryClient:
    """Calls discovery when the module asks, and tells the core what comes.

    Where lists are pushed nobody asks: an agent on this machine holds what was sent, and all of that counts
    as told. There the watch is this client's own affair (`keep`): the module hears lists, as on the
    simulator's wire, and neither asks nor hears that a call failed.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        group: EndpointGroup,
        core: Core,
        deadlines: Timers,
        counters: Counters,
    ) -> None:
        self._reactor, self._address = reactor, address
        self._group, self._core, self._deadlines, self._counters = group, core, deadlines, counters
        self._wanted = False  # whether the module wants a watch
        self._watch: Call | None = None
        self._fetches: dict[Call, None] = {}
        self._asked_ahead = False  # the watch was begun by a move, while the module waits to ask again
        self._retry: Timer | None = None
        self._retries = 0  # failures of the watch that are tried again here
        self._kept = False  # the watch is kept here, whatever the module wants
        self._again = AGENT_RETRY[0]  # until a kept watch is begun again
        self._heard: Callable[[], None] | None = None  # waits for the first answer of a kept watch

    def keep(self, heard: Callable[[], None]) -> None:
        """Begin a watch of the agent and stay with it; `heard` follows its first answer, or soon its silence.

        What the agent holds counts as told from this process's first moment: nothing goes to a peer before.
        """
        self._kept = self._wanted = True
        self._heard = heard
        self._deadlines.after(AGENT_FIRST, self._hear)
        self._replace_watch()

    def _hear(self) -> None:
        heard, self._heard = self._heard, None
        if heard is not None:
            heard()

    def watch(self, on: bool) -> None:
        """Ask for changes from the version that is held, in place of a watch that stands."""
        ahead, self._asked_ahead = self._asked_ahead, False
        if on and ahead and self._wanted and (self._watch is not None or self._retry is not None):
            return  # the answer to what the move has asked will do
        self._wanted, self._retries = on, 0
        self._replace_watch()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        call = self._call(LIST)
        self._fetches[call] = None
        call.begin()

    def move(self, address: Address) -> None:
        """Go on at another address in one step: from the version held, and without news of a failure."""
        self._address, self._again = address, AGENT_RETRY[0]
        # The module that was told of a failure asks again in its own time: that may be too late.
        self._asked_ahead = self._wanted and self._watch is None and self._retry is None
        self._retries = MOVE_GRACE // MOVE_RETRY
        self._replace_watch()
        fetches, self._fetches = self._fetches, {}
        for call in fetches:
            call.close("replaced")
            self.fetch()

    def close(self) -> None:
        """End all calls."""
        self._kept, self._heard = False, None
        self.watch(False)
        fetches, self._fetches = self._fetches, {}
        for call in fetches:
            call.close("closed")

    def _replace_watch(self) -> None:
        old, self._watch = self._watch, None
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._wanted:
            self._watch = self._call(f"{LIST}?watch=1&from={self._group.revision}")
            self._watch.begin()
        if old is not None:  # it is no longer known here, so its end is nobody's news
            old.close("replaced")

    def _call(self, path: str) -> Call:
        host, port = address = self._address
        request = h11.Request(method="GET", target=path, headers=[("host", str(address))])
        return Call(
            lambda call: self._reactor.connectTCP(host, port, _Factory(call), CONNECT.total_seconds()),
            request,
            self._deadlines,
            AGENT_ANSWER if self._kept else ANSWER,
            self._take,
            self._call_ended,
        )

    def _take(self, call: Call, message: object) -> None:
        try:
            whole, servers = self._group.apply(message, is_first_of_call=not call.answered)
        except EndpointListError as fault:
            call.close(f"bad list: {fault}")
            return
        call.answered = True
        self._counters.lists += 1
        if call is self._watch:
            self._retries = 0  # the new address serves; what fails from now on is the module's affair
            self._again = AGENT_RETRY[0]
        self._core.endpoint_list_updated(ListUpdateKind.FULL if whole else ListUpdateKind.DELTA, servers)
        if call is self._watch:
            self._hear()

    def _call_ended(self, call: Call, why: str) -> None:
        watched, fetched = call is self._watch, self._fetches.pop(call, call) is None
        if not watched and (call.answered or not fetched):
            return  # a whole list that came, or a call that was replaced
        self._counters.lists_failed += 1
        log.info("discovery call ended", why=why)
        if watched:
            self._watch = None
            if self._kept:
                self._retry = self._deadlines.after(self._again, self._replace_watch)
                self._again = min(2 * self._again, AGENT_RETRY[1])
                return
            if self._retries > 0:
                self._retries -= 1
                self._retry = self._deadlines.after(MOVE_RETRY, self._replace_watch)
                return
            ahead, self._asked_ahead = self._asked_ahead, False
            if ahead:
                return  # the module waits to ask again as it is
        # Never from within the module's own call: it hears of the failure as of any other event.
        self._core.endpoint_list_updated(ListUpdateKind.FAILED, ())
