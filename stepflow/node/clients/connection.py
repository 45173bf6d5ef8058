"""Client connections: the platform's line protocol as a front of the core."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from stepflow.interface import Request
from stepflow.logs import get_logger
from stepflow.node.core import Attempt, Core, RequestContext
from stepflow.node.relay import Relay, RelayServices
from stepflow.node.runtime.clock import Clock, micros, millis
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineProtocol, was_reset
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Reactor, family, finish, flush, has_ended, has_unread
from stepflow.node.upstreams.attempt import UpstreamAttempt
from stepflow.node.upstreams.dialer import Dialer
from stepflow.node.upstreams.liveness import LivenessMonitor
from stepflow.node.upstreams.pool import UpstreamConnections

# From the connection's first moment, whatever comes: neither a drip of bytes nor PINGs put it off, or a
# crowd that sends those would hold the node's sockets. True clients may write for 2 s; bad ones are owed
# an answer within 3.
FIRST_LINE = timedelta(seconds=2.6)
MOST_PINGS = 8  # on one connection
CLOSE = timedelta(milliseconds=600)  # the most that an answer takes to be read
DISCARD_BYTES = 1 << 18  # what is read of a client after its answer; then its sending has to wait
MOST_WAIT = timedelta(minutes=1)  # the longest `d` of a client
STANDING_WAIT = timedelta(hours=2)  # and of one that stood before the start, which is told more than an hour
SPARE = 4  # descriptors kept free as long as there are silent clients to close

log = get_logger()

_HEX = re.compile(rb"[0-9A-Fa-f]{1,16}")
_COUNT = re.compile(rb"[0-9]{1,9}")
_LOAD = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?([eE][-+]?[0-9]{1,2})?")


class OpenRequest(NamedTuple):
    """The first line of a client connection."""

    head: bytes  # OPEN, id and key, as they came
    pairs: tuple[tuple[bytes, bytes], ...]
    request: Request
    standing_at: str

    @property
    def name(self) -> str:
        """The id that the client gave."""
        return self.head.split(b" ", 2)[1].decode()

    def line(self, wait: timedelta) -> bytes:
        """The line for a peer: as it came, but that `d` tells how long this attempt will wait."""
        d = b"%d" % max(1, millis(wait))
        pairs = b",".join(b"%s=%s" % (name, d if name == b"d" else value) for name, value in self.pairs)
        return b"%s %s\r\n" % (self.head, pairs)


class MalformedRequestError(ValueError):
    """What is wrong with a first line."""


def parse_open_request(
    line: bytes, now: timedelta, classes: dict[bytes, int], tenants: dict[bytes, int] | None = None
) -> OpenRequest:
    """Read `OPEN ID KEY NAME=VALUE,...`; names that are not known here go on to the peer as they are.

    A tenant that the settings don't name has a number beyond all of theirs.
    """
    tenants = tenants or {}
    words = line.split(b" ")
    if len(words) != 4 or words[0] != b"OPEN" or not all(words):
        raise MalformedRequestError("not OPEN, an id, a key and a list")
    pairs = []
    for item in words[3].split(b","):
        name, equals, value = item.partition(b"=")
        if not name or not equals:
            raise MalformedRequestError("an item that is not NAME=VALUE")
        pairs.append((name, value))
    told = dict(pairs)
    if len(told) != len(pairs):
        raise MalformedRequestError("a name stands twice")
    if not line.isascii() or any(byte < 32 or byte == 127 for byte in line):
        raise MalformedRequestError("a byte that is not plain ASCII")
    if told.get(b"c", b"") not in classes:
        raise MalformedRequestError("an unknown class")
    # Python's own conversions take signs, underscores, prefixes, `nan` and `inf`; peers don't.
    forms = ((_HEX, words[1]), (_HEX, words[2]), (_HEX, told.get(b"g", b"0")), (_LOAD, told.get(b"h", b"0")))
    if not all(form.fullmatch(value) for form, value in (*forms, (_COUNT, told.get(b"d", b"")))):
        raise MalformedRequestError("a value that can't be read")
    wait = timedelta(milliseconds=int(told[b"d"]))
    if wait > (STANDING_WAIT if b"at" in told else MOST_WAIT):
        raise MalformedRequestError("a wait that no client has")
    request = Request(
        id=0,
        class_index=classes[told[b"c"]],
        expires_us=micros(now + wait),
        load=float(told[b"h"]) if b"h" in told else None,
        tenant=tenants.get(told.get(b"t", b""), len(tenants)),
        idempotency_key=int(words[2], 16),
        affinity_group=int(told.get(b"g", b"0"), 16),
        is_retry=told.get(b"r") == b"1",
        is_migrated=told.get(b"again") == b"1",
    )
    return OpenRequest(b" ".join(words[:3]), tuple(pairs), request, told.get(b"at", b"").decode())


class ClientFactory(Factory):
    """Makes client connections, as many as there are descriptors for.

    `free` tells how many are left when each request has a peer's socket too.
    """

    noisy = False

    def __init__(
        self,
        core: Core,
        clock: Clock,
        deadlines: Timers,
        counters: Counters,
        liveness: LivenessMonitor,
        reactor: Reactor,
        upstreams: UpstreamConnections,
        classes: dict[bytes, int],
        tenants: dict[bytes, int],
        free: Callable[[], int],
    ) -> None:
        self.core, self.clock, self.deadlines, self.counters = core, clock, deadlines, counters
        self.relay_services = RelayServices(clock, deadlines, counters, liveness)
        self.open, self._free = 0, free
        self.reactor, self.upstreams = reactor, upstreams
        self.classes, self.tenants = classes, tenants  # the numbers of those that clients may name
        # Those that have not opened yet: between lines, the oldest first; amid one, the longest still first.
        self.idle: dict[ClientConnection, None] = {}
        self.writing: dict[ClientConnection, None] = {}
        self.ids: set[int] = set()  # of the requests that are open

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """None closes the socket: beyond the limit there is none left even to say BUSY on."""
        if not self.make_room():
            self.counters.table_full += 1
            return None
        return ClientConnection(self)

    def adopt(self, told: dict[str, Any], client: int, peer: int) -> bool:
        """Take a session over from the process before; False leaves it there."""
        cls, at = self.classes.get(str(told.get("class")).encode()), told.get("at")
        if cls is None or not isinstance(at, str) or not self.make_room():
            return False
        families = family(client), family(peer)  # before anything counts
        tenant = self.tenants.get(str(told.get("tenant", "")).encode(), len(self.tenants))
        request = Request(0, cls, 0, told["load"], tenant, told["key"], told["group"])
        connection = ClientConnection(self)
        context = self.core.adopt_session(request, connection, at)
        if context is None:
            return False
        self.reactor.adoptStreamConnection(client, families[0], Dialer(connection))
        connection.stand(context, told["id"])
        context.attempt = attempt = self.upstreams.adopt_session(context, peer)
        connection.session_established(attempt)
        connection.go_on(told)
        return True

    def make_room(self) -> bool:
        """Whether a descriptor is left; crowds that say nothing are closed before others are turned away.

        Whoever is amid its line goes after those that say nothing: it may be a true client that writes. So
        may one whose bytes lie unread: a close over them would be a reset.
        """
        if self._free() < SPARE:
            crowd = (client for client in (*self.idle, *self.writing) if not has_unread(client.wire))
            if (client := next(crowd, None)) is not None:
                self.counters.evicted += 1
                client.evict()
        return self._free() > 0

    def heard(self, client: ClientConnection) -> None:
        """A client that has not opened yet has sent something."""
        if not client.at_end and (client in self.idle or client in self.writing):
            self.settled(client)
            self.writing[client] = None

    def turn_away(self) -> None:
        """Answer those that have not opened: it is the answer of a request that is on its way."""
        for client in (*self.idle, *self.writing):
            client.reject(timedelta(0))

    def settled(self, client: ClientConnection) -> None:
        """A client has opened, or is no longer heard."""
        self.idle.pop(client, None)
        self.writing.pop(client, None)


class ClientConnection(LineProtocol):
    """One client connection; owns its socket until the relay does."""

    def __init__(self, factory: ClientFactory) -> None:
        super().__init__()
        self._node = factory
        self._opening: OpenRequest | None = None
        self._context: RequestContext | None = None
        self._relay: Relay | None = None
        self._deadline: Timer | None = None
        self._closing = False
        self._pings = self._discarded = 0
        self._id: int | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self._node.open += 1
        self._node.counters.clients += 1
        self._node.idle[self] = None
        self._deadline = self._node.deadlines.after(FIRST_LINE, self._too_slow)

    def dataReceived(self, data: bytes) -> None:
        try:
            super().dataReceived(data)
        except Exception:
            if self._relay is not None:
                raise  # a session is closed: there is no answer amid its lines
            # Twisted would close the connection, and what was read on it is owed an answer.
            self._node.counters.faults += 1
            log.exception("a client's bytes could not be taken")
            self._leave()
            self.fail()
            return
        self._node.heard(self)

    def lineReceived(self, line: memoryview) -> None:
        if line.tobytes() == b"PING":
            self._pings += 1
            if self._pings > MOST_PINGS or not self.at_end:
                self._malformed()  # a client waits for its answer
            else:
                self.wire.write(b"PONG\r\n")
            return
        text = bytes(line)  # outlives the buffer: every attempt sends it
        try:
            opening = parse_open_request(text, self._node.clock.now(), self._node.classes, self._node.tenants)
        except MalformedRequestError:
            self._malformed()
            return
        id = int(text.split(b" ", 2)[1], 16)
        # What stands behind the line is no answer's fruit: handed to a peer, it would be another's session.
        if not self.at_end or id in self._node.ids:
            self._malformed()
            return
        self.setRawMode()
        self._settle_opening()
        if not self._node.make_room():
            self._node.counters.table_full += 1
            self._node.core.reject_unaccepted(opening.request, opening.name, "no descriptor")
            self.reject(timedelta(0))
            return
        self._node.ids.add(id)
        self._id, self._opening = id, opening
        self._context = self._node.core.accept(opening.request, self, opening.standing_at, opening.name)
        if self._context is None:
            self.reject(timedelta(0))

    def _settle_opening(self) -> None:
        """The client has said what it wants, or will no longer be heard."""
        self._node.settled(self)
        if self._deadline is not None:
            self._deadline.cancel()

    def _too_slow(self) -> None:
        self._node.counters.malformed += 1
        self._answer(b"ERR too slow\r\n")

    def evict(self) -> None:
        """Close a silent connection at once: its descriptor is needed."""
        self._settle_opening()
        self._closing = True
        self.wire.write(b"BUSY\r\n")  # the answer of a request that is on its way
        flush(self.wire)
        # Twisted's calls close in the reactor's next turn, and one turn may accept a hundred clients before.
        self.wire.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self) -> None:
        self._malformed()

    def _malformed(self) -> None:
        if not self._closing:
            self._node.counters.malformed += 1
            self._answer(b"ERR malformed\r\n")

    def rawDataReceived(self, data: bytes) -> None:
        if self._relay is not None:
            self._relay.data_from_client(data)
        elif not self._closing:  # a client waits for its answer
            self._leave()
            self._malformed()
        else:
            self._discarded += len(data)
            if self._discarded > DISCARD_BYTES:  # it may send on without end, and has its answer
                self.wire.pauseProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._node.open -= 1
        self._settle_opening()
        if self._id is not None:
            self._node.ids.discard(self._id)
        if self._relay is not None:
            self._relay.client_lost(reset=was_reset(reason))
            # The context and the relay know this connection: held here, they would be freed by no count.
            self._relay = self._context = None
        else:
            self._leave()

    def _leave(self) -> None:
        """The client is owed nothing more."""
        if self._context is not None:
            context, self._context = self._context, None
            self._node.core.client_disconnected(context)

    def offer(self) -> dict[str, Any] | None:
        """What another process must know to go on with this session, once its sockets can be passed."""
        if self._relay is None or self._context is None or (passing := self._relay.offer()) is None:
            return None
        request = self._context.request
        return {
            **passing._asdict(),
            "from_client": passing.from_client.decode("latin-1"),
            "from_peer": passing.from_peer.decode("latin-1"),
            "id": self._id,
            "class": self._node.core.class_name(request.class_index),
            "tenant": self._node.core.tenant_name(request.tenant),
            "load": self._node.core.session_load(self._context),
            "key": request.idempotency_key,
            "group": request.affinity_group,
            "at": self._context.endpoint,
        }

    def taken(self, by_other: bool) -> None:
        if self._relay is not None:
            self._relay.taken(by_other)

    def stand(self, context: RequestContext, id: int) -> None:
        """Go on with a session that the process before this one has passed."""
        self._settle_opening()
        self.setRawMode()
        self._node.ids.add(id)
        self._id, self._context = id, context

    # The core's side.

    def check_disconnected(self) -> None:
        """Take note of a client that has left, though its end was not read yet: nothing may begin for it."""
        if not self._closing and self._relay is None and has_ended(self.wire):
            self._leave()

    def opening_line(self, wait: timedelta) -> bytes:
        """The first line for an attempt that waits so long."""
        return b"" if self._opening is None else self._opening.line(wait)

    def session_established(self, attempt: Attempt) -> None:
        upstream = cast(UpstreamAttempt, attempt)
        context = cast(RequestContext, self._context)
        self.wire.write(upstream.up_line)
        self._relay = Relay(context, self, upstream, self._node.relay_services, upstream.detach)
        upstream.attach_relay(self._relay)

    def go_on(self, told: dict[str, Any]) -> None:
        if self._relay is not None:
            halves = (told["from_client"].encode("latin-1"), told["from_peer"].encode("latin-1"))
            self._relay.go_on(*halves, told["owed"])

    def reject(self, retry_after: timedelta) -> None:
        wait = millis(retry_after)
        self._answer(b"BUSY %d\r\n" % wait if wait > 0 else b"BUSY\r\n")

    def fail(self) -> None:
        self._answer(b"ERR\r\n")

    def complete(self, answer: bytes) -> None:
        self._answer(answer)

    def migrate(self) -> None:
        if self._relay is not None:
            self._relay.migrate()

    def _answer(self, line: bytes) -> None:
        """Answer once, end the sending, and wait a little for the client's own end.

        A close with something of the client's unread would be a reset, which may overtake the answer.
        """
        if self._closing:
            return
        self._settle_opening()
        self._closing, self._context = True, None
        self.setRawMode()
        self.wire.write(line)
        self.wire.loseWriteConnection()
        self._deadline = self._node.deadlines.after(CLOSE, self._abort)

    def _abort(self) -> None:
        finish(self.wire)
