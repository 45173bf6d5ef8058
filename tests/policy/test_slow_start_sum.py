"""What all nodes together send to a cold server, on a virtual clock: the ramp's N, and what chance adds."""

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

FULL = 40.0  # connections of mean load that fill a server, where nothing else is said
RULES = SafetyRules(
    slow_start_share=0.3, slow_start_us=8 * SECOND, overload_multiple=2.5, overload_after_us=1_500_000
)
WINDOW_US, STEP_US = RULES.overload_after_us, 50_000


def allowed(now: int, started: int, full: float = FULL) -> float:
    """N: what the settings allow within the window that ends now, for a server that started then."""
    age = (now - started) / RULES.slow_start_us
    warmth = min(1.0, RULES.slow_start_share + (1 - RULES.slow_start_share) * age)
    rate = full / (RULES.slow_start_us / SECOND)  # fills it over its warm-up
    return RULES.overload_multiple * warmth * rate * WINDOW_US / SECOND


@dataclass
class World:
    """Nodes at equal servers; each request comes up at once, and stays or ends after a while."""

    nodes: int
    servers: int
    load: float
    seed: int
    life_s: float = math.inf  # of a connection, in the mean
    full: float = FULL
    uneven: float = 1.0  # the busiest node's traffic over the least busy one's, in steps
    open: dict[object, int] = field(default_factory=dict)
    started: dict[object, int] = field(default_factory=dict)
    sent: dict[object, list[int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng, self.now, self.ids = random.Random(self.seed), START, 0
        self.settings = Settings(
            balancers=self.nodes, load_report_fields=("x0",), rules=RULES, prices=Prices(probe=0.004)
        )
        self.started = dict.fromkeys(range(self.servers), 0)
        self.open = dict.fromkeys(self.started, 0)
        self.timers: list[dict[int, int]] = [{} for _ in range(self.nodes)]
        self.share = [self.uneven ** (n / max(1, self.nodes - 1)) for n in range(self.nodes)]
        self.policies = [self.begin(n) for n in range(self.nodes)]
        for _ in range(round(self.load * self.full * self.servers)):
            node, server = self.pick(), self.rng.randrange(self.servers)
            self.ids += 1
            self.open[server] += 1
            self.feed(node, SessionAdopted(Request(self.ids, 0, 0, 1.0), server))

    def begin(self, node: int) -> Policy:
        """A new process."""
        self.timers[node] = {}
        policy = Policy(self.settings, self.seed * 1000 + node + self.now)
        self.run(node, policy.handle(self.now, Started()), policy)
        self.run(
            node, policy.handle(self.now, EndpointListUpdate(ListUpdateKind.CACHED, self.listed())), policy
        )
        return policy

    def listed(self) -> tuple[Endpoint, ...]:
        return tuple(entry(id, started=at) for id, at in self.started.items())

    def pick(self) -> int:
        return self.rng.choices(range(self.nodes), self.share)[0]

    def feed(self, node: int, event: Event) -> None:
        policy = self.policies[node]
        self.run(node, policy.handle(self.now, event), policy)

    def run(self, node: int, actions: list[Action], policy: Policy) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers[node][action.token] = self.now + action.delay_us
            elif isinstance(action, StartHealthCheck):
                warmth = allowed(self.now, self.started[action.endpoint]) / allowed(self.now, 0)
                x0 = (
                    self.open[action.endpoint]
                    / self.full
                    / (warmth if self.started[action.endpoint] else 1.0)
                )
                event = HealthCheckEnded(action.endpoint, AttemptResult.OK, 500, (x0,))
                self.run(node, policy.handle(self.now, event), policy)
            elif isinstance(action, StartAttempt):
                self.sent.setdefault(action.endpoint, []).append(self.now)
                self.open[action.endpoint] += 1
                up = SessionEstablished(action.request_id, 0, action.endpoint, 20_000)
                self.run(node, policy.handle(self.now, up), policy)

    def pass_time(self, seconds: float, rate: float, returned: bool = False) -> None:
        for _ in range(round(seconds * SECOND / STEP_US)):
            self.now += STEP_US
            self.end_some(STEP_US / SECOND / self.life_s)
            for node, timers in enumerate(self.timers):
                for token in [token for token, due in timers.items() if due <= self.now]:
                    del timers[token]
                    self.feed(node, TimerFired(token))
            expected = rate * STEP_US / SECOND
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self.ids += 1
                request = Request(self.ids, 0, self.now + 2 * SECOND, 1.0, is_migrated=returned)
                self.feed(self.pick(), request)

    def end_some(self, share: float) -> None:
        """So many of the connections end, wherever they stand."""
        for node, policy in enumerate(self.policies if share else ()):
            for flight in [
                f for f in policy.requests.values() if f.is_established and self.rng.random() < share
            ]:
                assert flight.endpoint is not None
                self.open[flight.endpoint.id] -= 1
                id = flight.request.id
                end = AttemptEnded(id, flight.attempts - 1, flight.endpoint.id, AttemptResult.OK, True, 0)
                self.feed(node, end)

    def start_cold(self, *servers: int) -> None:
        """These are replaced: what they held is gone."""
        for server in servers:
            self.started[server], self.open[server] = self.now, 0
            self.sent.pop(server, None)
        news = tuple(entry(id, started=self.now) for id in servers)
        for node, policy in enumerate(self.policies):
            for flight in [f for f in policy.requests.values() if f.endpoint and f.endpoint.id in servers]:
                assert flight.endpoint is not None
                end = AttemptEnded(
                    flight.request.id, flight.attempts - 1, flight.endpoint.id, AttemptResult.RESET, True, 0
                )
                self.feed(node, end)
            self.feed(node, EndpointListUpdate(ListUpdateKind.DELTA, news))

    def restart(self, nodes: int) -> int:
        """So many nodes are killed and begin anew; tells how many connections they held."""
        lost = 0
        for node in range(nodes):
            for flight in self.policies[node].requests.values():
                assert flight.endpoint is not None
                self.open[flight.endpoint.id] -= 1
                lost += 1
            self.policies[node] = self.begin(node)
        return lost

    def worst(self) -> float:
        """The most that a server got in a window, over what is allowed with chance's part."""
        worst = 0.0
        for server, times in self.sent.items():
            if not self.started[server]:
                continue
            for i, end in enumerate(times):
                if end - self.started[server] >= RULES.slow_start_us:
                    break
                count = sum(end - t < WINDOW_US for t in times[: i + 1])
                n = allowed(end, self.started[server], self.full)
                worst = max(worst, count / (n + 2 * math.sqrt(n) + 2))
        return worst


SEEDS = range(1, 5)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("uneven", [1.0, 9.0])
@pytest.mark.parametrize("nodes", [6, 30])
def test_a_few_cold_servers_among_many(nodes: int, uneven: float, seed: int) -> None:
    world = World(nodes, 20, 0.5, seed, uneven=uneven)
    world.pass_time(4, 10)
    world.start_cold(0, 1, 2)
    world.pass_time(9, 30)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
def test_what_was_saved_up_in_a_lull_is_not_spent_at_once(nodes: int, seed: int) -> None:
    """Every node had saved a connection for each cold server, and a burst brought all of them."""
    world = World(nodes, 20, 0.5, seed)
    world.pass_time(4, 10)
    world.start_cold(0, 1, 2)
    world.pass_time(3, 1)
    world.pass_time(1, 200)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
def test_most_nodes_are_restarted_and_their_clients_come_at_once(nodes: int, seed: int) -> None:
    world = World(nodes, 20, 0.5, seed, uneven=4.0)
    world.pass_time(4, 10)
    world.start_cold(0, 1, 2)
    world.pass_time(1, 10)
    lost = world.restart(round(0.7 * nodes))
    world.pass_time(1.5, lost / 1.5, returned=True)
    world.pass_time(3, 30)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
@pytest.mark.parametrize("cold", [18, 20])
def test_nearly_all_servers_are_cold_at_once(nodes: int, cold: int, seed: int) -> None:
    """What one bears was told from connections at all servers over the few that were warm: up to 1.39."""
    world = World(nodes, 20, 0.5, seed)
    world.pass_time(4, 10)
    world.start_cold(*range(cold))
    world.pass_time(1.5, 18 * FULL * 0.5 / 1.5)
    world.pass_time(6, 30)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", [6, 30])
@pytest.mark.parametrize(("cold", "life_s"), [(3, 4.0), (10, 4.0), (20, 4.0), (20, 10.0)])
def test_connections_that_come_and_go_faster_than_a_server_warms_up(
    nodes: int, cold: int, life_s: float, seed: int
) -> None:
    """As many as come to a warm server were sent, twice over, though that fills a cold one too fast: 1.40."""
    world = World(nodes, 20, 0.5, seed, life_s, full=80.0)
    rate = 20 * 80.0 * 0.5 / life_s
    world.pass_time(4, rate)
    world.start_cold(*range(cold))
    world.pass_time(1.5, 2 * rate + cold * 40 / 1.5)
    world.pass_time(6, rate)
    assert 0 < world.worst() <= 1
