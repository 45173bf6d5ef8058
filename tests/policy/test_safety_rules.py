"""The four rules under legal but odd sequences of events, read off events and actions alone."""

from __future__ import annotations

import random
from collections import Counter
from heapq import heappop, heappush

from hypothesis import given, settings
from hypothesis import strategies as st

from stepflow.budgets.slow_start import MIN_MEAN_LOAD
from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    Availability,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    FailRequest,
    HealthCheckEnded,
    Idempotency,
    Limits,
    ListUpdateKind,
    MigrateSession,
    PeerMessageReceived,
    Prices,
    RejectRequest,
    Request,
    RequestClass,
    SafetyRules,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    Tenant,
    TimerFired,
)
from stepflow.policy import Policy
from tests.policy.driver import SECOND, START, entry

MAYBE_RAN = (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class World:
    """Plays odd events to a policy and checks each action against what the policy has been told."""

    def __init__(self, seed: int, options: Settings, servers: int = 12) -> None:
        self.rng = random.Random(seed)
        self.servers = servers
        self.options = options
        self.policy = Policy(options, seed)
        self.now = START
        self.listed: dict[EndpointId, Endpoint] = {}
        self.leaving: set[EndpointId] = set()
        self.requests: dict[int, Request] = {}
        self.answers: Counter[int] = Counter()
        self.attempts: dict[int, list[tuple[EndpointId, int]]] = {}
        self.out: dict[int, tuple[int, EndpointId]] = {}
        self.up: set[int] = set()
        self.gone: set[int] = set()
        self.ran: dict[int, tuple[Endpoint, int]] = {}
        self.timers: list[tuple[int, int]] = []
        self.feed(Started())

    def feed(self, event: Event) -> None:
        """Feed an event and check what comes of it."""
        for action in self.policy.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check_send(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self.check_answer(action)
            elif isinstance(action, SetTimer):
                assert action.delay_us > 0
                heappush(self.timers, (self.now + action.delay_us, action.token))
            elif isinstance(action, MigrateSession):
                assert action.request_id in self.up

    def finished(self, id: int) -> bool:
        return bool(self.answers[id]) or id in self.gone

    def check_send(self, send: StartAttempt) -> None:
        request = self.requests[send.request_id]
        cls = self.options.classes[request.class_index]
        attempts = self.attempts.setdefault(send.request_id, [])
        assert not self.finished(send.request_id)
        assert send.request_id not in self.out
        assert len(attempts) < self.options.limits.max_attempts
        assert send.endpoint in self.listed and send.endpoint not in self.leaving
        assert self.now < request.expires_us and 0 < send.timeout_us <= request.expires_us - self.now
        if send.request_id in self.ran and cls.idempotency != Idempotency.IDEMPOTENT:
            first, when = self.ran[send.request_id]
            here = self.listed[send.endpoint]
            assert cls.idempotency == Idempotency.BY_KEY and self.now - when < cls.deduplication_window_us
            assert cls.deduplication_scope != DeduplicationScope.ZONE or here.zone == first.zone
            assert cls.deduplication_scope != DeduplicationScope.CELL or here.cell == first.cell
        self.out[send.request_id] = (len(attempts), send.endpoint)
        attempts.append((send.endpoint, self.now))

    def check_answer(self, answer: RejectRequest | FailRequest) -> None:
        request = self.requests[answer.request_id]
        cls = self.options.classes[request.class_index]
        assert not self.finished(request.id) and request.id not in self.up
        assert self.now <= request.expires_us + self.options.rules.answer_slack_us
        self.answers[request.id] += 1
        if isinstance(answer, RejectRequest) and (request.id in self.ran or request.id in self.out):
            assert cls.idempotency == Idempotency.IDEMPOTENT or (
                cls.idempotency == Idempotency.BY_KEY and cls.deduplication_scope == DeduplicationScope.ALL
            )

    def news(self) -> None:
        """Odd news of the list: servers come, restart, drain, vanish from it, or nothing at all."""
        ids = self.rng.sample(range(self.servers), self.rng.randrange(self.servers + 1))
        full = self.rng.random() < 0.2
        rows = []
        for id in ids:
            started = self.rng.choice((0, 0, self.now, self.now - 5 * SECOND))
            state = self.rng.choice((0, 0, 0, 1, 2))
            rows.append(
                entry(id, state=state, started=started, zone=id % 3, cell=id % 4, size=self.rng.uniform(0, 3))
            )
        if full:
            self.leaving = set(self.listed) - set(ids)
        for row in rows:
            if row.availability != Availability.GONE:
                self.listed[row.id] = row
            (self.leaving.discard if row.availability == 0 else self.leaving.add)(row.id)
        self.feed(EndpointListUpdate(ListUpdateKind.FULL if full else ListUpdateKind.DELTA, tuple(rows)))

    def request(self, id: int) -> None:
        more = {
            "load": self.rng.choice((None, 0.0, 5.0, 500.0, float("nan"))),
            "is_migrated": self.rng.random() < 0.3,
            "mid_flow": self.rng.random() < 0.1,
            "tenant": self.rng.randrange(len(self.options.tenants) or 1),
            "affinity_group": self.rng.randrange(3),
        }
        wait = self.rng.randrange(1, 3 * SECOND)
        cls = self.rng.randrange(len(self.options.classes))
        self.requests[id] = Request(id, cls, self.now + wait, **more)  # type: ignore[arg-type]
        self.feed(self.requests[id])

    def adopt(self, id: int) -> None:
        """A connection was open at the start, perhaps at a server that no list names."""
        self.requests[id] = Request(id, 0, self.now, self.rng.choice((None, 3.0)))
        server = self.rng.randrange(self.servers + 2)
        self.up.add(id)
        self.attempts[id], self.out[id] = [(server, self.now)], (0, server)
        self.feed(SessionAdopted(self.requests[id], server))

    def note(self, id: int) -> None:
        attempt, server = self.out[id]
        kind, value = self.rng.choice((1, 2)), self.rng.choice((0.0, 7.0, 5000.0, float("inf")))
        self.feed(SessionReport(id, attempt, server, kind, value))

    def end(self, id: int) -> None:
        """An attempt ends, or its connection comes up."""
        attempt, server = self.out[id]
        if id not in self.up and not self.finished(id) and self.rng.random() < 0.4:
            self.up.add(id)
            self.feed(SessionEstablished(id, attempt, server, 20_000))
            return
        if id in self.up and self.rng.random() < 0.3:
            return self.note(id)
        result = self.rng.choice(list(AttemptResult))
        del self.out[id]
        if result in MAYBE_RAN and id not in self.ran and server in self.listed:
            self.ran[id] = (self.listed[server], self.attempts[id][attempt][1])
        complete = id in self.up or result == AttemptResult.OK or self.finished(id)
        if complete:
            self.gone.add(id)
            self.up.discard(id)
        self.feed(AttemptEnded(id, attempt, server, result, complete, 20_000, (self.rng.uniform(-1, 3),)))

    def pass_time(self, span_us: int) -> None:
        """Time passes and timers come due, at the time they were set for."""
        until = self.now + span_us
        while self.timers and self.timers[0][0] <= until:
            when, token = heappop(self.timers)
            self.now = max(self.now, when)
            self.feed(TimerFired(token))
        self.now = until

    def play(self, steps: int) -> None:
        """Many odd events, then enough time for every answer that is owed."""
        for id in range(-20, 0):
            self.adopt(abs(id) + steps)
        for id in range(steps):
            what = self.rng.random()
            if what < 0.15:
                self.news()
            elif what < 0.5:
                self.request(id)
            elif what < 0.8 and self.out:
                self.end(self.rng.choice(sorted(self.out)))
            elif what < 0.85 and self.requests:
                gone = self.rng.choice(sorted(self.requests))
                if gone not in self.up and not self.finished(gone):
                    self.gone.add(gone)
                    self.feed(ClientDisconnected(gone))
            elif what < 0.9:
                self.feed(
                    HealthCheckEnded(
                        self.rng.randrange(20), self.rng.randrange(4), 900, (self.rng.uniform(0, 3),)
                    )
                )
            elif what < 0.91:
                self.feed(
                    PeerMessageReceived(self.rng.randrange(5), self.rng.randbytes(self.rng.randrange(9)))
                )
            elif what < 0.92 and all(self.finished(id) or id in self.up for id in self.requests):
                self.now += 3600 * SECOND  # nothing is owed: the host may have slept
            elif what < 0.93:
                for more in range(50):  # a flood
                    self.request((id + 1) * 1000 + more)
            else:
                self.pass_time(self.rng.randrange(SECOND))
        self.pass_time(5 * SECOND)
        for id in self.requests:
            assert self.answers[id] == 1 or id in self.gone or id in self.up


classes = st.lists(
    st.builds(
        RequestClass,
        idempotency=st.sampled_from(Idempotency),
        deduplication_scope=st.sampled_from(DeduplicationScope),
        deduplication_window_us=st.integers(0, 3 * SECOND),
        priority_weight=st.floats(0, 9),
        message_latency_objective_us=st.sampled_from((0.0, 60_000.0)),
    ),
    min_size=1,
    max_size=3,
).map(tuple)
limits = st.builds(
    Limits,
    max_attempts=st.integers(1, 6),
    health_checks=st.booleans(),
    peer_messages=st.booleans(),
    cancellation=st.booleans(),
    retry_after=st.booleans(),
)
tenants = st.sampled_from(((), (Tenant("a", 0.7, 5.0, 50.0), Tenant("b", 0.3, 1.0, 9.0))))
prices = st.builds(Prices, cross_zone=st.sampled_from((0.0, 0.1)), probe=st.sampled_from((0.0, 0.002, 1.0)))
odd_settings = st.builds(
    Settings,
    balancers=st.sampled_from((1, 2, 300)),
    classes=classes,
    limits=limits,
    prices=prices,
    tenants=tenants,
    pass_through=st.booleans(),
    weight_by_work=st.booleans(),
    polls_endpoint_list=st.booleans(),
    load_report_fields=st.sampled_from(((), ("x0",), ("inflight",))),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), odd_settings, st.sampled_from((1, 2, 12, 12, 300)))
def test_the_rules_hold(seed: int, options: Settings, servers: int) -> None:
    World(seed, options, servers).play(150)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.integers(0, 2**32),
    st.integers(1, 30),
    st.integers(1, 5),
    st.floats(0.2, 15),
    st.floats(1.5, 6),
    st.integers(0, 300),
)
def test_cold_servers_are_sent_no_more_than_their_budget(
    seed: int, warm: int, cold: int, pace: float, multiple: float, standing: int
) -> None:
    """No window holds more sends to a cold server than the stated multiple of what a warm one takes."""
    rules = SafetyRules(overload_multiple=multiple, slow_start_share=0.2, slow_start_us=20 * SECOND)
    servers = [entry(id) for id in range(warm)] + [entry(warm + id, started=START) for id in range(cold)]
    world = World(seed, Settings(rules=rules, load_report_fields=("x0",)))
    world.listed = {row.id: row for row in servers}
    world.feed(EndpointListUpdate(ListUpdateKind.FULL, tuple(servers)))
    for id in range(standing):
        world.feed(SessionAdopted(Request(10**6 + id, 0, START), id % warm))
    sent: dict[EndpointId, list[int]] = {}
    for id in range(int(pace * 20)):
        world.pass_time(int(SECOND / pace))
        world.requests[id] = Request(id, 0, world.now + SECOND)
        world.feed(world.requests[id])
        for other, (attempt, server) in tuple(world.out.items()):
            del world.out[other]
            sent.setdefault(server, []).append(world.now)
            if world.rng.random() < 0.7:
                world.feed(SessionEstablished(other, attempt, server, 20_000))
            else:
                world.feed(AttemptEnded(other, attempt, server, AttemptResult.FULL, False, 900))
    usual = max(pace / warm, (standing + pace * 20) / warm / MIN_MEAN_LOAD / 20)
    for id in range(warm, warm + cold):
        times = sent.get(id, [])
        for first, start in enumerate(times):
            within = sum(1 for when in times[first:] if when - start <= 2 * SECOND)
            assert within <= 2 + multiple * usual * 2
