"""Health checks on kept connections."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.runtime.lines import LineProtocol
from stepflow.node.runtime.timers import Timer
from stepflow.node.upstreams.dialer import Dial
from stepflow.node.upstreams.load_report import parse_report

if TYPE_CHECKING:
    from stepflow.node.upstreams.pool import UpstreamConnections


PROBE_WAIT = timedelta(milliseconds=250)  # the most that a probe waits for its answer


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
