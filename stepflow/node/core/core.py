"""The node's core: owns the decision module and the table of request contexts.

It turns facts into the module's events, and the module's actions into calls on narrow interfaces.
It knows no line protocol: a front is whatever speaks with a client, and an uplink whatever
reaches the peers, so that a second front can go through the same decisions and rules.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointListUpdate,
    Event,
    FailRequest,
    FetchEndpointList,
    HealthCheckEnded,
    ListUpdateKind,
    LogMessage,
    MigrateSession,
    RejectRequest,
    Request,
    SendPeerMessage,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SessionReportKind,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
    WatchEndpointList,
)
from stepflow.logs import get_logger
from stepflow.node.runtime.clock import ZERO, Clock, micros
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.request_log import RequestLog
from stepflow.node.runtime.slots import SlotTable
from stepflow.node.runtime.timers import Timers
from stepflow.policy import Policy
from stepflow.upstream.start_times import StartTimes

log = get_logger()

EventRecorder = Callable[[int, Event, list[Action]], None]

STAND_AGAIN = timedelta(milliseconds=250)  # until a connection that stood before the start is tried again


class Downstream(Protocol):
    """The client's side of one request."""

    def check_disconnected(self) -> None:
        """Tell `Core.client_gone` now if the client has left, though that would be heard of only later."""

    def session_established(self, attempt: Attempt) -> None:
        """The attempt is up: join it with the client."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer that trying again is harmless, after a while if that isn't zero."""

    def fail(self) -> None:
        """Answer that the request failed."""

    def complete(self, answer: bytes) -> None:
        """Answer what a peer made of a request that it served to its end."""

    def migrate(self) -> None:
        """Tell a joined client to come again, and end both sides; `ended` follows."""


class Attempt(Protocol):
    """An attempt that is out at a peer."""

    def abandon(self) -> None:
        """Give it up by closing its socket; `attempt_ended` follows once it is closed."""


class Upstream(Protocol):
    """The way to the peers."""

    def start_attempt(self, context: RequestContext, peer: str, wait: timedelta) -> Attempt | None:
        """Begin an attempt; None where the peer has no address."""

    def start_health_check(self, peer: str) -> None:
        """Ask a peer for its load report; `probed` follows."""

    def close_idle(self, peer: str) -> None:
        """Close the kept connections to a peer."""


