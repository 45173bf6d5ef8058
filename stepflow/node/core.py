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
from stepflow.node.runtime.timers import Deadlines
from stepflow.policy import Policy
from stepflow.upstream.start_times import StartTimes

log = get_logger()

Tap = Callable[[int, Event, list[Action]], None]

STAND_AGAIN = timedelta(milliseconds=250)  # until a connection that stood before the start is tried again


class Front(Protocol):
    """The client's side of one request."""

    def look(self) -> None:
        """Tell `Core.client_gone` now if the client has left, though that would be heard of only later."""

    def served(self, attempt: Attempt) -> None:
        """The attempt is up: join it with the client."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer that trying again is harmless, after a while if that isn't zero."""

    def fail(self) -> None:
        """Answer that the request failed."""

    def finish(self, answer: bytes) -> None:
        """Answer what a peer made of a request that it served to its end."""

    def move(self) -> None:
        """Tell a joined client to come again, and end both sides; `ended` follows."""


class Attempt(Protocol):
    """An attempt that is out at a peer."""

    def abandon(self) -> None:
        """Give it up by closing its socket; `attempt_ended` follows once it is closed."""


class Uplink(Protocol):
    """The way to the peers."""

    def attempt(self, context: RequestContext, peer: str, wait: timedelta) -> Attempt | None:
        """Begin an attempt; None where the peer has no address."""

    def probe(self, peer: str) -> None:
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
    front: Front
    standing_at: str = ""  # the peer at which it stood before this node's start
    name: str = ""  # the id that its client gave
    attempt: Attempt | None = None
    attempts: int = 0
    peer: str = ""
    sent: timedelta = ZERO
    up: bool = False
    answered: bool = False
    limit: int = 1  # of attempts: the settings' when it was taken

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
        deadlines: Deadlines,
        counters: Counters,
        slots: int,
    ) -> None:
        self._policy = policy
        self._clock, self._deadlines, self._counters = clock, deadlines, counters
        self._contexts: SlotTable[RequestContext] = SlotTable(slots)
        self._requests = RequestLog(clock, counters)
        self._start_times = StartTimes()
        self.retune(settings)
        self._events: deque[Event] = deque()
        self._handling = self._leaving = False
        self.tap: Tap | None = None  # hears each event with the actions that followed
        self._actions: dict[type, Callable[..., None]] = {
            StartAttempt: self._send,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            CancelAttempt: self._cancel,
            MigrateSession: self._move,
            SetTimer: self._set_timer,
            StartHealthCheck: lambda action: self._uplink.probe(action.endpoint),
            CloseIdleConnections: lambda action: self._uplink.close_idle(action.endpoint),
            WatchEndpointList: lambda action: self._discovery.watch(action.enabled),
            FetchEndpointList: lambda action: self._discovery.fetch(),
            SendPeerMessage: lambda action: None,  # nodes have no way to talk to each other
            LogMessage: lambda action: log.info("policy", text=action.text),
        }

    def start(self, uplink: Uplink, discovery: Discovery, known: tuple[Endpoint, ...]) -> None:
        """Begin the module's life with the list that this node last had."""
        self._uplink, self._discovery = uplink, discovery
        self._post(Started())
        self.listed(ListUpdateKind.CACHED, known)

    def retune(self, settings: Settings) -> None:
        """Take settings, at the start or later; what is open keeps its class and its limit of attempts."""
        self._settings = settings
        self._counts = [self._counters.of(cls.name) for cls in settings.classes]
        self._policy.retune(settings)

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

    def take(
        self, request: Request, front: Front, standing_at: str = "", name: str = ""
    ) -> RequestContext | None:
        """Take a request, which is owed one answer from now on; None when it can't be taken."""
        if self._leaving:  # what came up now would be cut off at the exit
            self.turn_away(request, name, "the node leaves")
            return None
        limit = self._settings.limits.max_attempts
        context = RequestContext(request, front, standing_at, name, limit=limit)
        id = self._contexts.take(context)
        if id is None:
            self._counters.table_full += 1
            self.turn_away(request, name, "no slot")
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

    def adopt(self, request: Request, front: Front, peer: str) -> RequestContext | None:
        """Go on with a session that came up in the process before; None when it can't be taken."""
        if self._leaving:
            return None
        context = RequestContext(
            request, front, attempts=1, peer=peer, sent=self._clock.now(), up=True, answered=True
        )
        id = self._contexts.take(context)
        if id is None:
            return None
        context.request = request._replace(id=id)
        self._post(SessionAdopted(context.request, peer))
        return context

    def load(self, context: RequestContext) -> float | None:
        """What the module counts a session's load as."""
        flight = self._policy.flights.get(context.id)
        return None if flight is None else flight.load

    def sessions(self) -> Iterator[tuple[Request, str, float | None]]:
        """What stands: its request, its peer, and its load as the module counts it."""
        for context in self.standing():
            yield context.request, context.peer, self.load(context)

    def entries(self) -> list[Endpoint]:
        """The list as the module holds it."""
        return [
            Endpoint(s.id, s.zone, s.kind, s.cell, s.availability, s.size, s.started_us)
            for s in self._policy.model.servers.values()
        ]

    def turn_away(self, request: Request, name: str, why: str) -> None:
        """Count a request that the node rejects without taking it."""
        self._requests.turned_away(name, why)
        self._count_rejected(request)

    def _count_rejected(self, request: Request) -> None:
        self._counters.rejected += 1
        self._counts[request.class_index].refused += 1

    def client_gone(self, context: RequestContext) -> None:
        """The client left before its answer: an attempt that is still out would only waste work."""
        if context.answered:
            return
        context.answered = True
        self._counters.left += 1
        self._requests.answered(context, "none", "the client left")
        if not context.standing_at:
            self._post(ClientDisconnected(context.id))
        if context.attempt is not None:
            context.attempt.abandon()
        self._release(context)

    # Facts from attempts and from joined connections.

    def may_begin(self, context: RequestContext) -> bool:
        """Whether an attempt whose connection has come up may still send its line."""
        context.front.look()
        if context.answered:
            return False
        now = micros(self._clock.now())
        return bool(context.standing_at) or self._policy.may_begin(now, context.id)

    def attempt_written(self, context: RequestContext) -> None:
        """The last byte of an attempt's line went out."""
        self._counters.attempts += 1
        self._counts[context.request.class_index].attempts += 1

    def attempt_up(self, context: RequestContext, attempt: Attempt) -> None:
        """A peer took the connection."""
        if context.attempt is not attempt or context.answered:
            attempt.abandon()
            return
        context.up = context.answered = True
        self._count_served(context)
        self._requests.answered(context, "UP", "the peer's answer")
        if context.standing_at:
            self._post(SessionAdopted(context.request, context.peer))
        else:
            wait = micros(self._clock.now() - context.sent)
            self._post(SessionEstablished(context.id, context.attempts - 1, context.peer, wait))
        context.front.served(attempt)

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
            context.front.finish(answer)
        if context.standing_at and not context.up:  # the module never heard of it
            if not context.answered and not self._stand_again(context, result):
                self._fail(FailRequest(context.id))
        else:
            wait = micros(self._clock.now() - context.sent)
            self._post(
                AttemptEnded(
                    context.id, context.attempts - 1, context.peer, result, context.answered, wait, report
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
        if left <= 0 or context.attempts >= context.limit:
            return False

        def again() -> None:
            if not context.answered:
                self._attempt(context, context.standing_at, micros(self._clock.now()), 0)

        self._deadlines.at(now + STAND_AGAIN, again)
        return True

    def note(self, context: RequestContext, kind: SessionReportKind, value: float) -> None:
        """News of a connection that stands."""
        self._post(SessionReport(context.id, context.attempts - 1, context.peer, kind, value))

    # Facts from probes and from discovery.

    def probed(
        self, peer: str, result: AttemptResult, wait: timedelta, report: tuple[float, ...] = ()
    ) -> None:
        if result != AttemptResult.OK:
            self._counters.probes_failed += 1
        self._post(HealthCheckEnded(peer, result, micros(wait), report))

    def listed(self, form: ListUpdateKind, entries: tuple[Endpoint, ...]) -> None:
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
            if not context.answered and self._policy.harmless(context.id):
                self._refuse(RejectRequest(context.id))
                if context.attempt is not None:
                    context.attempt.abandon()

    def settle_pending(self) -> None:
        """Answer everything: there is no time left."""
        self.reject_pending()
        for context in self._contexts:
            if not context.answered:
                self._fail(FailRequest(context.id))
                if context.attempt is not None:
                    context.attempt.abandon()

    def standing(self) -> list[RequestContext]:
        """The contexts whose connection stands."""
        return [context for context in self._contexts if context.up]

    def move(self, context: RequestContext) -> None:
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
        if self.tap is not None:
            self.tap(now, event, actions)
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
        context.front.look()
        left = context.request.expires_us - now
        wait = min(timeout_us, left) if timeout_us else left
        context.attempts += 1
        context.peer, context.sent = peer, self._clock.now()
        spent = context.attempts > context.limit
        if spent or wait <= 0 or context.answered:
            self.attempt_ended(context, AttemptResult.NOT_SENT)
            return
        span = timedelta(microseconds=wait)
        self._requests.attempt_begun(context, span)
        context.attempt = self._uplink.attempt(context, peer, span)
        if context.attempt is None:
            self.attempt_ended(context, AttemptResult.CONNECT_FAILED)

    def _refuse(self, action: RejectRequest) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None and not context.answered:
            context.answered = True
            self._count_rejected(context.request)
            self._requests.answered(context, "BUSY", self._why())
            context.front.reject(timedelta(microseconds=action.retry_after_us))
            self._release(context)

    def _fail(self, action: FailRequest) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None and not context.answered:
            context.answered = True
            self._counters.failed += 1
            self._requests.answered(context, "ERR", self._why())
            self._counts[context.request.class_index].failed += 1
            context.front.fail()
            self._release(context)

    def _why(self) -> str:
        """What has decided an answer that no peer made."""
        return "the node leaves" if self._leaving else "the module"

    def _cancel(self, action: CancelAttempt) -> None:
        context = self._contexts.get(action.request_id)
        if context is None or context.up or context.attempt is None:
            return
        if action.attempt == context.attempts - 1:
            context.attempt.abandon()

    def _move(self, action: MigrateSession) -> None:
        context = self._contexts.get(action.request_id)
        if context is not None and context.up:
            self._counters.moved += 1
            context.front.move()

    def _set_timer(self, action: SetTimer) -> None:
        timer = TimerFired(action.token)
        self._deadlines.after(timedelta(microseconds=action.delay_us), lambda: self._post(timer))

    def _release(self, context: RequestContext) -> None:
        """The one place that gives a context's slot back."""
        if context.answered and context.attempt is None:
            self._contexts.give_back(context.id)
