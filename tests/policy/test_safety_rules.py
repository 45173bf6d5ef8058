"""Safety rules under random sequences of legal events, checked from events and actions alone."""

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

MAY_HAVE_RUN = (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class RandomHost:
    """Feeds random events to a policy and checks each action against the events before it."""

    def __init__(self, seed: int, options: Settings, endpoint_count: int = 12) -> None:
        self.rng = random.Random(seed)
        self.endpoint_count = endpoint_count
        self.options = options
        self.policy = Policy(options, seed)
        self.now = START
        self.entries: dict[EndpointId, Endpoint] = {}
        self.draining: set[EndpointId] = set()
        self.requests: dict[int, Request] = {}
        self.answers: Counter[int] = Counter()
        self.attempts: dict[int, list[tuple[EndpointId, int]]] = {}
        self.active: dict[int, tuple[int, EndpointId]] = {}
        self.established: set[int] = set()
        self.ended: set[int] = set()
        self.may_have_run: dict[int, tuple[Endpoint, int]] = {}
        self.timers: list[tuple[int, int]] = []
        self.feed(Started())

    def feed(self, event: Event) -> None:
        """Feed an event and check the resulting actions."""
        for action in self.policy.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self.check_answer(action)
            elif isinstance(action, SetTimer):
                assert action.delay_us > 0
                heappush(self.timers, (self.now + action.delay_us, action.token))
            elif isinstance(action, MigrateSession):
                assert action.request_id in self.established

    def is_finished(self, id: int) -> bool:
        return bool(self.answers[id]) or id in self.ended

    def check_attempt(self, send: StartAttempt) -> None:
        request = self.requests[send.request_id]
        cls = self.options.classes[request.class_index]
        attempts = self.attempts.setdefault(send.request_id, [])
        assert not self.is_finished(send.request_id)
        assert send.request_id not in self.active
        assert len(attempts) < self.options.limits.max_attempts
        assert send.endpoint in self.entries and send.endpoint not in self.draining
        assert self.now < request.expires_us and 0 < send.timeout_us <= request.expires_us - self.now
        if send.request_id in self.may_have_run and cls.idempotency != Idempotency.IDEMPOTENT:
            first, when = self.may_have_run[send.request_id]
            here = self.entries[send.endpoint]
            assert cls.idempotency == Idempotency.BY_KEY and self.now - when < cls.deduplication_window_us
            assert cls.deduplication_scope != DeduplicationScope.ZONE or here.zone == first.zone
            assert cls.deduplication_scope != DeduplicationScope.CELL or here.cell == first.cell
        self.active[send.request_id] = (len(attempts), send.endpoint)
        attempts.append((send.endpoint, self.now))

    def check_answer(self, answer: RejectRequest | FailRequest) -> None:
        request = self.requests[answer.request_id]
        cls = self.options.classes[request.class_index]
        assert not self.is_finished(request.id) and request.id not in self.established
        assert self.now <= request.expires_us + self.options.rules.answer_slack_us
        self.answers[request.id] += 1
        if isinstance(answer, RejectRequest) and (
            request.id in self.may_have_run or request.id in self.active
        ):
            assert cls.idempotency == Idempotency.IDEMPOTENT or (
                cls.idempotency == Idempotency.BY_KEY and cls.deduplication_scope == DeduplicationScope.ALL
            )

    def update_list(self) -> None:
        """Feed a random list update: endpoints are added, restart, drain, are missing, or nothing changes."""
        ids = self.rng.sample(range(self.endpoint_count), self.rng.randrange(self.endpoint_count + 1))
        full = self.rng.random() < 0.2
        new_entries = []
        for id in ids:
            started = self.rng.choice((0, 0, self.now, self.now - 5 * SECOND))
            state = self.rng.choice((0, 0, 0, 1, 2))
            new_entries.append(
                entry(
                    id,
                    availability=state,
                    started_us=started,
                    zone=id % 3,
                    cell=id % 4,
                    size=self.rng.uniform(0, 3),
                )
            )
        if full:
            self.draining = set(self.entries) - set(ids)
        for new_entry in new_entries:
            if new_entry.availability != Availability.GONE:
                self.entries[new_entry.id] = new_entry
            (self.draining.discard if new_entry.availability == 0 else self.draining.add)(new_entry.id)
        self.feed(
            EndpointListUpdate(ListUpdateKind.FULL if full else ListUpdateKind.DELTA, tuple(new_entries))
        )

    def request(self, id: int) -> None:
        extra = {
            "load": self.rng.choice((None, 0.0, 5.0, 500.0, float("nan"))),
            "is_migrated": self.rng.random() < 0.3,
            "mid_flow": self.rng.random() < 0.1,
            "tenant": self.rng.randrange(len(self.options.tenants) or 1),
            "affinity_group": self.rng.randrange(3),
        }
        wait = self.rng.randrange(1, 3 * SECOND)
        cls = self.rng.randrange(len(self.options.classes))
        self.requests[id] = Request(id, cls, self.now + wait, **extra)  # type: ignore[arg-type]
        self.feed(self.requests[id])

    def adopt(self, id: int) -> None:
        """Adopt a session, perhaps at an endpoint that no list names."""
        self.requests[id] = Request(id, 0, self.now, self.rng.choice((None, 3.0)))
        endpoint = self.rng.randrange(self.endpoint_count + 2)
        self.established.add(id)
        self.attempts[id], self.active[id] = [(endpoint, self.now)], (0, endpoint)
        self.feed(SessionAdopted(self.requests[id], endpoint))

    def report(self, id: int) -> None:
        attempt, endpoint = self.active[id]
        kind, value = self.rng.choice((1, 2)), self.rng.choice((0.0, 7.0, 5000.0, float("inf")))
        self.feed(SessionReport(id, attempt, endpoint, kind, value))

    def end(self, id: int) -> None:
        """Establish or end an attempt, or report on its session."""
        attempt, endpoint = self.active[id]
        if id not in self.established and not self.is_finished(id) and self.rng.random() < 0.4:
            self.established.add(id)
            self.feed(SessionEstablished(id, attempt, endpoint, 20_000))
            return
        if id in self.established and self.rng.random() < 0.3:
            return self.report(id)
        result = self.rng.choice(list(AttemptResult))
        del self.active[id]
        if result in MAY_HAVE_RUN and id not in self.may_have_run and endpoint in self.entries:
            self.may_have_run[id] = (self.entries[endpoint], self.attempts[id][attempt][1])
        complete = id in self.established or result == AttemptResult.OK or self.is_finished(id)
        if complete:
            self.ended.add(id)
            self.established.discard(id)
        self.feed(AttemptEnded(id, attempt, endpoint, result, complete, 20_000, (self.rng.uniform(-1, 3),)))

    def pass_time(self, span_us: int) -> None:
        """Let time pass, and fire each timer at the time for which it was set."""
        until = self.now + span_us
        while self.timers and self.timers[0][0] <= until:
            when, token = heappop(self.timers)
            self.now = max(self.now, when)
            self.feed(TimerFired(token))
        self.now = until

    def run_random_events(self, steps: int) -> None:
        """Feed random events, then let enough time pass for every answer that is due."""
        for id in range(-20, 0):
            self.adopt(abs(id) + steps)
        for id in range(steps):
            draw = self.rng.random()
            if draw < 0.15:
                self.update_list()
            elif draw < 0.5:
                self.request(id)
            elif draw < 0.8 and self.active:
                self.end(self.rng.choice(sorted(self.active)))
            elif draw < 0.85 and self.requests:
                disconnected = self.rng.choice(sorted(self.requests))
                if disconnected not in self.established and not self.is_finished(disconnected):
                    self.ended.add(disconnected)
                    self.feed(ClientDisconnected(disconnected))
            elif draw < 0.9:
                self.feed(
                    HealthCheckEnded(
                        self.rng.randrange(20), self.rng.randrange(4), 900, (self.rng.uniform(0, 3),)
                    )
                )
            elif draw < 0.91:
                self.feed(
                    PeerMessageReceived(self.rng.randrange(5), self.rng.randbytes(self.rng.randrange(9)))
                )
            elif draw < 0.92 and all(self.is_finished(id) or id in self.established for id in self.requests):
                self.now += 3600 * SECOND  # no answer is due, so the machine may be suspended now
            elif draw < 0.93:
                for extra in range(50):  # a burst
                    self.request((id + 1) * 1000 + extra)
            else:
                self.pass_time(self.rng.randrange(SECOND))
        self.pass_time(5 * SECOND)
        for id in self.requests:
            assert self.answers[id] == 1 or id in self.ended or id in self.established


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
random_settings = st.builds(
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
@given(st.integers(0, 2**32), random_settings, st.sampled_from((1, 2, 12, 12, 300)))
def test_safety_rules_hold_for_random_events(seed: int, options: Settings, endpoint_count: int) -> None:
    RandomHost(seed, options, endpoint_count).run_random_events(150)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.integers(0, 2**32),
    st.integers(1, 30),
    st.integers(1, 5),
    st.floats(0.2, 15),
    st.floats(1.5, 6),
    st.integers(0, 300),
)
def test_warming_endpoints_are_sent_no_more_than_their_budget(
    seed: int, warm: int, warming: int, rate: float, multiple: float, adopted: int
) -> None:
    """In no window does a warming endpoint get more attempts than `multiple` times those of a warm one."""
    rules = SafetyRules(overload_multiple=multiple, slow_start_share=0.2, slow_start_us=20 * SECOND)
    endpoints = [entry(id) for id in range(warm)] + [
        entry(warm + id, started_us=START) for id in range(warming)
    ]
    host = RandomHost(seed, Settings(rules=rules, load_report_fields=("x0",)))
    host.entries = {new_entry.id: new_entry for new_entry in endpoints}
    host.feed(EndpointListUpdate(ListUpdateKind.FULL, tuple(endpoints)))
    for id in range(adopted):
        host.feed(SessionAdopted(Request(10**6 + id, 0, START), id % warm))
    sent: dict[EndpointId, list[int]] = {}
    for id in range(int(rate * 20)):
        host.pass_time(int(SECOND / rate))
        host.requests[id] = Request(id, 0, host.now + SECOND)
        host.feed(host.requests[id])
        for other, (attempt, endpoint) in tuple(host.active.items()):
            del host.active[other]
            sent.setdefault(endpoint, []).append(host.now)
            if host.rng.random() < 0.7:
                host.feed(SessionEstablished(other, attempt, endpoint, 20_000))
            else:
                host.feed(AttemptEnded(other, attempt, endpoint, AttemptResult.FULL, False, 900))
    usual = max(rate / warm, (adopted + rate * 20) / warm / MIN_MEAN_LOAD / 20)
    for id in range(warm, warm + warming):
        times = sent.get(id, [])
        for first, start in enumerate(times):
            within = sum(1 for when in times[first:] if when - start <= 2 * SECOND)
            assert within <= 2 + multiple * usual * 2
