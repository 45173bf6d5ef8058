"""Graceful shutdown after SIGTERM: the process passes or migrates its sessions, answers, and exits.

Responsible for the order of those steps (shutdown_schedule.py has their moments, docs/endings.md what is owed
at each). Owns the offers that the successor has not answered yet. Moments are timedeltas of the node's clock.
"""

from __future__ import annotations

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
from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.timers import Timers

log = get_logger()

OFFER_INTERVAL = timedelta(milliseconds=20)  # between two looks for sessions that a successor can have
# Nobody reads a session while it is offered, and an end that comes meanwhile is owed within a second.
OFFER_TIMEOUT = LINGER_TIMEOUT
MAX_OPEN_OFFERS = 32  # each holds two descriptors in both processes until it is answered
CLIENTS_CHECK_INTERVAL = timedelta(milliseconds=50)  # whether all have read their answer


class OpenOffer(NamedTuple):
    """A session that the successor has not answered for."""

    context: RequestContext
    made_at: timedelta


class StoppableProcess(Protocol):
    """What the shutdown needs of its process."""

    @property
    def name(self) -> str:
        """The node's name, for the log."""

    def longest_deadline(self) -> timedelta:
        """The longest deadline of a class, as the settings have it now."""

    def stop(self) -> None:
        """Stop the reactor; may be called again."""


class Shutdown:
    """Ends the process in order, once."""

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
        self.has_begun = self._ending = self._listener_closed = False
        self._signalled_at = ZERO
        self._offers: dict[int, OpenOffer] = {}  # by the numbers of the offers
        self._offer_count = 0
        self._sent_complete = False

    def begin(self, signalled_at: timedelta, listener: ClientListener | None) -> None:
        """Begin the shutdown; all moments count from the signal, which a busy process hears of late.

        Without a listener no client was accepted yet, and nothing is owed.
        """
        if self.has_begun:
            return
        self.has_begun, self._signalled_at = True, signalled_at
        log.info("leaves", connections=len(self._core.established_sessions()), node=self._process.name)
        if listener is None:
            self._process.stop()
            return
        self._listener = listener
        self._timers.at(signalled_at + self._schedule().sessions_end, self._end_sessions)
        self._handover.stop_waiting()
        self._begin_with_or_without_successor()

    def time_left(self) -> timedelta:
        """Until the process has to be gone; below zero once that is past."""
        return self._signalled_at + self._schedule().exit - self._clock.now()

    def _schedule(self) -> ShutdownSchedule:
        return shutdown_schedule(self._process.longest_deadline())

    # With a successor.

    def _begin_with_or_without_successor(self) -> None:
        """Serve on for a while, or until the successor does: it may still be starting."""
        if self._ending:
            return
        if not self._handover.has_successor:
            listener_end = self._signalled_at + self._schedule().listener_end
            self._timers.at(listener_end, self._shut_down_without_successor)
        elif not self._handover.successor_serves:
            self._timers.after(OFFER_INTERVAL, self._begin_with_or_without_successor)
        else:
            # It accepts from the same queue; whoever was accepted here is still served here. The listener
            # stays open in this process too, unread: its queue would go with a successor that dies.
            self._listener.stop_accepting()
            log.info("listens no more", node=self._process.name)
            self._offer_sessions()
            self._stop_without_clients()

    def _offer_sessions(self) -> None:
        """Offer sessions to the successor, some at a time, and look again for those established later."""
        if self._ending:
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
        """Go on with the offered sessions: no answer will come, or none in time."""
        for number in tuple(self._offers):
            self.session_answered(number, False)

    def _withdraw_overdue_offers(self) -> None:
        """Migrate what the successor is too slow for; should it adopt that yet, it finds both sides ended."""
        now = self._clock.now()
        for number, offer in tuple(self._offers.items()):
            if now - offer.made_at >= OFFER_TIMEOUT:
                self.session_answered(number, False)

    def session_answered(self, number: int, accepted: bool) -> None:
        """The successor has answered the offer of this number; a session that it refuses is migrated."""
        offer = self._offers.pop(number, None)
        if offer is not None:
            cast(ClientConnection, offer.context.downstream).transfer_answered(accepted)
            if not accepted:
                self._core.migrate(offer.context)

    # Without one.

    def _shut_down_without_successor(self) -> None:
        """With nobody to take over: the clients go to other nodes."""
        if self._ending:
            return
        self._core.reject_pending()
        self._close_listener()
        # A session is served here until it is migrated, and its client may find no other node: those of a
        # fleet that restarts in turn are back before this one's end. So the migrations take all the time
        # there is.
        left = self._signalled_at + self._schedule().sessions_end - self._clock.now()
        sessions = self._core.established_sessions()
        delays = migration_delays(left, len(sessions), MIGRATION_START_SHARE)
        for delay, context in zip(delays, sessions, strict=True):
            self._timers.after(delay, partial(self._core.migrate, context))

    def _close_listener(self) -> None:
        """Accept all that wait in the kernel, unless a successor does, and nobody from then on."""
        if self._listener_closed:
            return
        self._listener_closed = True
        if self._handover.successor_serves:  # and the log has said that this process listens no more
            self._listener.close_now()
        else:
            self._listener.close_gracefully(lambda: log.info("listens no more", node=self._process.name))

    # The end.

    def _end_sessions(self) -> None:
        """Answer and migrate whoever is left; stop once the last clients have read that."""
        self._ending = True
        self._withdraw_offers()
        self._core.answer_pending()
        self._close_listener()
        self._clients.reject_unopened()
        for context in self._core.established_sessions():
            self._core.migrate(context)
        self._timers.at(self._signalled_at + self._schedule().exit, self._process.stop)
        self._stop_without_clients()

    def _stop_without_clients(self) -> None:
        if self._clients.open_connections:
            self._timers.after(CLIENTS_CHECK_INTERVAL, self._stop_without_clients)
        else:
            self._process.stop()
