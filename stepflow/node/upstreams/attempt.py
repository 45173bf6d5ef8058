"""Connections to peers: attempts, each on one of its own, and probes on kept ones."""

from __future__ import annotations

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol, cast

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.core import Core, RequestContext
from stepflow.node.relay import Relay
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineProtocol, was_reset
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Reactor, family, flush
from stepflow.node.upstreams.connection import adopt, network_failed
from stepflow.node.upstreams.dialer import Dial
from stepflow.settings import NodeSettings

PROBE_WAIT = timedelta(milliseconds=250)  # the most that a probe waits for its answer

_FIELD_ALIASES = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}


def parse_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report in the settings' order; empty where any is missing or no number."""
    told: dict[str, float] = {}
    try:
        for item in text.decode("ascii").split(","):
            name, _, value = item.strip().partition("=")
            told[_FIELD_ALIASES.get(name, name)] = float(value)
    except ValueError:
        return ()
    if not fields or any(not math.isfinite(told.get(name, math.nan)) for name in fields):
        return ()
    return tuple(told[name] for name in fields)


def _nothing() -> None:
    """What follows a connection's failure where it has been made already."""


class AddressBook(Protocol):
    """Where the peers are."""

    def address_of(self, peer: str) -> Address | None: ...


class OpeningFront(Protocol):
    """A front that speaks lines."""

    def opening_line(self, wait: timedelta) -> bytes: ...


class UpstreamConnections:
    """The node's uplink: makes attempts and keeps the probes' connections."""

    def __init__(
        self,
        reactor: Reactor,
        core: Core,
        clock: Clock,
        deadlines: Timers,
        counters: Counters,
        directory: AddressBook,
        settings: NodeSettings,
    ) -> None:
        self.reactor, self.core, self.clock, self.deadlines = reactor, core, clock, deadlines
        self.counters, self.directory, self.settings = counters, directory, settings
        self._links: dict[str, HealthCheckConnection] = {}
        self.attempts = 0  # sockets of attempts, from the first SYN until they are closed

    @property
    def health_check_connections(self) -> int:
        """Sockets of probes."""
        return len(self._links)

    def start_attempt(self, context: RequestContext, peer: str, wait: timedelta) -> UpstreamAttempt | None:
        endpoint = self.directory.address_of(peer)
        if endpoint is None:
            return None
        attempt = UpstreamAttempt(self, context, wait)
        attempt.dial(endpoint)
        return attempt

    def adopt_session(self, context: RequestContext, descriptor: int) -> UpstreamAttempt:
        """An attempt that came up in the process before this one."""
        attempt = UpstreamAttempt(self, context, timedelta(0))
        attempt.stand()
        adopt(self.reactor, descriptor, family(descriptor), Dial(attempt, _nothing))
        return attempt

    def start_health_check(self, peer: str) -> None:
        endpoint = self.directory.address_of(peer)
        if endpoint is None:
            self.core.health_check_ended(peer, AttemptResult.CONNECT_FAILED, timedelta(0))
            return
        link = self._links.get(peer)
        if link is None or link.endpoint != endpoint:
            if link is not None:
                link.close()
            link = self._links[peer] = HealthCheckConnection(self, peer, endpoint)
        if not link.busy:  # else the answer to the one that is out will do
            self.counters.probes += 1
            link.probe()

    def close_idle(self, peer: str) -> None:
        link = self._links.get(peer)
        if link is not None and not link.busy:
            link.close()

    def dropped(self, link: HealthCheckConnection) -> None:
        """A probes' connection is closed."""
        if self._links.get(link.peer) is link:
            del self._links[link.peer]

    def close(self) -> None:
        for link in tuple(self._links.values()):
            link.close()


