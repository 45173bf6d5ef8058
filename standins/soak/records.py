"""What a run has seen, and the rules of the platform that it breaks."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

ANSWER_SLACK_S = 0.5  # after its client's time an answer only earns nothing
CANCEL_SLACK_S = 0.1  # an attempt that begins later after its client left is one too many
RULE_SLACK_S = 0.05  # on every time limit
MEASURE_SLACK_S = 0.06  # this program's own: it runs on the same machine


@dataclass(frozen=True)
class RequestKind:
    """A class of requests, as the settings tell it."""

    name: str
    wait_s: float
    effect: str
    window_s: float = 0.0


KINDS = (
    RequestKind("view", 1.2, "repeatable"),
    RequestKind("save", 2.4, "by_key", 1.0),
    RequestKind("edit", 1.6, "once"),
)
LONGEST_S = max(kind.wait_s for kind in KINDS)
DRAIN_GRACE_S = 0.5
PASSED_END_S = 1.0  # from the end of a server until its client's connection is ended or moved


class End(StrEnum):
    """How one side of a session ends it."""

    FIN = "FIN"
    RESET = "reset"


ENDS = tuple(End)
MOST_LAST_LINES = 3  # that one side writes in the moment of its end


@dataclass
class Session:
    """The lines of one session, as its client and its map server saw them."""

    written: list[bytes] = field(default_factory=list)  # by the server, behind UP
    received: list[bytes] | None = None  # by the client; None where it has not looked
    client_read_all: bool = False  # up to the end of its connection
    server_end: End | None = None  # where the server has ended it by itself
    server_ended: asyncio.Event = field(default_factory=asyncio.Event)  # by itself, or as it was switched off
    server_ended_at: float | None = None
    client_waited_until: float = 0.0  # until its connection had ended, or it gave up to wait for that
    sent: list[bytes] = field(default_factory=list)  # by the client
    taken: list[bytes] | None = None  # by the server; None where it has not read to the end
    client_end: End | None = None  # where the client has ended it by itself
    moved: bool = False
    passed_end: End | None = None  # what the server read at the end

    def note_server_end(self) -> None:
        """The server has ended the connection."""
        if self.server_ended_at is None:
            self.server_ended_at = time.monotonic()
            self.server_ended.set()

    def client_waited_s(self) -> float:
        """How long the client's connection stood after its server's end."""
        return 0.0 if self.server_ended_at is None else self.client_waited_until - self.server_ended_at

    def lost_lines(self) -> str:
        """What is missing at one side though the other has ended by itself behind it; "" for nothing."""
        lost = self._lost_at_client()
        return lost or self._lost_at_server()

    def _lost_at_client(self) -> str:
        if self.received is None:
            return ""
        received = [line for line in self.received if line != b"MOVE\r\n"]
        if received != self.written[: len(received)]:
            return f"its client got {received[-5:]}, which its server did not write in this order"
        complete = self.server_end is not None and self.client_read_all and not self.moved
        if complete and received != self.written:
            return f"after a {self.server_end} of its server {self.written[len(received) :]} were lost"
        return ""

    def _lost_at_server(self) -> str:
        # A client that resets sees no MOVE. A FIN at its server tells that the node has ended the session.
        complete = self.client_end is not None and self.passed_end is self.client_end and not self.moved
        if self.taken is None or not complete or self.server_end is not None or self.taken == self.sent:
            return ""
        return f"after a {self.client_end} of its client {self.sent[len(self.taken) :]} were lost"


@dataclass
class Attempt:
    """One attempt, as its map server saw it."""

    server: str
    began: float
    ended: float | None = None
    never_ran: bool = False  # it was turned away unseen
    session: Session = field(default_factory=Session)


@dataclass
class Request:
    """One request, as its client saw it."""

    id: str
    kind: RequestKind
    node: int
    sent: float = 0.0  # its last byte was written
    left: float | None = None  # the client went away without an answer
    answer: str | None = None  # its first word; "" where the connection ended without one
    answered: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Records:
    """All requests of a run, and what else counts."""

    requests: dict[str, Request] = field(default_factory=dict)
    told_to_avoid: dict[str, float] = field(default_factory=dict)  # servers, since when
    cut: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))  # sessions without a MOVE
    held_bad: list[str] = field(default_factory=list)  # bad clients that were neither answered nor closed
    broken: dict[int, int] = field(
        default_factory=lambda: defaultdict(int)
    )  # connections of clients broken by the machine
    broken_peers: dict[int, int] = field(default_factory=lambda: defaultdict(int))  # and of servers
    logs: dict[int, str] = field(default_factory=dict)  # of the nodes
    node_faults: list[str] = field(default_factory=list)  # crashes, late exits, faults of the module
    crowded: bool = False  # clients fill the descriptors: new connections may be shut unread
    late_loop_s: float = 0.0  # this program's own, at the worst

    def violations(self) -> list[str]:
        """Each rule that was broken, in a line."""
        found = list(self.node_faults) + self.held_bad
        unanswered: dict[int, list[str]] = defaultdict(list)
        truncated: dict[int, list[str]] = defaultdict(list)
        for request in self.requests.values():
            found += self._of_attempts(request)
            truncated[request.node] += [
                f"{request.id} at {attempt.server}: {missing}"
                for attempt in request.attempts
                if (missing := attempt.session.lost_lines())
            ]
            if request.answer == "" and request.left is None:
                if self.crowded and not self._was_read(request):
                    continue
                unanswered[request.node].append(request.id)
            elif request.answer and request.answered - request.sent > self._latest(request):
                took = request.answered - request.sent
                found.append(f"{request.id} n{request.node}: answered {request.answer} after {took:.2f} s")
        for node in {*unanswered, *self.cut, *truncated}:
            lost, cut, short = unanswered.get(node, []), self.cut.get(node, []), truncated.get(node, [])
            ended, broken = len(lost) + len(cut), self.broken[node]
            if ended > broken or ended + len(short) > broken + self.broken_peers[node]:
                found.append(
                    f"n{node}: without an answer {lost}, cut without MOVE {cut}, lines lost {short}; "
                    f"the machine broke {broken} of clients, {self.broken_peers[node]} of servers"
                )
        return found

    def _was_read(self, request: Request) -> bool:
        return f'event="request taken" request={request.id}' in self.logs.get(request.node, "")

    def _latest(self, request: Request) -> float:
        return request.kind.wait_s + ANSWER_SLACK_S + MEASURE_SLACK_S + self.late_loop_s

    def _of_attempts(self, request: Request) -> list[str]:
        slack = MEASURE_SLACK_S + self.late_loop_s
        found, before, first_run = [], None, None
        for attempt in request.attempts:
            name = f"{request.id} n{request.node} at {attempt.server}"
            waited = attempt.session.client_waited_s()
            if waited > PASSED_END_S + RULE_SLACK_S + slack:
                found.append(f"{name}: its client was left waiting for {waited:.2f} s after its server's end")
            if request.left is not None and attempt.began > request.left + CANCEL_SLACK_S + slack:
                found.append(f"{name}: begun {attempt.began - request.left:.2f} s after its client left")
            avoid = self.told_to_avoid.get(attempt.server)
            if avoid is not None and attempt.began > avoid + DRAIN_GRACE_S + RULE_SLACK_S + slack:
                found.append(f"{name}: begun {attempt.began - avoid:.2f} s after the news of its drain")
            if before is not None and (before.ended is None or before.ended > attempt.began + slack):
                found.append(f"{name}: begun while another attempt was out")
            if first_run is not None and not self._may_repeat(request.kind, first_run, attempt, slack):
                found.append(f"{name}: a repeat of what may have run")
            before = attempt
            if first_run is None and not attempt.never_ran:
                first_run = attempt
        return found

    @staticmethod
    def _may_repeat(kind: RequestKind, first: Attempt, repeat: Attempt, slack: float) -> bool:
        if kind.effect == "once":
            return False
        within = repeat.began - first.began <= kind.window_s + RULE_SLACK_S + slack
        return kind.effect == "repeatable" or within

    def log_of(self, violation: str) -> list[str]:
        """What the nodes have logged of the requests that a violation names."""
        ids = [id for id in self.requests if id in violation]
        lines = [line for log in self.logs.values() for line in log.splitlines()]
        return [line for line in lines if any(f"request={id}" in line for id in ids)]
