"""Carries out the policy's actions."""

from __future__ import annotations

from datetime import timedelta

from stepflow.interface import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    LogMessage,
    MigrateSession,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    TimerFired,
    WatchEndpointList,
)
from stepflow.logs import get_logger
from stepflow.node.core.attempts import AttemptRunner
from stepflow.node.core.event_queue import EventQueue
from stepflow.node.core.interfaces import Discovery, Upstream
from stepflow.node.core.requests import RequestTable
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers

log = get_logger()


class ActionHandlers:
    """One handler for each type of action.

    An action for a request that has been released in the meantime has no effect.
    """

    def __init__(
        self,
        requests: RequestTable,
        attempts: AttemptRunner,
        events: EventQueue,
        timers: Timers,
        counters: Counters,
    ) -> None:
        self._requests, self._attempts, self._events = requests, attempts, events
        self._timers, self._counters = timers, counters
        self._upstream: Upstream
        self._discovery: Discovery
        events.register(
            {
                StartAttempt: self._start_attempt,
                RejectRequest: self._reject_request,
                FailRequest: self._fail_request,
                CancelAttempt: self._cancel_attempt,
                MigrateSession: self.migrate_session,
                SetTimer: self._set_timer,
                StartHealthCheck: lambda action: self._upstream.start_health_check(action.endpoint),
                CloseIdleConnections: lambda action: self._upstream.close_idle(action.endpoint),
                WatchEndpointList: lambda action: self._discovery.watch(action.enabled),
                FetchEndpointList: lambda action: self._discovery.fetch(),
                SendPeerMessage: lambda action: None,  # there is no connection between nodes
                LogMessage: lambda action: log.info("policy message", text=action.text),
            }
        )

    def connect(self, upstream: Upstream, discovery: Discovery) -> None:
        """Set the components that carry out actions. Call once, before the first event."""
        self._upstream, self._discovery = upstream, discovery

    def migrate_session(self, action: MigrateSession) -> None:
        """Migrate an established session to another endpoint."""
        context = self._requests.get(action.request_id)
        if context is not None and context.established:
            self._counters.moved += 1
            context.downstream.migrate()

    def _start_attempt(self, action: StartAttempt) -> None:
        context = self._requests.get(action.request_id)
        if context is not None:
            self._attempts.start(context, str(action.endpoint), action.timeout_us)

    def _reject_request(self, action: RejectRequest) -> None:
        context = self._requests.get(action.request_id)
        if context is not None:
            self._requests.reject(context, timedelta(microseconds=action.retry_after_us))

    def _fail_request(self, action: FailRequest) -> None:
        context = self._requests.get(action.request_id)
        if context is not None:
            self._requests.fail(context)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        context = self._requests.get(action.request_id)
        if context is None or context.established or context.attempt is None:
            return
        if action.attempt == context.attempts - 1:
            context.attempt.abandon()

    def _set_timer(self, action: SetTimer) -> None:
        event = TimerFired(action.token)
        self._timers.after(timedelta(microseconds=action.delay_us), lambda: self._events.post(event))
