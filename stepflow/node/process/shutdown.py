"""The life of a process after SIGTERM: it serves on, hands its sessions over or moves them, and answers.

`leaving.py` says when; docs/endings.md says what is owed at each moment.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import cast

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
from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.timers import Timers

log = get_logger()

PASS_EVERY = timedelta(milliseconds=20)  # between two looks for sessions that a successor can have
MOST_OFFERED = 32  # at a time: each holds two descriptors in both processes until it is answered
LOOK_EVERY = timedelta(milliseconds=50)  # whether all have been read


class Shutdown:
    """Ends the process in order, once; `stop` is called at its end."""

    def __init__(
        self,
        name: str,
        core: Core,
        factory: ClientFactory,
        clock: Clock,
        deadlines: Timers,
        handover: Handover,
        longest_deadline: Callable[[], timedelta],
        stop: Callable[[], None],
    ) -> None:
        self._name, self._core, self._factory, self._clock = name, core, factory, clock
        self._deadlines, self._handover, self._stop = deadlines, handover, stop
        self._longest_deadline = longest_deadline
        self.begun = self._ending = self._listener_closed = False
        self._told = ZERO  # when the signal came
        self._offered: dict[int, RequestContext] = {}  # sessions on their way to the successor
        self._offers = 0
        self._told_all = False

    def begin(self, told: timedelta, listener: ClientListener | None) -> None:
        """Leave in order; all moments count from when the signal came, which a busy process hears of late.

        Without a listener nobody was taken yet, and nothing is owed.
        """
        if self.begun:
            return
        self.begun, self._told = True, told
        log.info("leaves", connections=len(self._core.established_sessions()), node=self._name)
        if listener is None:
            self._stop()
            return
        self._listener = listener
        self._deadlines.at(told + self._plan().end, self._end)
        self._handover.leave()
        self._give_over()

    def time_left(self) -> timedelta:
        """Until the process has to be gone; below zero once that is past."""
        return self._told + self._plan().stop - self._clock.now()

    def _plan(self) -> ShutdownSchedule:
        return shutdown_schedule(self._longest_deadline())

    # With a successor.

    def _give_over(self) -> None:
        """Serve on for a while, or until the successor does: it holds the listener, but may be half begun."""
        if self._ending:
            return
        if not self._handover.has_successor:
            self._deadlines.at(self._told + self._plan().shut, self._leave)
        elif not self._handover.successor_serves:
            self._deadlines.after(PASS_EVERY, self._give_over)
        else:
            # It accepts from the same queue; whoever was accepted here is still heard here. The listener
            # stays open in this process too, unheard: its queue would go with a successor that dies.
            self._listener.stop_accepting()
            log.info("listens no more", node=self._name)
            self._pass_on()
            self._look()

    def _pass_on(self) -> None:
        """Offer what stands to the successor, some at a time, and look again for what comes up later."""
        if self._ending:
            return
        if not self._handover.has_successor:
            self._take_back()
            self._leave()
            return
        for context in self._core.established_sessions():
            if len(self._offered) >= MOST_OFFERED:
                break
            session = cast(ClientConnection, context.downstream).offer()
            if session is not None:
                self._offers += 1
                self._offered[self._offers] = context
                self._handover.pass_on(self._offers, session, session["client"], session["peer"])
        if not self._told_all and not self._core.established_sessions():
            self._told_all = True
            self._handover.passed_all()
        self._deadlines.after(PASS_EVERY, self._pass_on)

    def _take_back(self) -> None:
        """Go on with what was offered: no answer will come, or none in time."""
        for number in tuple(self._offered):
            self.taken(number, False)

    def taken(self, number: int, by_other: bool) -> None:
        """What the successor made of the session that was offered under this number."""
        context = self._offered.pop(number, None)
        if context is not None:
            cast(ClientConnection, context.downstream).taken(by_other)
            if not by_other:
                self._core.migrate(context)

    # Without one.

    def _leave(self) -> None:
        """With nobody to take over: the clients go to other nodes."""
        if self._ending:
            return
        self._core.reject_pending()
        self._close_listener()
        # A session is served here until it is moved, and its client may find no other node: those of a fleet
        # that restarts in turn are back before this one's end. So the moves take all the time there is.
        left = self._told + self._plan().end - self._clock.now()
        standing = self._core.established_sessions()
        waits = migration_delays(left, len(standing), MIGRATION_START_SHARE)
        for wait, context in zip(waits, standing, strict=True):
            self._deadlines.after(wait, lambda context=context: self._core.migrate(context))  # type: ignore[misc]

    def _close_listener(self) -> None:
        """Take all that the kernel has accepted, unless a successor does, and nothing from then on."""
        if self._listener_closed:
            return
        self._listener_closed = True
        if self._handover.successor_serves:  # and the log has said that this process listens no more
            self._listener.close_now()
        else:
            self._listener.close_gracefully(lambda: log.info("listens no more", node=self._name))

    # The end.

    def _end(self) -> None:
        """Answer and move whoever is left; stop once the last clients have read that."""
        self._ending = True
        self._take_back()
        self._core.answer_pending()
        self._close_listener()
        self._factory.reject_unopened()
        for context in self._core.established_sessions():
            self._core.migrate(context)
        self._deadlines.at(self._told + self._plan().stop, self._stop)
        self._look()

    def _look(self) -> None:
        if self._factory.open_connections:
            self._deadlines.after(LOOK_EVERY, self._look)
        else:
            self._stop()
