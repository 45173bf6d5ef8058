"""Records of one soak run, and the check of the platform's rules against them."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

ANSWER_SLACK_S = 0.5  # up to this long after the deadline an answer earns nothing but breaks no rule
CANCEL_SLACK_S = 0.1  # after its client has disconnected, an attempt may still start for this long
RULE_SLACK_S = 0.05  # tolerance on every time limit
MEASURE_SLACK_S = 0.06  # allowance for delays of this program, which runs on the same machine


@dataclass(frozen=True)
class RequestKind:
    """A request class as configured in the settings."""

    name: str
    deadline_s: float
    effect: str
    window_s: float = 0.0


KINDS = (
    RequestKind("view", 1.2, "repeatable"),
    RequestKind("save", 2.4, "by_key", 1.0),
    RequestKind("edit", 1.6, "once"),
)
MAX_DEADLINE_S = max(kind.deadline_s for kind in KINDS)
DRAIN_GRACE_S = 0.5
MAX_END_DELAY_S = 1.0  # longest time from an endpoint's end until its client is cut off or migrated


class End(StrEnum):
    """The way in which a client or an endpoint ends its side of a session."""

    FIN = "FIN"
    RESET = "reset"


ENDS = tuple(End)
MAX_LAST_LINES = 3  # largest number of lines that one side writes directly before its end


@dataclass
class Session:
    """The lines of one session, as seen by its client and its endpoint."""

    sent_by_endpoint: list[bytes] = field(default_factory=list)  # lines after UP
    received_by_client: list[bytes] | None = None  # None if the client has not collected them
    client_read_all: bool = False  # the client has read to the end of its connection
    endpoint_end: End | None = None  # how the endpoint ended the session on its own initiative
    endpoint_ended: asyncio.Event = field(default_factory=asyncio.Event)  # the endpoint ended or stopped
    endpoint_ended_at: float | None = None
    client_waited_until: float = 0.0  # end of its connection or of its wait; 0.0: not checked
    sent_by_client: list[bytes] = field(default_factory=list)
    received_by_endpoint: list[bytes] | None = None  # None before UP
    client_end: End | None = None  # how the client ended the session on its own initiative
    migrated: bool = False  # the client received MOVE
    end_at_endpoint: End | None = None  # the end that the endpoint saw

    def note_endpoint_end(self) -> None:
        """Record the time of the endpoint's first end of the connection."""
        if self.endpoint_ended_at is None:
            self.endpoint_ended_at = time.monotonic()
            self.endpoint_ended.set()

    def client_waited_s(self) -> float:
        """Return the seconds that the client's connection stayed open after the endpoint's end, if any."""
        return 0.0 if self.endpoint_ended_at is None else self.client_waited_until - self.endpoint_ended_at

    def lost_lines(self) -> str:
        """Describe the lines that one side sent before its end but the other did not get; "" if none."""
        lost_at_client = self._lost_at_client()
        return lost_at_client or self._lost_at_endpoint()

    def _lost_at_client(self) -> str:
        if self.received_by_client is None:
            return ""
        received = [line for line in self.received_by_client if line != b"MOVE\r\n"]
        if received != self.sent_by_endpoint[: len(received)]:
            return f"the client received {received[-5:]}, which the endpoint did not send in this order"
        complete = self.endpoint_end is not None and self.client_read_all and not self.migrated
        if complete and received != self.sent_by_endpoint:
            return (
                f"after a {self.endpoint_end} by the endpoint, {self.sent_by_endpoint[len(received) :]} "
                "did not reach the client"
            )
        return ""

    def _lost_at_endpoint(self) -> str:
        # A client that resets does not see a MOVE. An endpoint that then sees a FIN shows that the node had
        # ended the session itself.
        complete = (
            self.client_end is not None and self.end_at_endpoint is self.client_end and not self.migrated
        )
        if (
            self.received_by_endpoint is None
            or not complete
            or self.endpoint_end is not None
            or self.received_by_endpoint == self.sent_by_client
        ):
            return ""
        return (
            f"after a {self.client_end} by the client, "
            f"{self.sent_by_client[len(self.received_by_endpoint) :]} did not reach the endpoint"
        )


@dataclass
class Attempt:
    """One attempt, as seen by its endpoint."""

    endpoint: str
    started_at: float
    ended_at: float | None = None
    rejected: bool = False  # answered with BUSY, so that the request was not run
    session: Session = field(default_factory=Session)


