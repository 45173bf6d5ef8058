"""Attempts, each on a connection of its own."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol, cast

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.core import RequestContext
from stepflow.node.relay import Relay
from stepflow.node.runtime.lines import LineProtocol, was_reset
from stepflow.node.runtime.transports import flush
from stepflow.node.upstreams.connection import network_failed
from stepflow.node.upstreams.dialer import Dial
from stepflow.node.upstreams.load_report import parse_report

if TYPE_CHECKING:
    from stepflow.node.upstreams.pool import UpstreamConnections


class OpeningFront(Protocol):
    """A front that speaks lines."""

    def opening_line(self, wait: timedelta) -> bytes: ...


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
