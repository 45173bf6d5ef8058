"""Graceful shutdown after SIGTERM: the process hands over or migrates its sessions, answers, and exits.

Responsible for the order of those steps; shutdown_schedule.py computes when each is due, and docs/endings.md
lists what clients and endpoints must receive at each. Owns the session offers that the successor has not
answered yet. Points in time are timedeltas of the node's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from functools import partial
from typing import NamedTuple, Protocol, cast

from stepflow.logs import get_logger
from stepflow.node.clients.connection import ClientConnection
from stepflow.node.clients.factory import ClientFactory
from stepflow.node.clients.listener import ClientListener
from stepflow.node.core import Core, RequestContext
from stepflow.node.process.handover import Handover
from stepflow.node.process.shutdown_schedule import (
    MIGRATION_START_SHARE,
    ShutdownSchedule,
    migration_delays,
    shutdown_schedule,
)
from stepflow.node.relay.closing import LINGER_TIMEOUT
from stepflow.node.runtime.clock import ZERO, Clock, millis
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.turn_budget import TurnBudget

log = get_logger()

OFFER_INTERVAL = timedelta(milliseconds=20)  # between two passes over the sessions to offer
# While a session is offered, neither process reads its connections; the end of one of them that arrives
# meanwhile has to be relayed within a second.
OFFER_TIMEOUT = LINGER_TIMEOUT
MAX_OPEN_OFFERS = 32  # each open offer holds two descriptors in both processes
CLIENTS_CHECK_INTERVAL = timedelta(milliseconds=50)  # between checks whether all clients have disconnected


class OpenOffer(NamedTuple):
    """An offered session that the successor has not answered yet."""

    context: RequestContext
    made_at: timedelta


class StoppableProcess(Protocol):
    """The interface that the shutdown needs from its process."""

    @property
    def name(self) -> str:
        """Return the node's name, for the log."""

    def longest_deadline(self) -> timedelta:
        """Return the longest deadline of any request class in the current settings."""

    def stop(self) -> None:
        """Stop the reactor; later calls have no effect."""


