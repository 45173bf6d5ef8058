"""The core's interface for the rest of the node.

`Core` receives calls from clients, attempts, health checks and discovery, and turns them into events for the
policy. It owns the requests (`RequestTable`), their attempts (`AttemptRunner`) and the policy's input
(`EventQueue`); `ActionHandlers` carries out the policy's actions. All methods run in the reactor's thread.
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
    """Passes events to the policy and carries out the resulting actions."""

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
        """Start the policy with the last known endpoint list."""
        self._attempts.connect(upstream)
        self._actions.connect(upstream, discovery)
        self._events.post(Started())
        self.endpoint_list_updated(ListUpdateKind.CACHED, known)

    def update_settings(self, settings: Settings) -> None:
        """Apply settings, at the start or at a reload; open requests keep their class and attempt limit."""
        self._settings = settings
        self._requests.update_settings(settings)
        self._policy.update_settings(settings)

    def record_events(self, recorder: EventRecorder | None) -> None:
        """Pass each event and its actions to `recorder` from now on; None stops the recording."""
        self._events.recorder = recorder

    # State for logs, metrics, recordings and the hand-over.

    def class_name(self, class_index: int) -> str:
        """Return the name of a request class."""
        return self._settings.classes[class_index].name

    def tenant_name(self, tenant: int) -> str:
        """Return the name of a tenant, or an empty string if the settings don't name it."""
        return self._settings.tenants[tenant].name if tenant < len(self._settings.tenants) else ""

    @property
    def open_requests(self) -> int:
        """The number of requests that have not been released."""
        return len(self._requests)

    def established_sessions(self) -> list[RequestContext]:
        """Return the contexts of all established sessions."""
        return [context for context in self._requests if context.established]

    def sessions(self) -> Iterator[tuple[Request, str, float | None]]:
        """Yield the request, the endpoint and the load of each established session."""
        for context in self.established_sessions():
            yield context.request, context.endpoint, self.session_load(context)

    def session_load(self, context: RequestContext) -> float | None:
        """Return the load that the policy assigns to a session, or None if it doesn't know the session."""
        state = self._policy.requests.get(context.id)
        return None if state is None else state.load

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoint list as the policy holds it."""
        return [
            Endpoint(s.id, s.zone, s.kind, s.cell, s.availability, s.size, s.started_us)
            for s in self._policy.model.endpoints.values()
        ]

    # Calls from clients.

    def accept(
        self,
        request: Request,
        downstream: Downstream,
        previous_endpoint: str = "",
        client_request_id: str = "",
    ) -> RequestContext | None:
        """Accept a request, which gets exactly one answer from now on; return None if it is rejected.

        A request with a `previous_endpoint` goes to that endpoint, and the policy receives it only once its
        session is established.
        """
        if self._requests.shutting_down:  # a session established now would be cut off at the exit
            self.reject_unaccepted(request, client_request_id, "node shutting down")
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
        """Count a request that is rejected without being accepted; the caller sends the answer."""
        self._requests.reject_unaccepted(request, client_request_id, reason)

    def adopt_session(self, request: Request, downstream: Downstream, endpoint: str) -> RequestContext | None:
        """Adopt a session of the predecessor; return None during a shutdown or without a free slot."""
        if self._requests.shutting_down:
            return None
        context = RequestContext(
            request,
            downstream,
            attempts=1,
            possible_runs=1,
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
        """Release a request whose client disconnected before its answer, and abandon its attempt.

        Continuing the attempt would only waste work.
        """
        if context.answered:
            return
        self._requests.mark_disconnected(context)
        if not context.previous_endpoint:
            self._events.post(ClientDisconnected(context.id))
        if context.attempt is not None:
            context.attempt.abandon()
        self._requests.release(context)

    # Calls from attempts and established sessions.

    def may_send_attempt(self, context: RequestContext) -> bool:
        """Return whether an attempt may still send its OPEN line, now that its connection is established."""
        context.downstream.check_disconnected()
        if context.answered:
            return False
        now_us = micros(self._clock.now())
        return bool(context.previous_endpoint) or self._policy.may_send_attempt(now_us, context.id)

    def attempt_sent(self, context: RequestContext) -> None:
        """Count an attempt whose OPEN line was sent completely."""
        self._requests.count_attempt(context)

    def attempt_established(self, context: RequestContext, attempt: Attempt) -> None:
        """Handle an attempt whose endpoint accepted the session."""
        self._attempts.established(context, attempt)

    def attempt_ended(
        self,
        context: RequestContext,
        result: AttemptResult,
        report: tuple[float, ...] = (),
        answer: bytes = b"",
    ) -> None:
        """Handle the end of an attempt, before or after its session was established; its socket is closed."""
        self._attempts.ended(context, result, report, answer)

    def session_report(self, context: RequestContext, kind: SessionReportKind, value: float) -> None:
        """Post the load or the delay that an endpoint reported for an established session."""
        self._events.post(SessionReport(context.id, context.attempts - 1, context.endpoint, kind, value))

    # Calls from health checks and discovery.

    def health_check_ended(
        self, endpoint: str, result: AttemptResult, latency: timedelta, report: tuple[float, ...] = ()
    ) -> None:
        """Post the result of a health check, with the endpoint's load report if the check succeeded."""
        if result not in (AttemptResult.OK, AttemptResult.NOT_SENT):
            self._counters.probes_failed += 1
        self._events.post(HealthCheckEnded(endpoint, result, micros(latency), report))

    def endpoint_list_updated(self, kind: ListUpdateKind, endpoints: tuple[Endpoint, ...]) -> None:
        """Post a list update from discovery; `FAILED` reports a call that brought no list."""
        if kind != ListUpdateKind.FAILED:
            now_us = micros(self._clock.now())
            endpoints = self._start_times.localize(now_us, kind != ListUpdateKind.DELTA, endpoints)
        self._events.post(EndpointListUpdate(kind, endpoints))

    # Shutdown.

    def reject_pending(self) -> None:
        """Reject all unanswered requests and all later ones, so that clients retry at another node at once.

        A request that may have run and must not run twice isn't rejected: it waits for its endpoint.
        """
        self._requests.shutting_down = True
        for context in self._requests:
            if not context.answered and self._policy.is_safe_to_reject(context.id):
                self._requests.reject(context, ZERO)
                if context.attempt is not None:
                    context.attempt.abandon()

    def answer_pending(self) -> None:
        """Reject or fail all unanswered requests, when no time is left to wait for their endpoints."""
        self.reject_pending()
        for context in self._requests:
            if not context.answered:
                self._requests.fail(context)
                if context.attempt is not None:
                    context.attempt.abandon()

    def prepare_migrations(self) -> None:
        """Prepare all established sessions for the migrations of a shutdown."""
        for context in self.established_sessions():
            context.downstream.prepare_migration()

    def migrate(self, context: RequestContext) -> None:
        """Migrate an established session to another endpoint; do nothing if the session has ended."""
        if self._requests.get(context.id) is context:
            self._actions.migrate_session(MigrateSession(context.id))
