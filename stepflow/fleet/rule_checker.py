"""Checks policies against the rules of the service, by their events and actions.

An observer of a simulation, which takes no part in any decision. Of each rule it keeps the worst figure
beside its bound, so that the margin is known and not only whether the rule was kept. The names of rules are
part of reports.
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

SLACK_US = 50_000  # that delays between processes add to each limit


@dataclass
class Rule:
    """One rule: the bound of a figure, and the worst one that was seen."""

    name: str
    bound: float
    worst: float = 0.0
    violations: int = 0
    first_violation: str = ""

    def record(self, value: float, where: str) -> None:
        """Take a figure; `where` says when and by what it came about."""
        self.worst = max(self.worst, value)
        if value > self.bound:
            self.violations += 1
            self.first_violation = self.first_violation or where

    @property
    def margin(self) -> float:
        """Share of the bound that is left; for a bound of 0, 1 where it is kept."""
        return 1 - self.worst / self.bound if self.bound else float(not self.worst)


@dataclass(slots=True)
class _RequestHistory:
    """What is known of one request of a node."""

    expires_us: int
    limit: int
    attempts: int = 0
    in_flight: bool = False
    established: bool = False
    answered: bool = False  # it has its answer, or its client left


@dataclass
class _NodeHistory:
    """What one process of a node was told."""

    settings: Settings
    requests: dict[int, _RequestHistory] = field(default_factory=dict)
    listed: dict[EndpointId, int | None] = field(
        default_factory=dict
    )  # since when it must not be used; None for a ready one


class RuleChecker:
    """Checks all nodes of one run."""

    def __init__(self) -> None:
        self._nodes: dict[int, _NodeHistory] = {}
        self.late = Rule("answer or attempt after the deadline, s", 0.07)
        self.unanswered = Rule("requests without an answer", 0)
        self.extra_answers = Rule("answers too many", 0)
        self.attempts = Rule("attempts of one request over its limit", 0)
        self.overlap = Rule("attempts while one was out", 0)
        self.sent_to_draining = Rule("sent after a drain was told, s", 0.5 + SLACK_US / SECOND)
        self.unlisted = Rule("sent to a server that no list named", 0)
        self.slow_start = Rule("work sent to a cold server, of what makes it fall", 1)
        self.migrations = Rule("moves of what does not stand", 0)
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
            EndpointListUpdate: self._listed,
            Request: self._requested,
            SessionAdopted: self._adopted,
            SessionEstablished: self._established,
            AttemptEnded: self._ended,
            ClientDisconnected: self._left,
        }

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(rule.violations for rule in self.rules)

    def node_started(self, node: int, incarnation: int, settings: Settings) -> None:
        """A process starts, and knows nothing of the node's one before."""
        self._nodes[node] = _NodeHistory(settings)

    def event_handled(self, now: int, node: int, event: Event, actions: Iterable[Action]) -> None:
        """Check an event and the actions that followed it."""
        call = self._event_checks.get(type(event))
        if call is not None:
            call(now, self._nodes[node], event)
        for action in actions:
            self._check_action(now, node, action)

    def _check_action(self, now: int, node: int, action: Action) -> None:
        seen = self._nodes[node]
        where = f"{now / SECOND:.3f} s, node {node}: {action}"
        if isinstance(action, StartAttempt):
            self._sent(now, seen, action, where)
        elif isinstance(action, RejectRequest | FailRequest):
            request = seen.requests.get(action.request_id)
            self.extra_answers.record(request is None or request.answered, where)
            if request is not None:
                self._answered(now, request, where)
        elif isinstance(action, MigrateSession):
            request = seen.requests.get(action.request_id)
            self.migrations.record(request is None or not request.established, where)

    def run_ended(self, now: int, servers: Iterable[Server]) -> None:
        """Check for requests without an answer, and servers overloaded in their slow start."""
        for number, seen in self._nodes.items():
            for id, request in seen.requests.items():
                overdue = request.expires_us + self.late.bound * SECOND < now
                self.unanswered.record(not request.answered and overdue, f"node {number}: request {id}")
        for server in servers:
            self.slow_start.record(server.worst_overload, server.id)

    @staticmethod
    def _listed(now: int, seen: _NodeHistory, event: EndpointListUpdate) -> None:
        if event.kind == ListUpdateKind.FAILED:
            return
        if event.kind != ListUpdateKind.DELTA:
            named = {entry.id for entry in event.endpoints}
            for id, since in seen.listed.items():
                if id not in named and since is None:
                    seen.listed[id] = now
        for entry in event.endpoints:
            if entry.availability == Availability.READY:
                seen.listed[entry.id] = None
            elif seen.listed.get(entry.id) is None:
                seen.listed[entry.id] = now

    @staticmethod
    def _requested(now: int, seen: _NodeHistory, event: Request) -> None:
        seen.requests[event.id] = _RequestHistory(event.expires_us, seen.settings.limits.max_attempts)

    @staticmethod
    def _adopted(now: int, seen: _NodeHistory, event: SessionAdopted) -> None:
        seen.requests[event.request.id] = _RequestHistory(
            now, 1, 1, in_flight=True, established=True, answered=True
        )

    def _established(self, now: int, seen: _NodeHistory, event: SessionEstablished) -> None:
        request = seen.requests[event.request_id]
        request.established = True
        self._answered(now, request, f"{now / SECOND:.3f} s: {event}")

    @staticmethod
    def _ended(now: int, seen: _NodeHistory, event: AttemptEnded) -> None:
        request = seen.requests[event.request_id]
        request.in_flight = request.established = False
        if event.is_final:
            del seen.requests[event.request_id]

    @staticmethod
    def _left(now: int, seen: _NodeHistory, event: ClientDisconnected) -> None:
        request = seen.requests.get(event.request_id)
        if request is not None:
            request.answered = True

    def _sent(self, now: int, seen: _NodeHistory, action: StartAttempt, where: str) -> None:
        request = seen.requests.get(action.request_id)
        if request is None or request.answered:
            self.extra_answers.record(1, where)
            return
        self.late.record((now - request.expires_us) / SECOND, where)
        self.overlap.record(request.in_flight, where)
        request.attempts, request.in_flight = request.attempts + 1, True
        self.attempts.record(max(0, request.attempts - request.limit), where)
        since = seen.listed.get(action.endpoint, -1)
        self.unlisted.record(since == -1, where)
        if since is not None and since >= 0:
            self.sent_to_draining.record((now - since) / SECOND, where)

    def _answered(self, now: int, request: _RequestHistory, where: str) -> None:
        self.extra_answers.record(request.answered, where)
        request.answered = True
        self.late.record((now - request.expires_us) / SECOND, where)