@dataclass
class Request:
    """One request, as seen by its client."""

    id: str
    kind: RequestKind
    node: int
    sent_at: float = 0.0  # time at which its last byte was written
    left_at: float | None = None  # time at which the client disconnected without an answer
    answer: str | None = None  # first word of the answer; "" if the connection ended without an answer
    answered_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Records:
    """All requests of a run, and the other observations that the rules need."""

    requests: dict[str, Request] = field(default_factory=dict)
    # Time from which all nodes are assumed to know of an endpoint's drain, by endpoint.
    drain_announced_at: dict[str, float] = field(default_factory=dict)
    # Sessions that ended without MOVE, by node.
    cut_sessions: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))
    held_half_lines: list[str] = field(default_factory=list)  # neither answered nor closed in time
    # Connections that injected machine faults have broken, by node.
    broken_client_connections: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    broken_endpoint_connections: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    logs: dict[int, str] = field(default_factory=dict)  # text of the log by node
    # Failed starts, unexpected and late exits, and faults in the log.
    node_faults: list[str] = field(default_factory=list)
    crowded: bool = False  # idle clients use up the descriptors, so the node may close new connections unread
    loop_delay_s: float = 0.0  # longest delay of this program's own event loop

    def violations(self) -> list[str]:
        """Return a line for each rule that was broken."""
        found = list(self.node_faults) + self.held_half_lines
        unanswered: dict[int, list[str]] = defaultdict(list)
        truncated: dict[int, list[str]] = defaultdict(list)
        for request in self.requests.values():
            found += self._attempt_violations(request)
            truncated[request.node] += [
                f"{request.id} at {attempt.endpoint}: {missing}"
                for attempt in request.attempts
                if (missing := attempt.session.lost_lines())
            ]
            if request.answer == "" and request.left_at is None:
                if self.crowded and not self._was_read(request):
                    continue
                unanswered[request.node].append(request.id)
            elif request.answer and request.answered_at - request.sent_at > self._answer_limit_s(request):
                took = request.answered_at - request.sent_at
                found.append(f"{request.id} n{request.node}: answered {request.answer} after {took:.2f} s")
        for node in {*unanswered, *self.cut_sessions, *truncated}:
            without_answer, without_move, with_lost_lines = (
                unanswered.get(node, []),
                self.cut_sessions.get(node, []),
                truncated.get(node, []),
            )
            ended, broken = len(without_answer) + len(without_move), self.broken_client_connections[node]
            if (
                ended > broken
                or ended + len(with_lost_lines) > broken + self.broken_endpoint_connections[node]
            ):
                found.append(
                    f"n{node}: no answer {without_answer}, cut without MOVE {without_move}, "
                    f"lost lines {with_lost_lines}; injected faults broke {broken} client connections, "
                    f"{self.broken_endpoint_connections[node]} endpoint connections"
                )
        return found

    def _was_read(self, request: Request) -> bool:
        return f'event="request accepted" request={request.id}' in self.logs.get(request.node, "")

    def _answer_limit_s(self, request: Request) -> float:
        return request.kind.deadline_s + ANSWER_SLACK_S + MEASURE_SLACK_S + self.loop_delay_s

    def _attempt_violations(self, request: Request) -> list[str]:
        slack = MEASURE_SLACK_S + self.loop_delay_s
        found, previous, first_run = [], None, None
        for attempt in request.attempts:
            name = f"{request.id} n{request.node} at {attempt.endpoint}"
            waited = attempt.session.client_waited_s()
            if waited > MAX_END_DELAY_S + RULE_SLACK_S + slack:
                found.append(f"{name}: its client waited {waited:.2f} s for the end after the endpoint's end")
            if request.left_at is not None and attempt.started_at > request.left_at + CANCEL_SLACK_S + slack:
                found.append(
                    f"{name}: started {attempt.started_at - request.left_at:.2f} s after its client had left"
                )
            announced_at = self.drain_announced_at.get(attempt.endpoint)
            if (
                announced_at is not None
                and attempt.started_at > announced_at + DRAIN_GRACE_S + RULE_SLACK_S + slack
            ):
                found.append(
                    f"{name}: started {attempt.started_at - announced_at:.2f} s after its drain was announced"
                )
            if previous is not None and (
                previous.ended_at is None or previous.ended_at > attempt.started_at + slack
            ):
                found.append(f"{name}: started while the previous attempt was still open")
            if first_run is not None and not self._may_retry(request.kind, first_run, attempt, slack):
                found.append(f"{name}: retried although an earlier attempt may have taken effect")
            previous = attempt
            if first_run is None and not attempt.rejected:
                first_run = attempt
        return found

    @staticmethod
    def _may_retry(kind: RequestKind, first: Attempt, retry: Attempt, slack: float) -> bool:
        if kind.effect == "once":
            return False
        in_window = retry.started_at - first.started_at <= kind.window_s + RULE_SLACK_S + slack
        return kind.effect == "repeatable" or in_window

    def log_lines_of(self, violation: str) -> list[str]:
        """Return the nodes' log lines about the requests that a violation names."""
        ids = [id for id in self.requests if id in violation]
        lines = [line for log in self.logs.values() for line in log.splitlines()]
        return [line for line in lines if any(f"request={id}" in line for id in ids)]
