"""The pulse of each peer: how long its echoes take, and whether any come at all."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from stepflow.interface import SessionReportKind
from stepflow.logs import get_logger
from stepflow.node.core import Core, RequestContext
from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.upstreams.session_reports import LoadReportClassifier

log = get_logger()

NOTE_EVERY = timedelta(seconds=1)  # between two notes of late messages at one peer
HUNG = timedelta(seconds=2)  # a peer that echoes nothing on any connection for so long is held to hang


class Joined(Protocol):
    """A standing connection, as its peer's pulse sees it."""

    @property
    def context(self) -> RequestContext: ...

    def peer_hangs(self) -> None:
        """The peer answers nobody: end this connection."""


class EndpointLiveness:
    """What the connections that stand at one peer show together.

    A peer that hangs sends no FIN, and one connection alone tells little: a line goes out every 2 s
    only. All of a peer's connections together show within a second that nothing comes back. Only
    echoes count: a hung peer may go on telling loads.
    """

    def __init__(
        self,
        peer: str,
        clock: Clock,
        core: Core,
        deadlines: Timers,
        late: timedelta,
        notes: LoadReportClassifier,
        emptied: Callable[[], None],
    ) -> None:
        self._peer, self._clock, self._core, self._deadlines = peer, clock, core, deadlines
        self._notes = notes
        self.late, self._emptied = late, emptied
        self._joined: dict[Joined, None] = {}
        self._since = clock.now()  # when the echoes below began to be summed
        self._summed, self._count, self._slow = ZERO, 0, False
        self._waiting: timedelta | None = None  # when the first line went out since an echo
        self._waiter: Joined | None = None  # and for which connection
        self._deadline: Timer | None = None

    def join(self, connection: Joined) -> None:
        self._joined[connection] = None

    def leave(self, connection: Joined) -> None:
        """A connection ended; the last one takes the pulse along."""
        self._joined.pop(connection, None)
        if connection is self._waiter:  # what the peer closed, or its client left, will have no echo
            self._waiting = self._waiter = None
        if not self._joined:
            if self._deadline is not None:
                self._deadline.cancel()
            self._emptied()

    def told(self, connection: Joined, value: float) -> None:
        """The peer sent a `LOAD X` to this connection."""
        kind = self._notes.kind(self._peer, self._clock.now(), value)
        self._core.session_report(connection.context, kind, value)

    def asked(self, connection: Joined, now: timedelta) -> None:
        """A client's line went to the peer."""
        if self._waiting is None:
            self._waiting, self._waiter = now, connection
            if self._deadline is None:
                self._deadline = self._deadlines.at(now + NOTE_EVERY, self._check)

    def echoed(self, connection: Joined, took: timedelta) -> None:
        """A line came back after so long.

        As in the simulator, one connection a second notes it while messages take more than a third
        of the shortest message aim, and once more when they no longer do.
        """
        self._waiting = self._waiter = None
        now = self._clock.now()
        self._summed, self._count = self._summed + took, self._count + 1
        if now - self._since >= NOTE_EVERY:
            mean = self._summed / self._count
            slow = mean > self.late
            if slow or self._slow:
                self._note(connection, mean)
            self._since, self._summed, self._count, self._slow = now, ZERO, 0, slow

    def _note(self, connection: Joined, took: timedelta) -> None:
        self._core.session_report(
            connection.context, SessionReportKind.DELAY, took / timedelta(milliseconds=1)
        )

    def _check(self) -> None:
        """Look whether the peer still owes what it owed when this was set."""
        self._deadline = None
        if self._waiting is None:
            return
        now = self._clock.now()
        waited = now - self._waiting
        if waited >= HUNG:
            log.info("a peer answers none of its connections", connections=len(self._joined))
            self._waiting = self._waiter = None
            for connection in tuple(self._joined):
                connection.peer_hangs()
            return
        if waited >= NOTE_EVERY:  # tell the module early: it probes the peer, and sends less there
            self._slow = True
            self._note(next(iter(self._joined)), waited)
        due = self._waiting + (HUNG if waited >= NOTE_EVERY else NOTE_EVERY)
        self._deadline = self._deadlines.at(due, self._check)


class LivenessMonitor:
    """The pulses of all peers at which connections stand."""

    def __init__(
        self, clock: Clock, core: Core, deadlines: Timers, late: timedelta, notes: LoadReportClassifier
    ) -> None:
        self._clock, self._core, self._deadlines, self._late = clock, core, deadlines, late
        self._notes = notes
        self._pulses: dict[str, EndpointLiveness] = {}

    def update_latency_objective(self, late: timedelta) -> None:
        """Note messages that take longer than this."""
        self._late = late
        for pulse in self._pulses.values():
            pulse.late = late

    def join(self, connection: Joined) -> EndpointLiveness:
        """Count a connection in with its peer's others."""
        peer = connection.context.endpoint
        pulse = self._pulses.get(peer)
        if pulse is None:

            def emptied() -> None:
                self._pulses.pop(peer, None)

            pulse = EndpointLiveness(
                peer, self._clock, self._core, self._deadlines, self._late, self._notes, emptied
            )
            self._pulses[peer] = pulse
        pulse.join(connection)
        return pulse