class Shutdown:
    """Runs the graceful shutdown of the process, at most once."""

    def __init__(
        self,
        process: StoppableProcess,
        core: Core,
        clients: ClientFactory,
        clock: Clock,
        timers: Timers,
        handover: Handover,
    ) -> None:
        self._process, self._core, self._clients = process, core, clients
        self._clock, self._timers, self._handover = clock, timers, handover
        self.has_begun = self._in_last_phase = False
        self._listener_closing = self._listener_closed = False
        self._signalled_at = ZERO
        self._offers: dict[int, OpenOffer] = {}  # by offer number
        self._offer_count = 0
        self._sent_complete = False

    def begin(self, signalled_at: timedelta, listener: ClientListener | None) -> None:
        """Begin the shutdown; later calls have no effect.

        All steps are timed from `signalled_at`, when the signal arrived: a busy process handles it late.
        Without a listener the process has accepted no client yet, so it has no request to answer and stops at
        once.
        """
        if self.has_begun:
            return
        self.has_begun, self._signalled_at = True, signalled_at
        log.info(
            "shutdown started", connections=len(self._core.established_sessions()), node=self._process.name
        )
        if listener is None:
            self._process.stop()
            return
        self._listener = listener
        self._timers.at(signalled_at + self._schedule().sessions_end, self._end_sessions)
        self._handover.refuse_successors()
        self._check_successor()

    def time_left(self) -> timedelta:
        """Return the time until the process has to exit; negative once that is past."""
        return self._signalled_at + self._schedule().exit - self._clock.now()

    def _schedule(self) -> ShutdownSchedule:
        return shutdown_schedule(self._process.longest_deadline())

    # Shutdown with a successor.

    def _check_successor(self) -> None:
        """Keep serving until the successor serves, or until `listener_end` if there is no successor.

        A connected successor may still be starting, so its state is checked every `OFFER_INTERVAL`.
        """
        if self._in_last_phase:
            return
        if not self._handover.has_successor:
            self._core.prepare_migrations()
            listener_end = self._signalled_at + self._schedule().listener_end
            self._timers.at(listener_end, self._shut_down_without_successor)
        elif not self._handover.successor_serves:
            self._timers.after(OFFER_INTERVAL, self._check_successor)
        else:
            # The successor accepts from the same kernel queue; clients that this process has accepted stay
            # here. The listener stays open in this process too, without being read: otherwise the queue
            # would be lost with a successor that dies.
            self._listener.stop_accepting()
            log.info("stopped accepting clients", node=self._process.name)
            self._offer_sessions()
            self._stop_once_clients_are_gone()

    def _offer_sessions(self) -> None:
        """Offer sessions to the successor, at most `MAX_OPEN_OFFERS` at a time.

        Runs again every `OFFER_INTERVAL`, also for sessions that are established later.
        """
        if self._in_last_phase:
            return
        if not self._handover.has_successor:
            self._withdraw_offers()
            self._shut_down_without_successor()
            return
        self._withdraw_overdue_offers()
        for context in self._core.established_sessions():
            if len(self._offers) >= MAX_OPEN_OFFERS:
                break
            session = cast(ClientConnection, context.downstream).prepare_transfer()
            if session is not None:
                self._offer_count += 1
                self._offers[self._offer_count] = OpenOffer(context, self._clock.now())
                self._handover.offer_session(self._offer_count, session)
        if not self._sent_complete and not self._core.established_sessions():
            self._sent_complete = True
            self._handover.send_sessions_complete()
        self._timers.after(OFFER_INTERVAL, self._offer_sessions)

    def _withdraw_offers(self) -> None:
        """Treat every open offer as refused: its answer will not come, or not in time."""
        for number in tuple(self._offers):
            self.session_answered(number, False)

    def _withdraw_overdue_offers(self) -> None:
        """Migrate the sessions whose offers have been open for `OFFER_TIMEOUT`.

        A successor that adopts such a session afterwards finds both of the session's connections ended.
        """
        now = self._clock.now()
        for number, offer in tuple(self._offers.items()):
            if now - offer.made_at >= OFFER_TIMEOUT:
                self.session_answered(number, False)

    def session_answered(self, number: int, accepted: bool) -> None:
        """Handle the successor's answer to an offer; a session that it refuses is migrated."""
        offer = self._offers.pop(number, None)
        if offer is not None:
            cast(ClientConnection, offer.context.downstream).transfer_answered(accepted)
            if not accepted:
                self._core.migrate(offer.context)

    # Shutdown without a successor.

    def _shut_down_without_successor(self) -> None:
        """Reject pending requests, close the listener, and migrate the sessions to other nodes."""
        if self._in_last_phase:
            return
        self._core.reject_pending()
        self._core.prepare_migrations()
        self._close_listener()
        # A session is served here until it is migrated, and a client that is migrated early may find no other
        # node: in a rolling restart, the nodes that restarted earlier may still be starting, but are back
        # before this one exits. So the migrations extend to the end of the time left.
        left = self._signalled_at + self._schedule().sessions_end - self._clock.now()
        sessions = self._core.established_sessions()
        delays = migration_delays(left, len(sessions), MIGRATION_START_SHARE)
        for delay, context in zip(delays, sessions, strict=True):
            self._timers.after(delay, partial(self._core.migrate, context))

    def _close_listener(self) -> None:
        """Close the listener, after accepting all clients in its queue unless a successor does so."""
        if self._listener_closing:
            return
        self._listener_closing = True
        if self._handover.successor_serves:  # `_check_successor` has logged the event
            self._listener.close_now()
            self._listener_closed = True
        else:
            self._listener.close_gracefully(partial(self._listener_drained, self._clock.now()))

    def _listener_drained(self, since: timedelta) -> None:
        """Record that all clients in the listener's queue are accepted, and that the listener is closed."""
        self._listener_closed = True
        drain_ms = millis(self._clock.now() - since)
        log.info("stopped accepting clients", node=self._process.name, drain_ms=drain_ms)

    # The last phase.

    def _end_sessions(self) -> None:
        """Answer the remaining requests and migrate the remaining sessions, then stop.

        The process stops once all clients have disconnected, and at `exit` at the latest.
        """
        self._in_last_phase = True
        self._withdraw_offers()
        self._core.answer_pending()
        self._close_listener()
        self._migrate_remaining(iter(self._core.established_sessions()))
        self._reject_unopened()
        self._timers.at(self._signalled_at + self._schedule().exit, self._process.stop)
        self._stop_once_clients_are_gone()

    def _migrate_remaining(self, sessions: Iterator[RequestContext]) -> None:
        """Migrate these sessions, within the budget of one turn; the rest in later turns."""
        budget = TurnBudget()
        for context in sessions:
            self._core.migrate(context)
            if budget.is_spent:
                self._timers.after(ZERO, partial(self._migrate_remaining, sessions))
                return

    def _reject_unopened(self) -> None:
        """Reject the clients that have not sent a request, also those that the listener still accepts."""
        some_are_left = self._clients.reject_unopened()
        self._timers.after(ZERO if some_are_left else CLIENTS_CHECK_INTERVAL, self._reject_unopened)

    def _stop_once_clients_are_gone(self) -> None:
        if self._clients.open_connections or (self._listener_closing and not self._listener_closed):
            self._timers.after(CLIENTS_CHECK_INTERVAL, self._stop_once_clients_are_gone)
        else:
            self._process.stop()
