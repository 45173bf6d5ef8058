"""The relay of an established session: forwards bytes between a client and its endpoint, after UP.

The relay forwards bytes as they arrive, without waiting for whole lines, and scans the lines for echoes, load
reports and the words that end a session. Only a client that is to be migrated gets whole lines alone
(`endpoint_lines.py`). The relay owns both sockets until they are closed; `result` says how the session ended.
Times are those of the node's clock. Nothing here raises an exception. Source: PROTOCOL,
"Figures".
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.interface import AttemptResult
from stepflow.node.core import RequestContext
from stepflow.node.relay.backpressure import Backpressure
from stepflow.node.relay.client_stall import ClientStallWatch
from stepflow.node.relay.closing import LAST_LINE_TIMEOUT, LINGER_TIMEOUT, SessionSide
from stepflow.node.relay.endpoint_lines import EndpointLines
from stepflow.node.relay.endpoint_words import read_words
from stepflow.node.relay.pending_echoes import ECHO_TIMEOUT, PendingEchoes
from stepflow.node.relay.services import RelayServices, RelaySide, TransferState
from stepflow.node.runtime.connection_log import Side
from stepflow.node.runtime.lines import LineBlocks, count_lines
from stepflow.node.runtime.session_log import EndCause, EndedBy, SideLog
from stepflow.node.runtime.timers import Timer
from stepflow.node.runtime.transports import (
    Transport,
    end_is_held,
    has_ended,
    read_pending,
    release_without_shutdown,
    unsent_bytes,
)

MIGRATE_LINE = b"MOVE\r\n"


class Relay:
    """Joins a client and its endpoint from UP until the session ends, is migrated or is handed over.

    `on_ended` is called once, when the session has ended and its connections remain to be closed; it is not
    called after a hand-over. The protocols on both sides have to drop their reference to the relay in
    `connectionLost`: the relay refers to both, so that reference counting alone would free none of the three.
    """

    def __init__(
        self,
        context: RequestContext,
        client: RelaySide,
        upstream: RelaySide,
        services: RelayServices,
        on_ended: Callable[[], None],
    ) -> None:
        self.context = context
        self._clock, self._timers, self._counters = services.clock, services.timers, services.counters
        self._on_ended, self._log = on_ended, services.log
        self._client_lines, self._upstream_lines = LineBlocks(), EndpointLines()
        self._pending_echoes = PendingEchoes()
        self._echo_timer: Timer | None = None
        self._line_timer: Timer | None = None  # limits a migration's wait for the end of a line
        self._client = self._side(client.tcp_transport, upstream.tcp_transport, Side.CLIENT)
        self._upstream = self._side(upstream.tcp_transport, client.tcp_transport, Side.ENDPOINT)
        self._client_stall = ClientStallWatch(
            client.tcp_transport, upstream.tcp_transport, self._clock, self._timers, self._client_stalled
        )
        self._migrating = self._finished = self._offered = False
        self.result = AttemptResult.RESET  # replaced on BYE, MOVE, client end, `migrate` and hand-over
        self._liveness = services.liveness.add(self)
        # Reading from each side pauses while the other side's buffer is full.
        producer = Backpressure(upstream.tcp_transport, self._client_stall.buffer_full_changed)
        self._client.tcp_transport.registerProducer(producer, True)
        self._upstream.tcp_transport.registerProducer(Backpressure(client.tcp_transport), True)

    def _side(self, tcp_transport: Transport, source: Transport, side: Side) -> SessionSide:
        log = SideLog(self._log, self.context, side)
        return SessionSide(tcp_transport, source, self._clock, self._timers, log)

    # Data. It is forwarded as long as the other side accepts it, even after the session has ended.

    def data_from_client(self, data: bytes) -> None:
        """Forward data to the endpoint, and time each of its lines until its echo."""
        if self._upstream.accepts_data:
            self._upstream.tcp_transport.write(data)
        if self._finished:
            return
        if lines := count_lines(self._client_lines.feed(data)):
            now = self._clock.now()
            self._pending_echoes.add(now, lines)
            self._liveness.line_sent(self, now)
        if self._client_lines.overlong:
            self._end_malformed()
            return
        oldest = self._pending_echoes.oldest
        if oldest is not None and self._echo_timer is None:
            self._echo_timer = self._timers.at(oldest + ECHO_TIMEOUT, self._check_echo)

    def data_from_upstream(self, data: bytes) -> None:
        """Forward data to the client, and process its lines."""
        if self._finished:
            self._write_to_client(data)
            return
        lines = self._upstream_lines.feed(data)
        self._write_to_client(self._upstream_lines.take_forwardable())
        if lines:
            self._process_upstream_lines(lines)
        if self._finished:
            return
        if self._upstream_lines.overlong:
            self._end_malformed()
        elif self._migrating and self._upstream_lines.client_is_between_lines:
            self._migrate_now()

    def _write_to_client(self, data: bytes) -> None:
        if data and self._client.accepts_data:
            self._client.tcp_transport.write(data)

    def _process_upstream_lines(self, lines: bytes) -> None:
        words = read_words(lines)
        for load in words.loads:
            if self._finished:  # a report may have led to a migration
                return
            self._liveness.load_received(self, load)
        if words.result is not None:
            self.result = words.result
        echoes = self._pending_echoes.echo(self._clock.now(), words.other_lines)
        if echoes.lines:
            self._liveness.echo_received(self, echoes.latency_sum, echoes.lines)

    def _end_malformed(self) -> None:
        """Reset both sides after an overlong line: its sender does not speak this protocol."""
        self._counters.malformed += 1
        self._end(EndedBy.NODE, EndCause.MALFORMED)
        self._upstream.send_reset()
        self._client.send_reset()

    def _client_stalled(self, endpoint_ended: bool) -> None:
        """Reset a client that has stopped reading, and end its endpoint's connection."""
        if endpoint_ended:
            self._end_by_endpoint(EndCause.CLIENT_STALLED)
        else:
            self._counters.evicted += 1
            self._end(EndedBy.NODE, EndCause.CLIENT_STALLED)
        self._upstream.send_fin()
        self._client.reset_now()

    # Echo timeout.

    def _check_echo(self) -> None:
        """Migrate the session if the oldest pending line has timed out; else check again when it is due."""
        self._echo_timer = None
        oldest = self._pending_echoes.oldest
        if self._finished or self._offered or oldest is None:
            return
        due = oldest + ECHO_TIMEOUT
        if due > self._clock.now():
            self._echo_timer = self._timers.at(due, self._check_echo)
            return
        self.endpoint_stalled()

    def endpoint_stalled(self) -> None:
        """Migrate the client: a hung endpoint sends no FIN, and its client would wait forever.

        The endpoint may never complete its line, so the wait for that is limited. A client that has received
        a part of it is then ended by a FIN alone.
        """
        if self._finished or self._offered:
            return
        if not self._migrating:
            self._counters.broken += 1
            self._migrate_between_lines()
        self._limit_wait(LINGER_TIMEOUT)

    # Migration.

    def prepare_migration(self) -> None:
        """Forward whole lines only from now on, since the session will soon be migrated."""
        if not self._finished:
            self._upstream_lines.hold_half_lines()

    def migrate(self) -> None:
        """Migrate the session: now if the client is between two lines, else at the end of its line.

        The session goes on until then: an endpoint that stops in the middle of a line is detected as hung. A
        second call limits the wait, since the process is about to exit.
        """
        if self._finished or self._offered:
            return
        if self._migrating:
            self._limit_wait(LAST_LINE_TIMEOUT)
            return
        if has_ended(self._client.tcp_transport):  # its end is relayed instead, after its last data
            return
        self.result = AttemptResult.CANCELLED
        self._migrate_between_lines()

    def _migrate_between_lines(self) -> None:
        # MOVE is the last line that the client reads, so the lines that the endpoint wrote before go first.
        self._upstream_lines.hold_half_lines()
        for data in read_pending(self._upstream.tcp_transport):
            self.data_from_upstream(data)
        if self._finished:
            return
        self._migrating = True
        if self._upstream_lines.client_is_between_lines:
            self._migrate_now()

    def _limit_wait(self, timeout: timedelta) -> None:
        """End the session after this time if it is still waiting for the end of a line."""
        if not self._finished and self._line_timer is None:
            self._line_timer = self._timers.after(timeout, self._migrate_now)

    def _migrate_now(self) -> None:
        if self._finished:
            return
        if self._upstream_lines.client_is_between_lines:
            self._upstream_lines.take_held()  # its rest will not be forwarded
            self._client.tcp_transport.write(MIGRATE_LINE)
        else:
            lines = self._upstream_lines
            self._log.cut_within_line(self.context, lines.lines_since_hold, len(lines.half_line))
        self._end(EndedBy.NODE, EndCause.MIGRATION)
        self._client.send_fin()
        self._upstream.send_fin()

    # Hand-over to another process.

    def prepare_transfer(self) -> TransferState | None:
        """Stop reading and return the session's state; None if data is unsent or the session is ending."""
        if self._finished or self._migrating or self._offered:
            return None
        client, upstream = self._client.tcp_transport, self._upstream.tcp_transport
        if any(unsent_bytes(transport) or end_is_held(transport) for transport in (client, upstream)):
            return None
        self._offered = True
        client.pauseProducing()
        upstream.pauseProducing()
        return TransferState(
            client.fileno(),
            upstream.fileno(),
            self._client_lines.half_line,
            self._upstream_lines.half_line,
            len(self._pending_echoes),
        )

    def transfer_answered(self, accepted: bool) -> None:
        """Close this process's copies of the sockets if the other process took them; else resume."""
        if self._finished or not self._offered:
            return
        self._offered = False
        if accepted:
            self.result = AttemptResult.CANCELLED
            self._end(EndedBy.NODE, EndCause.TRANSFER, notify=False)
            for side in (self._client, self._upstream):
                side.closed()  # closing the first must not end the second
                side.tcp_transport.unregisterProducer()
            for side in (self._client, self._upstream):
                release_without_shutdown(side.tcp_transport)
        else:
            self._client.tcp_transport.resumeProducing()
            self._upstream.tcp_transport.resumeProducing()

    def restore_transferred(self, from_client: bytes, from_upstream: bytes, owed: int) -> None:
        """Restore the predecessor's half lines and its number of pending echoes."""
        self._client_lines.feed(from_client)
        self._upstream_lines.restore_half_line(from_upstream)
        now = self._clock.now()
        self._pending_echoes.add(now, owed)
        if owed > 0:
            self._liveness.line_sent(self, now)
            self._echo_timer = self._timers.at(now + ECHO_TIMEOUT, self._check_echo)

    # Ends of connections. Each is relayed after the data that came before it.

    def client_ended(self) -> None:
        """Relay the client's FIN; data from the endpoint is forwarded until the endpoint ends too."""
        self._end_by_client(EndCause.FIN)
        self._upstream.send_fin()
        self._client.input_ended()

    def client_lost(self, reset: bool) -> None:
        """End the endpoint's connection in the same way as the client's, which is closed."""
        self._end_by_client(EndCause.RESET if reset else EndCause.FIN)
        self._client.closed()
        if reset:
            self._upstream.send_reset()
        else:
            self._upstream.send_fin()

    def _end_by_client(self, cause: EndCause) -> None:
        if not self._finished:
            self.result = AttemptResult.CANCELLED
            self._end(EndedBy.CLIENT, cause)

    def upstream_ended(self) -> None:
        """Relay the endpoint's FIN; data from the client is forwarded until the client ends too."""
        self._end_by_endpoint(EndCause.FIN)
        self._client.send_fin()
        self._upstream.input_ended()

    def upstream_lost(self, reset: bool, network_failed: bool) -> AttemptResult:
        """End the client's connection in the same way as the endpoint's, which is closed; return the result.

        After a network failure the endpoint itself has not ended the connection, so the client is migrated if
        it has received whole lines only.
        """
        self._upstream.closed()
        migrates = not self._finished and network_failed and self._upstream_lines.client_is_between_lines
        if migrates:
            self._upstream_lines.take_held()
            self._counters.moved += 1
            self._client.tcp_transport.write(MIGRATE_LINE)
        self._end_by_endpoint(
            EndCause.NETWORK if network_failed else EndCause.RESET if reset else EndCause.FIN
        )
        if reset and not migrates:
            self._client.send_reset()
        else:
            self._client.send_fin()
        return self.result

    def _end_by_endpoint(self, cause: EndCause) -> None:
        if not self._finished:
            if self.result == AttemptResult.RESET:
                self._counters.broken += 1
            self._end(EndedBy.ENDPOINT, cause)

    def _end(self, by: EndedBy, cause: EndCause, notify: bool = True) -> None:
        """End the session, whatever the cause; the caller then ends its connections."""
        self._log.ended(self.context, by, cause)
        self._finished = True
        self._write_to_client(self._upstream_lines.take_held())
        for timer in (self._echo_timer, self._line_timer):
            if timer is not None:
                timer.cancel()
        self._client_stall.stop()
        self._liveness.remove(self)
        if notify:
            self._on_ended()
