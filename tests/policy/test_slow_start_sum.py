"""All nodes together send no more to a warming endpoint than the settings allow, on a virtual clock."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

import pytest

from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    ListUpdateKind,
    Prices,
    Request,
    SafetyRules,
    SessionAdopted,
    SessionEstablished,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
)
from stepflow.policy import Policy
from tests.policy.driver import SECOND, START, entry

CAPACITY_SESSIONS = 40.0  # sessions of mean load that fill an endpoint, by default
RULES = SafetyRules(
    slow_start_share=0.3, slow_start_us=8 * SECOND, overload_multiple=2.5, overload_after_us=1_500_000
)
WINDOW_US, STEP_US = RULES.overload_after_us, 50_000


def allowed(now: int, started: int, capacity_sessions: float = CAPACITY_SESSIONS) -> float:
    """Return the attempts allowed in the window that ends at `now`, for an endpoint started at `started`."""
    age = (now - started) / RULES.slow_start_us
    capacity = min(1.0, RULES.slow_start_share + (1 - RULES.slow_start_share) * age)
    rate = capacity_sessions / (RULES.slow_start_us / SECOND)  # fills the endpoint over its slow start
    return RULES.overload_multiple * capacity * rate * WINDOW_US / SECOND


@dataclass
class Fleet:
    """Nodes with equal endpoints. Each session is established at once, and lasts `life_s` on average."""

    nodes: int
    endpoints: int
    load: float
    seed: int
    life_s: float = math.inf  # mean life of a session
    capacity_sessions: float = CAPACITY_SESSIONS
    skew: float = 1.0  # busiest node's traffic / least busy node's; the others lie between
    open_sessions: dict[object, int] = field(default_factory=dict)
    started: dict[object, int] = field(default_factory=dict)
    sent: dict[object, list[int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng, self.now, self.last_id = random.Random(self.seed), START, 0
        self.settings = Settings(
            balancers=self.nodes, load_report_fields=("x0",), rules=RULES, prices=Prices(probe=0.004)
        )
        self.started = dict.fromkeys(range(self.endpoints), 0)
        self.open_sessions = dict.fromkeys(self.started, 0)
        self.timers: list[dict[int, int]] = [{} for _ in range(self.nodes)]
        self.traffic_shares = [self.skew ** (n / max(1, self.nodes - 1)) for n in range(self.nodes)]
        self.policies = [self.start_node(n) for n in range(self.nodes)]
        for _ in range(round(self.load * self.capacity_sessions * self.endpoints)):
            node, endpoint = self.random_node(), self.rng.randrange(self.endpoints)
            self.last_id += 1
            self.open_sessions[endpoint] += 1
            self.feed(node, SessionAdopted(Request(self.last_id, 0, 0, 1.0), endpoint))

    def start_node(self, node: int) -> Policy:
        """Start a new process of a node."""
        self.timers[node] = {}
        policy = Policy(self.settings, self.seed * 1000 + node + self.now)
        self.run(node, policy.handle(self.now, Started()), policy)
        self.run(
            node, policy.handle(self.now, EndpointListUpdate(ListUpdateKind.CACHED, self.entries())), policy
        )
        return policy

    def entries(self) -> tuple[Endpoint, ...]:
        return tuple(entry(id, started_us=at) for id, at in self.started.items())

    def random_node(self) -> int:
        return self.rng.choices(range(self.nodes), self.traffic_shares)[0]

    def feed(self, node: int, event: Event) -> None:
        policy = self.policies[node]
        self.run(node, policy.handle(self.now, event), policy)

    def run(self, node: int, actions: list[Action], policy: Policy) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers[node][action.token] = self.now + action.delay_us
            elif isinstance(action, StartHealthCheck):
                capacity = allowed(self.now, self.started[action.endpoint]) / allowed(self.now, 0)
                x0 = (
                    self.open_sessions[action.endpoint]
                    / self.capacity_sessions
                    / (capacity if self.started[action.endpoint] else 1.0)
                )
                event = HealthCheckEnded(action.endpoint, AttemptResult.OK, 500, (x0,))
                self.run(node, policy.handle(self.now, event), policy)
            elif isinstance(action, StartAttempt):
                self.sent.setdefault(action.endpoint, []).append(self.now)
                self.open_sessions[action.endpoint] += 1
                up = SessionEstablished(action.request_id, 0, action.endpoint, 20_000)
                self.run(node, policy.handle(self.now, up), policy)

    def pass_time(self, seconds: float, rate: float, is_migrated: bool = False) -> None:
        for _ in range(round(seconds * SECOND / STEP_US)):
            self.now += STEP_US
            self.end_sessions(STEP_US / SECOND / self.life_s)
            for node, timers in enumerate(self.timers):
                for token in [token for token, due in timers.items() if due <= self.now]:
                    del timers[token]
                    self.feed(node, TimerFired(token))
            expected = rate * STEP_US / SECOND
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self.last_id += 1
                request = Request(self.last_id, 0, self.now + 2 * SECOND, 1.0, is_migrated=is_migrated)
                self.feed(self.random_node(), request)

    def end_sessions(self, share: float) -> None:
        """End about this share of all sessions."""
        for node, policy in enumerate(self.policies if share else ()):
            for request in [
                f for f in policy.requests.values() if f.is_established and self.rng.random() < share
            ]:
                assert request.endpoint is not None
                self.open_sessions[request.endpoint.id] -= 1
                id = request.request.id
                end = AttemptEnded(id, request.attempts - 1, request.endpoint.id, AttemptResult.OK, True, 0)
                self.feed(node, end)

    def restart_endpoints(self, *endpoints: int) -> None:
        """Restart endpoints, which ends their sessions."""
        for endpoint in endpoints:
            self.started[endpoint], self.open_sessions[endpoint] = self.now, 0
            self.sent.pop(endpoint, None)
        entries = tuple(entry(id, started_us=self.now) for id in endpoints)
        for node, policy in enumerate(self.policies):
            for request in [f for f in policy.requests.values() if f.endpoint and f.endpoint.id in endpoints]:
                assert request.endpoint is not None
                end = AttemptEnded(
                    request.request.id,
                    request.attempts - 1,
                    request.endpoint.id,
                    AttemptResult.RESET,
                    True,
                    0,
                )
                self.feed(node, end)
            self.feed(node, EndpointListUpdate(ListUpdateKind.DELTA, entries))

    def restart_nodes(self, nodes: int) -> int:
        """Kill and restart this many nodes. Returns the number of sessions that they held."""
        lost = 0
        for node in range(nodes):
            for request in self.policies[node].requests.values():
                assert request.endpoint is not None
                self.open_sessions[request.endpoint.id] -= 1
                lost += 1
            self.policies[node] = self.start_node(node)
        return lost

    def max_window_ratio(self) -> float:
        """Return the highest ratio of attempts to allowed ones in any window, with a margin for chance."""
        worst = 0.0
        for endpoint, times in self.sent.items():
            if not self.started[endpoint]:
                continue
            for i, end in enumerate(times):
                if end - self.started[endpoint] >= RULES.slow_start_us:
                    break
                count = sum(end - t < WINDOW_US for t in times[: i + 1])
                n = allowed(end, self.started[endpoint], self.capacity_sessions)
                worst = max(worst, count / (n + 2 * math.sqrt(n) + 2))
        return worst


SEEDS = range(1, 5)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("skew", [1.0, 9.0])
@pytest.mark.parametrize("nodes", [6, 30])
def test_a_few_warming_endpoints_get_no_more_than_is_allowed(nodes: int, skew: float, seed: int) -> None:
    fleet = Fleet(nodes, 20, 0.5, seed, skew=skew)
    fleet.pass_time(4, 10)
    fleet.restart_endpoints(0, 1, 2)
    fleet.pass_time(9, 30)
    assert 0 < fleet.max_window_ratio() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
def test_budgets_saved_while_idle_are_not_spent_at_once(nodes: int, seed: int) -> None:
    """A burst must not spend all budgets at once: each node saves an attempt for each warming endpoint."""
    fleet = Fleet(nodes, 20, 0.5, seed)
    fleet.pass_time(4, 10)
    fleet.restart_endpoints(0, 1, 2)
    fleet.pass_time(3, 1)
    fleet.pass_time(1, 200)
    assert 0 < fleet.max_window_ratio() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
def test_warming_endpoints_get_no_more_than_is_allowed_in_a_burst_after_node_restarts(
    nodes: int, seed: int
) -> None:
    fleet = Fleet(nodes, 20, 0.5, seed, skew=4.0)
    fleet.pass_time(4, 10)
    fleet.restart_endpoints(0, 1, 2)
    fleet.pass_time(1, 10)
    lost = fleet.restart_nodes(round(0.7 * nodes))
    fleet.pass_time(1.5, lost / 1.5, is_migrated=True)
    fleet.pass_time(3, 30)
    assert 0 < fleet.max_window_ratio() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
@pytest.mark.parametrize("warming", [18, 20])
def test_nearly_all_endpoints_warming_up_at_once_get_no_more_than_is_allowed(
    nodes: int, warming: int, seed: int
) -> None:
    """`max_window_ratio` was up to 1.39 when the capacity was learned as all sessions per warm endpoint."""
    fleet = Fleet(nodes, 20, 0.5, seed)
    fleet.pass_time(4, 10)
    fleet.restart_endpoints(*range(warming))
    fleet.pass_time(1.5, 18 * CAPACITY_SESSIONS * 0.5 / 1.5)
    fleet.pass_time(6, 30)
    assert 0 < fleet.max_window_ratio() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
@pytest.mark.parametrize(("warming", "life_s"), [(3, 4.0), (10, 4.0), (20, 4.0), (20, 10.0)])
def test_endpoints_with_sessions_shorter_than_the_slow_start_get_no_more_than_is_allowed(
    nodes: int, warming: int, life_s: float, seed: int
) -> None:
    """Guards against sending twice a warm endpoint's rate, which fills a warming endpoint too fast.

    `max_window_ratio` was then 1.40.
    """
    fleet = Fleet(nodes, 20, 0.5, seed, life_s, capacity_sessions=80.0)
    rate = 20 * 80.0 * 0.5 / life_s
    fleet.pass_time(4, rate)
    fleet.restart_endpoints(*range(warming))
    fleet.pass_time(1.5, 2 * rate + warming * 40 / 1.5)
    fleet.pass_time(6, rate)
    assert 0 < fleet.max_window_ratio() <= 1