class UpstreamAttempt(LineProtocol):
    """One attempt of a request, on a connection of its own.

    It owns the socket; `attempt_ended` is told when that is closed, so that the next attempt can't
    begin before.
    """

    def __init__(self, peers: UpstreamConnections, context: RequestContext, wait: timedelta) -> None:
        super().__init__()
        self._peers, self._context = peers, context
        self._expires = peers.clock.now() + wait
        self._result: AttemptResult | None = None  # what the end will mean, once something has settled it
        self._report: tuple[float, ...] = ()
        self._answer = b""
        self._made = self._written = self._sent = self._detached = self._over = False
        self._relay: Relay | None = None
        self.receipt = self._early = b""
        connect = min(wait, peers.settings.connect_timeout)
        self._deadline = peers.deadlines.after(connect, self._connect_late)
        peers.attempts += 1

    def dial(self, endpoint: Address) -> None:
        """Begin the connection."""
        self._dial = Dial(self, self._connect_failed)
        self._dial.begin(self._peers.reactor, endpoint)

    def stand(self) -> None:
        """It is up already: nothing is to be sent, and no answer to be read."""
        self._deadline.cancel()
        self._written = self._sent = True
        self.setRawMode()

    def _connect_late(self) -> None:
        if not self._over:
            self._dial.stop()  # _connect_failed follows

    def _connect_failed(self) -> None:
        self._deadline.cancel()
        self._over = True
        self._peers.attempts -= 1
        result = AttemptResult.CONNECT_FAILED if self._result is None else self._result
        # connectTCP may fail before it returns: the core must know of the attempt first.
        self._peers.reactor.callLater(0, self._peers.core.attempt_ended, self._context, result)

    def connectionMade(self) -> None:
        super().connectionMade()
        self._made = True
        if self._sent:
            return
        self._deadline.cancel()
        # To come up took its time: what was allowed when this was decided may not be any more.
        if not self._peers.core.may_send_attempt(self._context):
            self._give_up(AttemptResult.NOT_SENT)
            return
        self._deadline = self._peers.deadlines.at(self._expires, self._late)
        # As a pull producer, it is asked for more once the line's last byte was written: from then
        # on the request may have run.
        self.wire.registerProducer(self, False)
        # Now, not in the next turn: the client may leave in between, and a turn of many events takes long.
        flush(self.wire)

    def resumeProducing(self) -> None:
        if self._written:
            self.wire.unregisterProducer()
            self._mark_sent()
        elif self._result is not None:
            self.wire.unregisterProducer()
        else:
            self._written = True
            front = cast(OpeningFront, self._context.downstream)
            self.wire.write(front.opening_line(self._expires - self._peers.clock.now()))

    def _mark_sent(self) -> None:
        """The line is out; an answer that is read before the news of that shows it as well."""
        if not self._sent:
            self._sent = True
            self._peers.core.attempt_sent(self._context)

    def stopProducing(self) -> None:
        """The connection broke before the line was written."""

    def _late(self) -> None:
        self._give_up(AttemptResult.TIMEOUT)

    def abandon(self) -> None:
        self._give_up(AttemptResult.CANCELLED)

    def _give_up(self, result: AttemptResult) -> None:
        """Close the socket, unless something has settled the end already."""
        if self._over or self._result is not None:
            return
        self._result = result
        if self._made:
            self.wire.abortConnection()
        else:
            self._dial.stop()

    def lineReceived(self, line: memoryview) -> None:
        if self._result is not None:
            return
        word, _, rest = bytes(line).partition(b" ")
        if word == b"LOAD":
            return  # tells nothing before UP
        if self._written:
            self._mark_sent()
        if word == b"UP":
            self._deadline.cancel()
            # Whatever came behind the line in the same buffer goes along.
            self.receipt = bytes(line) + b"\r\n"
            self._early = self.setRawMode()
            self._peers.core.attempt_established(self._context, self)
            return
        results = {b"BYE": AttemptResult.OK, b"MOVE": AttemptResult.CANCELLED, b"BUSY": AttemptResult.FULL}
        self._result = results.get(word, AttemptResult.ERROR)  # ERR, or a line that no peer sends
        self._answer = bytes(line) + b"\r\n"
        self._report = parse_report(rest, self._peers.settings.policy.load_report_fields) if rest else ()
        self.wire.abortConnection()

    def lineLengthExceeded(self) -> None:
        self._give_up(AttemptResult.ERROR)

    def rawDataReceived(self, data: bytes) -> None:
        if self._relay is not None:
            self._relay.from_peer(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._deadline.cancel()
        self._over = True
        self._peers.attempts -= 1
        result = self._result
        if self._relay is not None:
            result = self._relay.peer_lost(was_reset(reason), network_failed(self.transport))
            self._relay = None  # which holds this attempt
        elif result is None:
            result = AttemptResult.RESET if self._sent else AttemptResult.CONNECT_FAILED
        if not self._detached:
            self._peers.core.attempt_ended(self._context, result, self._report, self._answer)

    # After UP.

    def join(self, relay: Relay) -> None:
        self._relay = relay
        if self._early:
            relay.from_peer(self._early)

    def detach(self) -> None:
        """The relay has ended this side: the module need not wait until the socket is closed."""
        if self._relay is not None and not self._detached:
            self._detached = True
            self._peers.core.attempt_ended(self._context, self._relay.result)


class HealthCheckConnection(LineProtocol):
    """A kept connection to a peer for its probes, one at a time; closes after a while without any."""

    def __init__(self, peers: UpstreamConnections, peer: str, endpoint: Address) -> None:
        super().__init__()
        self._peers, self.peer, self.endpoint = peers, peer, endpoint
        self._made = self._closed = self.busy = False
        self._asked = peers.clock.now()
        self._deadline: Timer | None = None
        self._dial = Dial(self, self._connect_failed)
        self._dial.begin(peers.reactor, endpoint)

    def probe(self) -> None:
        """Ask for a load report; the module asks again only after the answer."""
        self.busy, self._asked = True, self._peers.clock.now()
        self._set_deadline(PROBE_WAIT, self._late)
        if self._made:
            self.wire.write(b"STATS\r\n")

    def connectionMade(self) -> None:
        super().connectionMade()
        self._made = True
        if self.busy:
            self.wire.write(b"STATS\r\n")

    def lineReceived(self, line: memoryview) -> None:
        word, _, rest = bytes(line).partition(b" ")
        if not self.busy:
            self.close()  # an answer to nothing: the stream is out of step
        elif word == b"PONG":
            self._settle(AttemptResult.OK, parse_report(rest, self._peers.settings.policy.load_report_fields))
            self._set_deadline(self._peers.settings.idle_close, self.close)
        else:
            self._settle(AttemptResult.FULL if word == b"BUSY" else AttemptResult.ERROR)
            self.close()

    def lineLengthExceeded(self) -> None:
        self.close(AttemptResult.ERROR)

    def _late(self) -> None:
        self.close(AttemptResult.TIMEOUT if self._made else AttemptResult.CONNECT_FAILED)

    def _connect_failed(self) -> None:
        self._peers.reactor.callLater(0, self._dropped, AttemptResult.CONNECT_FAILED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._dropped(AttemptResult.RESET)

    def close(self, result: AttemptResult = AttemptResult.CANCELLED) -> None:
        """Close the socket; a probe that is out ends with this result."""
        if self._closed:
            return
        self._dropped(result)
        if self._made:
            self.wire.abortConnection()
        else:
            self._dial.stop()

    def _dropped(self, result: AttemptResult) -> None:
        if not self._closed:
            self._closed = True
            if self._deadline is not None:
                self._deadline.cancel()
            self._peers.dropped(self)
        self._settle(result)

    def _settle(self, result: AttemptResult, report: tuple[float, ...] = ()) -> None:
        """The one place that ends a probe."""
        if self.busy:
            self.busy = False
            self._peers.core.health_check_ended(
                self.peer, result, self._peers.clock.now() - self._asked, report
            )

    def _set_deadline(self, span: timedelta, call: Callable[[], None]) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = self._peers.deadlines.after(span, call)
