"""The upstream group: discovery's list of peers, and the calls that keep it."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, cast

import h11
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from stepflow.interface import Availability, ListForm, Server
from stepflow.logs import get_logger
from stepflow.node.core import Core
from stepflow.node.counters import Counters
from stepflow.node.deadlines import Deadline, Deadlines
from stepflow.node.ports import Connector, Endpoint, Reactor, Transport

log = get_logger()

ANSWER = timedelta(seconds=4)  # the most that a call waits for its first line: calls have their turns
SILENCE = timedelta(seconds=3)  # a watch that brings no line for so long is broken: one comes every 2 s
CONNECT = timedelta(seconds=1)  # the most that a connection takes to come up
# After a move to another address the first failures are tried again soon, and are not the module's affair:
# its waits, which grow while discovery is out of reach, speak of the old address.
MOVE_RETRY = timedelta(milliseconds=250)
MOVE_GRACE = timedelta(seconds=2)
MAX_BODY = 1 << 22  # of one line
LIST = "/v1/servers"

_STATES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}


class BadList(ValueError):
    """What is wrong with a message of discovery."""


class Group:
    """The upstream group as discovery last told it."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.rev = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._entries: dict[str, object] = {}  # as discovery told them
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def endpoint(self, peer: str) -> Endpoint | None:
        return self._endpoints.get(peer)

    def message(self) -> dict[str, Any]:
        """The list as held, in discovery's form."""
        return {"rev": self.rev, "all": True, "targets": list(self._entries.values())}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, message: object) -> tuple[bool, tuple[Server, ...]]:
        """Take over a message: whether it is the whole list, and its entries.

        All of it is read before any of it counts, so that a bad message changes nothing.
        """
        if not isinstance(message, dict) or not isinstance(message.get("targets"), list):
            raise BadList("not an object with targets")
        rev = message.get("rev", self.rev)
        if not isinstance(rev, int):
            raise BadList(f"rev {rev!r} is not a number")
        read = [self._entry(entry) for entry in message["targets"]]
        whole = message.get("all") is True
        if whole:
            self._endpoints.clear()
            self._entries.clear()
        for (server, endpoint), entry in zip(read, message["targets"], strict=True):
            uid = str(server.id)
            if server.availability == Availability.GONE:
                self._endpoints.pop(uid, None)
                self._entries.pop(uid, None)
            else:
                self._endpoints[uid], self._entries[uid] = endpoint, entry
        self.rev = rev
        return whole, tuple(server for server, _ in read)

    def _entry(self, entry: object) -> tuple[Server, Endpoint]:
        if not isinstance(entry, dict) or not isinstance(entry.get("uid"), str):
            raise BadList("an entry without uid")
        uid = entry["uid"]
        state = _STATES.get(str(entry.get("state")))
        if state is None:
            raise BadList(f"{uid}: state {entry.get('state')!r}")
        gone = state == Availability.GONE
        try:
            endpoint = Endpoint("", 0) if gone else Endpoint.parse(entry.get("endpoint"))
            size = float(entry.get("capacity_hint") or 1.0)
            boot_ms, cell = int(entry.get("boot_ms") or 0), int(entry.get("pod_group") or 0)
        except (TypeError, ValueError, OverflowError) as fault:
            raise BadList(f"{uid}: {fault}") from None
        if not math.isfinite(size):
            raise BadList(f"{uid}: capacity_hint {size}")
        zone = self._zones.setdefault(str(entry.get("az")), len(self._zones))
        kind = self._kinds.setdefault(str(entry.get("model")), len(self._kinds))
        return Server(uid, zone, kind, cell, state, size, boot_ms * 1000), endpoint


class Call(LineReceiver):
    """One call of discovery, from its connection to the end of its answer: a watch, or one whole list.

    h11 holds HTTP/1.1 to its form (RFC 9112); what it gives of the body goes through the line receiver.
    """

    delimiter = b"\n"
    MAX_LENGTH = MAX_BODY

    def __init__(
        self,
        connect: Callable[[Call], Connector],
        request: h11.Request,
        deadlines: Deadlines,
        line: Callable[[Call, bytes], None],
        ended: Callable[[Call, str], None],
    ) -> None:
        self._connect, self._request, self._deadlines = connect, request, deadlines
        self._line, self._ended = line, ended
        self._http = h11.Connection(our_role=h11.CLIENT)
        self.answered = self._over = False

    def begin(self) -> None:
        """Connect; whoever owns the call must know of it first, for it may fail at once."""
        self._deadline: Deadline = self._deadlines.after(ANSWER, self._silent)
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

    def _answer(self) -> None:
        """Go through what h11 has made of the bytes so far."""
        while not self._over:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    self.close(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                super().dataReceived(bytes(event.data))  # type: ignore[no-untyped-call]
            elif isinstance(event, h11.EndOfMessage):
                self._finished()
            elif not isinstance(event, h11.InformationalResponse):
                return  # no more so far, or nothing that counts

    def lineReceived(self, line: bytes) -> None:
        if self._over:
            return
        self._deadline.cancel()
        self._deadline = self._deadlines.after(SILENCE, self._silent)
        if line.strip():
            self._line(self, line)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.close("an overlong line")

    def _finished(self) -> None:
        rest = cast(bytes, cast(Any, self).clearLineBuffer())
        if rest.strip() and not self._over:  # a whole list need not end in a line feed
            self._line(self, rest)
        self.close("ended")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self._over:
            self.dataReceived(b"")  # to h11 the end, which is also that of a body of no told length
        self.close("ended")

    def failed(self, reason: Failure) -> None:
        """No connection came up."""
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
        else:
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
    """Calls discovery when the module asks, and tells the core what comes."""

    def __init__(
        self,
        reactor: Reactor,
        address: Endpoint,
        group: Group,
        core: Core,
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self._reactor, self._address = reactor, address
        self._group, self._core, self._deadlines, self._counters = group, core, deadlines, counters
        self._wanted = False  # whether the module wants a watch
        self._watch: Call | None = None
        self._fetches: dict[Call, None] = {}
        self._asked_ahead = False  # the watch was begun by a move, while the module waits to ask again
        self._retry: Deadline | None = None
        self._retries = 0  # failures of the watch that are tried again here

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

    def move(self, address: Endpoint) -> None:
        """Go on at another address in one step: from the version held, and without news of a failure."""
        self._address = address
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
            self._watch = self._call(f"{LIST}?watch=1&from={self._group.rev}")
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
            self._take,
            self._call_ended,
        )

    def _take(self, call: Call, line: bytes) -> None:
        try:
            whole, servers = self._group.apply(json.loads(line))
        except ValueError as fault:
            call.close(f"bad list: {fault}")
            return
        call.answered = True
        self._counters.lists += 1
        if call is self._watch:
            self._retries = 0  # the new address serves; what fails from now on is the module's affair
        self._core.listed(ListForm.FULL if whole else ListForm.DELTA, servers)

    def _call_ended(self, call: Call, why: str) -> None:
        watched, fetched = call is self._watch, self._fetches.pop(call, call) is None
        if not watched and (call.answered or not fetched):
            return  # a whole list that came, or a call that was replaced
        self._counters.lists_failed += 1
        log.info("discovery call ended", why=why)
        if watched:
            self._watch = None
            if self._retries > 0:
                self._retries -= 1
                self._retry = self._deadlines.after(MOVE_RETRY, self._replace_watch)
                return
            ahead, self._asked_ahead = self._asked_ahead, False
            if ahead:
                return  # the module waits to ask again as it is
        # Never from within the module's own call: it hears of the failure as of any other event.
        self._core.listed(ListForm.FAILED, ())
