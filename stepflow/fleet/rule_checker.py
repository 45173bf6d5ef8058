"""Checks a policy's events and actions against the rules of the service.

The checker observes a simulation and changes nothing in it. For each rule it keeps the worst value and the
bound, which show the margin and whether the rule was kept. The names of the rules appear in reports.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from stepflow.fleet.servers import SECOND, Server
from stepflow.interface import (
    Action,
    AttemptEnded,
    Availability,
    ClientDisconnected,
    EndpointId,
    EndpointListUpdate,
    Event,
    FailRequest,
    ListUpdateKind,
    MigrateSession,
    RejectRequest,
    Request,
    SessionAdopted,
    SessionEstablished,
    Settings,
    StartAttempt,
)

SLACK_US = 50_000  # allowance for delays between processes in the bound of `sent_to_draining`


@dataclass
class Rule:
    """A rule: the bound of a value, and the worst value recorded."""

    name: str
    bound: float
    worst: float = 0.0
    violations: int = 0
    first_violation: str = ""

    def record(self, value: float, where: str) -> None:
        """Record a value; `where` names the time, node and event or action for the report."""
        self.worst = max(self.worst, value)
        if value > self.bound:
            self.violations += 1
            self.first_violation = self.first_violation or where

    @property
    def margin(self) -> float:
        """The unused share of the bound; for a bound of 0, 1 if the rule was kept and 0 if not."""
        return 1 - self.worst / self.bound if self.bound else float(not self.worst)


@dataclass(slots=True)
class _RequestHistory:
    """The state of one request of a node."""

    expires_us: int
    limit: int
    attempts: int = 0
    in_flight: bool = False
    established: bool = False
    answered: bool = False  # it has its final answer, or its client disconnected


@dataclass
class _NodeHistory:
    """The state of one process of a node: its settings, requests and endpoint list."""

    settings: Settings
    requests: dict[int, _RequestHistory] = field(default_factory=dict)
    # The time since when each endpoint must not get new sessions; None for a ready one.
    unavailable_since: dict[EndpointId, int | None] = field(default_factory=dict)


class RuleChecker:
    """Checks all nodes of one run; an `Observer` of the simulation."""

    def __init__(self) -> None:
        self._nodes: dict[int, _NodeHistory] = {}
        self.late = Rule("answer or attempt after the deadline, s", 0.07)
        self.unanswered = Rule("requests without an answer", 0)
        self.extra_answers = Rule("extra final answers", 0)
        self.attempts = Rule("attempts of one request over its limit", 0)
        self.overlap = Rule("attempts while another was active", 0)
        self.sent_to_draining = Rule("sent after a drain was announced, s", 0.5 + SLACK_US / SECOND)
        self.unlisted = Rule("sent to an unlisted server", 0)
        self.slow_start = Rule("load sent to a warming server, of what overloads it", 1)
        self.migrations = Rule("migrations of sessions not established", 0)
        self.rules = [
            self.late,
            self.unanswered,
            self.extra_answers,
            self.attempts,
            self.overlap,
            self.sent_to_draining,
            self.unlisted,
            self.slow_start,
            self.migrations,
        ]
        self._event_checks: dict[type, Callable[[int, _NodeHistory, Any], None]] = {
            EndpointListUpdate: self._record_list_update,
            Request: self._record_request,
            SessionAdopted: self._record_adoption,
            SessionEstablished: self._record_session,
            AttemptEnded: self._record_attempt_end,
            ClientDisconnected: self._record_disconnect,
        }

    @property
    def kept(self) -> bool:
        """Whether all rules were kept."""
        return not any(rule.violations for rule in self.rules)

    def node_started(self, node: int, incarnation: int, settings: Settings) -> None:
        """Start a new history for a node's new process, which knows nothing of the process before it."""
        self._nodes[node] = _NodeHistory(settings)

    def event_handled(self, now: int, node: int, event: Event, actions: Iterable[Action]) -> None:
        """Check an event and the actions that the policy returned for it."""
        call = self._event_checks.get(type(event))
        if call is not None:
            call(now, self._nodes[node], event)
        for action in actions:
            self._check_action(now, node, action)

    def _check_action(self, now: int, node: int, action: Action) -> None:
        history = self._nodes[node]
        where = f"{now / SECOND:.3f} s, node {node}: {action}"
        if isinstance(action, StartAttempt):
            self._check_attempt(now, history, action, where)
        elif isinstance(action, RejectRequest | FailRequest):
            request = history.requests.get(action.request_id)
            self.extra_answers.record(request is None or request.answered, where)
            if request is not None:
                self._check_answer(now, request, where)
        elif isinstance(action, MigrateSession):
            request = history.requests.get(action.request_id)
            self.migrations.record(request is None or not request.established, where)

    def run_ended(self, now: int, servers: Iterable[Server]) -> None:
        """Check for requests without an answer and for servers overloaded during their slow start."""
        for number, history in self._nodes.items():
            for id, request in history.requests.items():
                overdue = request.expires_us + self.late.bound * SECOND < now
                self.unanswered.record(not request.answered and overdue, f"node {number}: request {id}")
        for server in servers:
            self.slow_start.record(server.worst_overload, server.id)

    @staticmethod
    def _record_list_update(now: int, history: _NodeHistory, event: EndpointListUpdate) -> None:
        if event.kind == ListUpdateKind.FAILED:
            return
        if event.kind != ListUpdateKind.DELTA:
            listed_ids = {entry.id for entry in event.endpoints}
            for id, since in history.unavailable_since.items():
                if id not in listed_ids and since is None:
                    history.unavailable_since[id] = now
        for entry in event.endpoints:
            if entry.availability == Availability.READY:
                history.unavailable_since[entry.id] = None
            elif history.unavailable_since.get(entry.id) is None:
                history.unavailable_since[entry.id] = now

    @staticmethod
    def _record_request(now: int, history: _NodeHistory, event: Request) -> None:
        history.requests[event.id] = _RequestHistory(event.expires_us, history.settings.limits.max_attempts)

    @staticmethod
    def _record_adoption(now: int, history: _NodeHistory, event: SessionAdopted) -> None:
        history.requests[event.request.id] = _RequestHistory(
            now, 1, 1, in_flight=True, established=True, answered=True
        )

    def _record_session(self, now: int, history: _NodeHistory, event: SessionEstablished) -> None:
        request = history.requests[event.request_id]
        request.established = True
        self._check_answer(now, request, f"{now / SECOND:.3f} s: {event}")

    @staticmethod
    def _record_attempt_end(now: int, history: _NodeHistory, event: AttemptEnded) -> None:
        request = history.requests[event.request_id]
        request.in_flight = request.established = False
        if event.is_final:
            del history.requests[event.request_id]

    @staticmethod
    def _record_disconnect(now: int, history: _NodeHistory, event: ClientDisconnected) -> None:
        request = history.requests.get(event.request_id)
        if request is not None:
            request.answered = True

    def _check_attempt(self, now: int, history: _NodeHistory, action: StartAttempt, where: str) -> None:
        request = history.requests.get(action.request_id)
        if request is None or request.answered:
            self.extra_answers.record(1, where)
            return
        self.late.record((now - request.expires_us) / SECOND, where)
        self.overlap.record(request.in_flight, where)
        request.attempts, request.in_flight = request.attempts + 1, True
        self.attempts.record(max(0, request.attempts - request.limit), where)
        since = history.unavailable_since.get(action.endpoint, -1)
        self.unlisted.record(since == -1, where)
        if since is not None and since >= 0:
            self.sent_to_draining.record((now - since) / SECOND, where)

    def _check_answer(self, now: int, request: _RequestHistory, where: str) -> None:
        self.extra_answers.record(request.answered, where)
        request.answered = True
        self.late.record((now - request.expires_us) / SECOND, where)
