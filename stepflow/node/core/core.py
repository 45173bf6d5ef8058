"""The core's interface for the rest of the node.

`Core` takes in what clients, attempts, health checks and discovery bring, and turns it into the policy's
events. It owns the requests (`RequestTable`), their attempts (`AttemptRunner`) and the policy's input
(`EventQueue`); the policy's actions are carried out by `ActionHandlers`. All of it runs in the reactor's
thread.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from stepflow.interface import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    HealthCheckEnded,
    ListUpdateKind,
    MigrateSession,
    Request,
    SessionAdopted,
    SessionReport,
    SessionReportKind,
    Settings,
    Started,
)
from stepflow.node.core.action_handlers import ActionHandlers
from stepflow.node.core.attempts import AttemptRunner
from stepflow.node.core.event_queue import EventQueue, EventRecorder
from stepflow.node.core.interfaces import Attempt, Discovery, Downstream, RequestContext, Upstream
from stepflow.node.core.requests import RequestTable
from stepflow.node.runtime.clock import ZERO, Clock, micros
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.policy import Policy
from stepflow.upstream.start_times import StartTimes


class Core:
    """Feeds the policy and carries out what it decides."""

    def __init__(
        self, policy: Policy, settings: Settings, clock: Clock, timers: Timers, counters: Counters, slots: int
    ) -> None:
        self._policy, self._clock, self._counters = policy, clock, counters
        self._start_times = StartTimes()
        self._requests = RequestTable(clock, counters, slots)
        self._events = EventQueue(policy, clock, counters)
        self._attempts = AttemptRunner(clock, timers, self._requests, self._events)
        self._actions = ActionHandlers(self._requests, self._attempts, self._events, timers, counters)
        self.update_settings(settings)

    def start(self, upstream: Upstream, discovery: Discovery, known: tuple[Endpoint, ...]) -> None:
        """Start the policy with the endpoint list that this node last had."""
        self._attempts.connect(upstream)
        self._actions.connect(upstream, discovery)
        self._events.post(Started())
        self.endpoint_list_updated(ListUpdateKind.CACHED, known)

    def update_settings(self, settings: Settings) -> None:
        """Take settings, at the start or later; open requests keep their class and limit of attempts."""
        self._settings = settings
        self._requests.update_settings(settings)
        self._policy.update_settings(settings)

    def record_events(self, recorder: EventRecorder | None) -> None:
        """Have each event and its actions recorded from now on; None ends that."""
        self._events.recorder = recorder

    # What the node shows of itself.

    def class_name(self, class_index: int) -> str:
        """The name of a request class."""
        return self._settings.classes[class_index].name

    def tenant_name(self, tenant: int) -> str:
        """The name of a tenant; empty for one that the settings don't name."""
        return self._settings.tenants[tenant].name if tenant < len(self._settings.tenants) else ""

    @property
    def open_requests(self) -> int:
        """The number of requests that are not over."""
        return len(self._requests)

    def established_sessions(self) -> list[RequestContext]:
        """The contexts of all established sessions."""
        return [context for context in self._requests if context.established]

    def sessions(self) -> Iterator[tuple[Request, str, float | None]]:
        """The request, the endpoint and the load of each established session."""
        for context in self.established_sessions():
            yield context.request, context.endpoint, self.session_load(context)

    def session_load(self, context: RequestContext) -> float | None:
        """The load that the policy counts a session as; None if the policy doesn't know it."""
        state = self._policy.requests.get(context.id)
        return None if state is None else state.load

    def endpoints(self) -> list[Endpoint]:
        """The endpoint list as the policy holds it."""
        return [
            Endpoint(s.id, s.zone, s.kind, s.cell, s.availability, s.size, s.started_us)
            for s in self._policy.model.endpoints.values()
        ]

    # From clients.

    def accept(
        self,
        request: Request,
        downstream: Downstream,
        previous_endpoint: str = "",
        client_request_id: str = "",
    ) -> RequestContext | None:
        """Take a request, which is owed one answer from now on; None when it can't be taken.

        A client that names the endpoint of its previous session goes back there, and the policy learns of it
        once the session is established.
        """
        if self._requests.shutting_down:  # a session established now would be cut off at the exit
            self.reject_unaccepted(request, client_request_id, "the node leaves")
            return None
        context = RequestContext(
            request,
            downstream,
            previous_endpoint,
            client_request_id,
            max_attempts=self._settings.limits.max_attempts,
        )
        if not self._requests.add(context):
            self._counters.table_full += 1
            self.reject_unaccepted(request, client_request_id, "no slot")
            return None
        self._counters.requests += 1
        self._requests.log.accepted(context)
        if previous_endpoint:
            self._counters.standing += 1
            self._attempts.start(context, previous_endpoint)
        else:
            self._events.post(context.request)
        return context

    def reject_unaccepted(self, request: Request, client_request_id: str, reason: str) -> None:
        """Count a request that is rejected without being accepted; its answer is the caller's."""
        self._requests.reject_unaccepted(request, client_request_id, reason)

    def adopt_session(self, request: Request, downstream: Downstream, endpoint: str) -> RequestContext | None:
        """Take over a session that the predecessor established; None when it can't be taken."""
        if self._requests.shutting_down:
            return None
        context = RequestContext(
            request,
            downstream,
            attempts=1,
            endpoint=endpoint,
            attempt_started=self._clock.now(),
            established=True,
            answered=True,
        )
        if not self._requests.add(context):
            return None
        self._events.post(SessionAdopted(context.request, endpoint))
        return context

    def client_disconnected(self, context: RequestContext) -> None:
        """The client disconnected before its answer: an attempt that goes on would only waste work."""
        if context.answered:
            return
        self._requests.mark_disconnected(context)
        if not context.previous_endpoint:
            self._events.post(ClientDisconnected(context.id))
        if context.attempt is not None:
            context.attempt.abandon()
        self._requests.release(context)

    # From attempts and from established sessions.

    def may_send_attempt(self, context: RequestContext) -> bool:
        """Whether an attempt whose connection has come up may still send its line."""
        context.downstream.check_disconnected()
        if context.answered:
            return False
        now_us = micros(self._clock.now())
        return bool(context.previous_endpoint) or self._policy.may_send_attempt(now_us, context.id)

    def attempt_sent(self, context: RequestContext) -> None:
        """The last byte of an attempt's line was sent."""
        self._requests.count_attempt(context)

    def attempt_established(self, context: RequestContext, attempt: Attempt) -> None:
        """An endpoint took the session."""
        self._attempts.established(context, attempt)

    def attempt_ended(
        self,
        context: RequestContext,
        result: AttemptResult,
        report: tuple[float, ...] = (),
        answer: bytes = b"",
    ) -> None:
        """An attempt is over and its socket is closed, before its session was established or after."""
        self._attempts.ended(context, result, report, answer)

    def session_report(self, context: RequestContext, kind: SessionReportKind, value: float) -> None:
        """An endpoint sent a figure of an established session."""
        self._events.post(SessionReport(context.id, context.attempts - 1, context.endpoint, kind, value))

    # From health checks and from discovery.

    def health_check_ended(
        self, endpoint: str, result: AttemptResult, latency: timedelta, report: tuple[float, ...] = ()
    ) -> None:
        """A health check ended, with the endpoint's load report if it succeeded."""
        if result != AttemptResult.OK:
            self._counters.probes_failed += 1
        self._events.post(HealthCheckEnded(endpoint, result, micros(latency), report))

    def endpoint_list_updated(self, kind: ListUpdateKind, endpoints: tuple[Endpoint, ...]) -> None:
        """Discovery brought a list or a change of it, or (`FAILED`) nothing."""
        if kind != ListUpdateKind.FAILED:
            now_us = micros(self._clock.now())
            endpoints = self._start_times.localize(now_us, kind != ListUpdateKind.DELTA, endpoints)
        self._events.post(EndpointListUpdate(kind, endpoints))

    # Shutdown.

    def reject_pending(self) -> None:
        """Reject everything that is not answered, now and from now on: another node can take it at once.

        A request that may have run and must not run twice can go to no other node: it waits for its endpoint.
        """
        self._requests.shutting_down = True
        for context in self._requests:
            if not context.answered and self._policy.is_safe_to_reject(context.id):
                self._requests.reject(context, ZERO)
                if context.attempt is not None:
                    context.attempt.abandon()

    def answer_pending(self) -> None:
        """Answer everything: there is no time left."""
        self.reject_pending()
        for context in self._requests:
            if not context.answered:
                self._requests.fail(context)
                if context.attempt is not None:
                    context.attempt.abandon()

    def migrate(self, context: RequestContext) -> None:
        """Send an established session to another endpoint; one that is over meanwhile is passed over."""
        if self._requests.get(context.id) is context:
            self._actions.migrate_session(MigrateSession(context.id))