class Discovery(Protocol):
    """The source of the upstream group; `listed` follows each call."""

    def watch(self, on: bool) -> None: ...
    def fetch(self) -> None: ...


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request, from its arrival until its client has its answer and no attempt is out."""

    request: Request
    downstream: Downstream
    previous_endpoint: str = ""  # the peer at which it stood before this node's start
    client_request_id: str = ""  # the id that its client gave
    attempt: Attempt | None = None
    attempts: int = 0
    endpoint: str = ""
    attempt_started: timedelta = ZERO
    established: bool = False
    answered: bool = False
    max_attempts: int = 1  # of attempts: the settings' when it was taken

    @property
    def id(self) -> int:
        return self.request.id


class Core:
    """Feeds the decision module and carries out what it decides."""

    def __init__(
        self,
        policy: Policy,
        settings: Settings,
        clock: Clock,
        deadlines: Timers,
        counters: Counters,
        slots: int,
    ) -> None:
        self._policy = policy
        self._clock, self._deadlines, self._counters = clock, deadlines, counters
        self._contexts: SlotTable[RequestContext] = SlotTable(slots)
        self._requests = RequestLog(clock, counters)
        self._start_times = StartTimes()
        self.update_settings(settings)
        self._events: deque[Event] = deque()
        self._handling = self._leaving = False
        self.recorder: EventRecorder | None = None  # hears each event with the actions that followed
        self._actions: dict[type, Callable[..., None]] = {
            StartAttempt: self._send,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            CancelAttempt: self._cancel,
            MigrateSession: self._move,
            SetTimer: self._set_timer,
            StartHealthCheck: lambda action: self._uplink.start_health_check(action.endpoint),
            CloseIdleConnections: lambda action: self._uplink.close_idle(action.endpoint),
            WatchEndpointList: lambda action: self._discovery.watch(action.enabled),
            FetchEndpointList: lambda action: self._discovery.fetch(),
            SendPeerMessage: lambda action: None,  # nodes have no way to talk to each other
            LogMessage: lambda action: log.info("policy", text=action.text),
        }

    def start(self, uplink: Upstream, discovery: Discovery, known: tuple[Endpoint, ...]) -> None:
        """Begin the module's life with the list that this node last had."""
        self._uplink, self._discovery = uplink, discovery
        self._post(Started())
        self.endpoint_list_updated(ListUpdateKind.CACHED, known)

    def update_settings(self, settings: Settings) -> None:
        """Take settings, at the start or later; what is open keeps its class and its limit of attempts."""
        self._settings = settings
        self._counts = [self._counters.of(cls.name) for cls in settings.classes]
        self._policy.update_settings(settings)

    def class_name(self, number: int) -> str:
        return self._settings.classes[number].name

    def tenant_name(self, number: int) -> str:
        """Its name; one that the settings don't name has none."""
        return self._settings.tenants[number].name if number < len(self._settings.tenants) else ""

    @property
    def open(self) -> int:
        """Requests that are not over."""
        return len(self._contexts)

    # Facts from the front.

    def accept(
        self, request: Request, front: Downstream, standing_at: str = "", name: str = ""
    ) -> RequestContext | None:
        """Take a request, which is owed one answer from now on; None when it can't be taken."""
        if self._leaving:  # what came up now would be cut off at the exit
            self.reject_unaccepted(request, name, "the node leaves")
            return None
        limit = self._settings.limits.max_attempts
        context = RequestContext(request, front, standing_at, name, max_attempts=limit)
        id = self._contexts.take(context)
        if id is None:
            self._counters.table_full += 1
            self.reject_unaccepted(request, name, "no slot")
            return None
        context.request = request._replace(id=id)
        self._counters.requests += 1
        self._requests.taken(context)
        if standing_at:
            # The client names its peer, so there is nothing to decide: the module hears of it once it stands.
            self._counters.standing += 1
            self._attempt(context, standing_at, micros(self._clock.now()), 0)
        else:
            self._post(context.request)
        return context

    def adopt_session(self, request: Request, front: Downstream, peer: str) -> RequestContext | None:
        """Go on with a session that came up in the process before; None when it can't be taken."""
        if self._leaving:
            return None
        context = RequestContext(
            request,
            front,
            attempts=1,
            endpoint=peer,
            attempt_started=self._clock.now(),
            established=True,
            answered=True,
        )
        id = self._contexts.take(context)
        if id is None:
            return None
        context.request = request._replace(id=id)
        self._post(SessionAdopted(context.request, peer))
        return context

    def session_load(self, context: RequestContext) -> float | None:
        """What the module counts a session's load as."""
        flight = self._policy.requests.get(context.id)
        return None if flight is None else flight.load

    def sessions(self) -> Iterator[tuple[Request, str, float | None]]:
        """What stands: its request, its peer, and its load as the module counts it."""
        for context in self.established_sessions():
            yield context.request, context.endpoint, self.session_load(context)

    def endpoints(self) -> list[Endpoint]:
        """The list as the module holds it."""
        return [
            Endpoint(s.id, s.zone, s.kind, s.cell, s.availability, s.size, s.started_us)
            for s in self._policy.model.endpoints.values()
        ]

    def reject_unaccepted(self, request: Request, name: str, why: str) -> None:
        """Count a request that the node rejects without taking it."""
        self._requests.turned_away(name, why)
        self._count_rejected(request)

    def _count_rejected(self, request: Request) -> None:
        self._counters.rejected += 1
        self._counts[request.class_index].refused += 1

    def client_disconnected(self, context: RequestContext) -> None:
        """The client left before its answer: an attempt that is still out would only waste work."""
        if context.answered:
            return
        context.answered = True
        self._counters.left += 1
        self._requests.answered(context, "none", "the client left")
        if not context.previous_endpoint:
            self._post(ClientDisconnected(context.id))
        if context.attempt is not None:
            context.attempt.abandon()
        self._release(context)

    # Facts from attempts and from joined connections.

    def may_send_attempt(self, context: RequestContext) -> bool:
        """Whether an attempt whose connection has come up may still send its line."""
        context.downstream.check_disconnected()
        if context.answered:
            return False
        now = micros(self._clock.now())
        return bool(context.previous_endpoint) or self._policy.may_send_attempt(now, context.id)

    def attempt_sent(self, context: RequestContext) -> None:
        """The last byte of an attempt's line went out."""
        self._counters.attempts += 1
        self._counts[context.request.class_index].attempts += 1

    def attempt_established(self, context: RequestContext, attempt: Attempt) -> None:
        """A peer took the connection."""
        if context.attempt is not attempt or context.answered:
            attempt.abandon()
            return
        context.established = context.answered = True
        self._count_served(context)
        self._requests.answered(context, "UP", "the peer's answer")
        if context.previous_endpoint:
            self._post(SessionAdopted(context.request, context.endpoint))
        else:
            wait = micros(self._clock.now() - context.attempt_started)
            self._post(SessionEstablished(context.id, context.attempts - 1, context.endpoint, wait))
        context.downstream.session_established(attempt)

    def attempt_ended(
        self,
        context: RequestContext,
        result: AttemptResult,
        report: tuple[float, ...] = (),
        answer: bytes = b"",
    ) -> None:
        """An attempt is over and its socket is closed, before UP or after."""
        context.attempt = None
        self._requests.attempt_ended(context, result)
        served = result == AttemptResult.OK and not context.answered
        if served:
            context.answered = True
            self._count_served(context)
            self._requests.answered(context, "BYE", "the peer's answer")
            context.downstream.complete(answer)
        if context.previous_endpoint and not context.established:  # the module never heard of it
            if not context.answered and not self._stand_again(context, result):
                self._fail(FailRequest(context.id))
        else:
            wait = micros(self._clock.now() - context.attempt_started)
            self._post(
                AttemptEnded(
                    context.id, context.attempts - 1, context.endpoint, result, context.answered, wait, report
                )
            )
        self._release(context)

    def _count_served(self, context: RequestContext) -> None:
        self._counters.served += 1
        self._counts[context.request.class_index].served += 1

    def _stand_again(self, context: RequestContext, result: AttemptResult) -> bool:
        """Whether a connection that stood before the start is tried again, at the peer that holds it.

        At a start all of them come at once, and a peer may not get round to each in time.
        """
        if result not in (AttemptResult.CONNECT_FAILED, AttemptResult.FULL) or self._leaving:
            return False
        now = self._clock.now()
        left = context.request.expires_us - micros(now + STAND_AGAIN)
        if left <= 0 or context.attempts >= context.max_attempts:
            return False

        def again() -> None:
            if not context.answered:
                self._attempt(context, context.previous_endpoint, micros(self._clock.now()), 0)

        self._deadlines.at(now + STAND_AGAIN, again)
        return True

    def session_report(self, context: RequestContext, kind: SessionReportKind, value: float) -> None:
        """News of a connection that stands."""
        self._post(SessionReport(context.id, context.attempts - 1, context.endpoint, kind, value))

    # Facts from probes and from discovery.

    def health_check_ended(
        self, peer: str, result: AttemptResult, wait: timedelta, report: tuple[float, ...] = ()
    ) -> None:
        if result != AttemptResult.OK:
            self._counters.probes_failed += 1
        self._post(HealthCheckEnded(peer, result, micros(wait), report))

    def endpoint_list_updated(self, form: ListUpdateKind, entries: tuple[Endpoint, ...]) -> None:
        """A list or a change of it, or (`FAILED`) a call that brought none."""
        if form != ListUpdateKind.FAILED:
            now = micros(self._clock.now())
            entries = self._start_times.localize(now, form != ListUpdateKind.DELTA, entries)
        self._post(EndpointListUpdate(form, entries))

    # Shutdown.

    def reject_pending(self) -> None:
        """Reject everything that is not answered, now and from now on: another node can take it at once.

        What may have run and must not run twice is no other node's: it waits for its peer.
        """
        self._leaving = True
        for context in self._contexts:
            if not context.answered and self._policy.is_safe_to_reject(context.id):
                self._refuse(RejectRequest(context.id))
                if context.attempt is not None:
                    context.attempt.abandon()

    def answer_pending(self) -> None:
        """Answer everything: there is no time left."""
        self.reject_pending()
        for context in self._contexts:
            if not context.answered:
                self._fail(FailRequest(context.id))
                if context.attempt is not None:
                    context.attempt.abandon()

    def established_sessions(self) -> list[RequestContext]:
        """The contexts whose connection stands."""
        return [context for context in self._contexts if context.established]

    def migrate(self, context: RequestContext) -> None:
        """Move a standing client; one that is gone meanwhile is passed over."""
        if self._contexts.get(context.id) is context:
            self._move(MigrateSession(context.id))

    # The module.

    def _post(self, event: Event) -> None:
        """Hand an event to the module; one that comes of an action waits until all actions are done."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        now = micros(self._clock.now())
        try:
            actions = self._policy.handle(now, event)
        except Exception:
            # The node outlives a fault of the module, and the request at hand still gets its answer.
            self._counters.faults += 1
            log.exception("the decision module failed", on=repr(event))
            id = event.id if isinstance(event, Request) else getattr(event, "request_id", None)
            actions = [FailRequest(id)] if isinstance(id, int) else []
        if self.recorder is not None:
            self.recorder(now, event, actions)
        for action in actions:
            self._actions[type(action)](action)

    def _send(self, action: StartAttempt) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None:
            now = micros(self._clock.now())
            self._attempt(context, str(action.endpoint), now, action.timeout_us)

    def _attempt(self, context: RequestContext, peer: str, now: int, timeout_us: int) -> None:
        if context.attempt is not None:
            log.error("a second attempt while one is out", request=context.id)
            return
        context.downstream.check_disconnected()
        left = context.request.expires_us - now
        wait = min(timeout_us, left) if timeout_us else left
        context.attempts += 1
        context.endpoint, context.attempt_started = peer, self._clock.now()
        spent = context.attempts > context.max_attempts
        if spent or wait <= 0 or context.answered:
            self.attempt_ended(context, AttemptResult.NOT_SENT)
            return
        span = timedelta(microseconds=wait)
        self._requests.attempt_begun(context, span)
        context.attempt = self._uplink.start_attempt(context, peer, span)
        if context.attempt is None:
            self.attempt_ended(context, AttemptResult.CONNECT_FAILED)

    def _refuse(self, action: RejectRequest) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None and not context.answered:
            context.answered = True
            self._count_rejected(context.request)
            self._requests.answered(context, "BUSY", self._why())
            context.downstream.reject(timedelta(microseconds=action.retry_after_us))
            self._release(context)

    def _fail(self, action: FailRequest) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None and not context.answered:
            context.answered = True
            self._counters.failed += 1
            self._requests.answered(context, "ERR", self._why())
            self._counts[context.request.class_index].failed += 1
            context.downstream.fail()
            self._release(context)

    def _why(self) -> str:
        """What has decided an answer that no peer made."""
        return "the node leaves" if self._leaving else "the module"

    def _cancel(self, action: CancelAttempt) -> None:
        context = self._contexts.get(action.request_id)
        if context is None or context.established or context.attempt is None:
            return
        if action.attempt == context.attempts - 1:
            context.attempt.abandon()

    def _move(self, action: MigrateSession) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None and context.established:
            self._counters.moved += 1
            context.downstream.migrate()

    def _set_timer(self, action: SetTimer) -> None:
        timer = TimerFired(action.token)
        self._deadlines.after(timedelta(microseconds=action.delay_us), lambda: self._post(timer))

    def _release(self, context: RequestContext) -> None:
        """The one place that gives a context's slot back."""
        if context.answered and context.attempt is None:
            self._contexts.give_back(context.id)
