"""Settings of any customer, whatever they say: the decisions go on, through events in any order."""

from __future__ import annotations

import random
from typing import Any

import pytest

from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    Availability,
    ClientDisconnected,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    FailRequest,
    HealthCheckEnded,
    ListUpdateKind,
    RejectRequest,
    Request,
    SessionEstablished,
    SessionReport,
    SessionReportKind,
    SetTimer,
    StartAttempt,
    Started,
    TimerFired,
)
from stepflow.policy import Policy
from stepflow.settings import merge_settings, parse_node_settings

FIELDS = ("x0", "x1", "utilization", "inflight", "qps", "latency_ms", "queue")
VALUES = (0.0, 0.2, 4.0, -1.0, float("nan"), float("inf"))


def tree(rng: random.Random) -> dict[str, Any]:
    """Settings at their ends: nothing, next to nothing, and far more than the sites we know have."""

    def one(*values: Any) -> Any:
        return rng.choice(values)

    classes = [
        {
            "name": f"c{number}",
            "aim_us": one(0, 50_000),
            "give_up_us": one(1, 200_000, 60_000_000),
            "effect": one("repeatable", "by_key", "once"),
            "key_scope": one("cell", "zone", "all"),
            "key_ttl_us": one(0, 1, 5_000_000),
            "credit": one(0.0, 1.0, 1e9),
        }
        for number in range(rng.randrange(5))
    ]
    tenants = [{"name": f"t{n}", "fraction": one(0.0, 0.5, 1.0)} for n in range(rng.randrange(4))]
    costs = ("cross_zone", "late_fail", "moves", "peer", "probe", "waste")
    return {
        "group_size": one(1, 3, 200),
        "position": one(0, 199),
        "zone": one(0, 5),
        "azs": one([], ["a", "b"]),
        "kinds": one([], ["k", "j"]),
        "classes": classes,
        "tenants": tenants,
        "costs": {name: one(0.0, 1e-12, 0.004, 1.0) for name in costs},
        "policy_limits": {
            "most_tries": one(1, 6),
            "probing": one(True, False),
            "cancel": one(True, False),
            "retry_after": one(True, False),
            "max_retry_after_us": one(0, 1, 1_500_000),
        },
        "safety": {
            "ask_within_us": one(0, 1, 8_000_000),
            "cold_share": one(0.0, 0.13, 1.0),
            "warm_after_us": one(0, 1, 23_000_000),
            "drain_grace_us": one(0, 4_000_000),
            "fall_multiple": one(0.01, 2.5),
            "overload_for_us": one(0, 1_500_000),
        },
        "report": {"fields": rng.sample(FIELDS, rng.randrange(5)), "via": one("none", "probe", "answer")},
        "domain": {"mode": one("proxy", "pass"), "message_aim_us": [one(0, 50_000.0) for _ in classes]},
        "discovery": one("pushed", "on_request"),
        "weights": one("none", "live"),
        "tick_us": one(1, 50_000),
    }


class Story:
    """Events at random for one module; each that speaks of an attempt speaks of one that is out or up."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.settings = parse_node_settings(tree(rng)).policy
        self.policy, self.now, self.ids = Policy(self.settings, seed), 1_000_000_000, 0
        self.out: dict[int, EndpointId] = {}
        self.up: dict[int, tuple[int, EndpointId]] = {}
        self.timers: list[tuple[int, int]] = []
        self.answered: set[int] = set()
        self.feed(Started())
        self.feed(EndpointListUpdate(ListUpdateKind.CACHED, self.entries()))

    def feed(self, event: Event) -> None:
        for action in self.policy.handle(self.now, event):
            if isinstance(action, SetTimer):
                assert action.delay_us >= 0
                self.timers.append((self.now + action.delay_us, action.token))
            elif isinstance(action, StartAttempt):
                assert action.request_id not in self.out
                self.out[action.request_id] = action.endpoint
            elif isinstance(action, (RejectRequest, FailRequest)):
                assert action.request_id not in self.answered
                self.answered.add(action.request_id)

    def entries(self) -> tuple[Endpoint, ...]:
        rng = self.rng
        return tuple(
            Endpoint(
                f"s{rng.randrange(9)}",
                rng.randrange(3),
                rng.randrange(2),
                rng.randrange(3),
                rng.choice(list(Availability)),
                rng.choice([0.0, 1.0, 1e9]),
                rng.choice([0, self.now - 1000, self.now, self.now + 5_000_000]),
            )
            for _ in range(rng.randrange(8))
        )

    def report(self) -> tuple[float, ...]:
        return tuple(self.rng.choice(VALUES) for _ in self.settings.load_report_fields)

    def step(self) -> None:
        rng = self.rng
        self.now += rng.choice([0, 1, 1000, 50_000, 400_000, 3_000_000])
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, token in due:
            self.feed(TimerFired(token))
        rng.choice([self.comes, self.comes, self.answer, self.end, self.tell, self.list, self.leave])()

    def comes(self) -> None:
        rng, self.ids = self.rng, self.ids + 1
        expires = self.now + rng.choice([0, 1, 200_000, 2_000_000])
        load = rng.choice([None, 0.0, 1.0, 1e12])
        cls = rng.randrange(len(self.settings.classes))
        again = rng.random() < 0.3, rng.random() < 0.3
        group = rng.getrandbits(3)
        self.feed(Request(self.ids, cls, expires, load, rng.randrange(4), 7, group, *again))

    def answer(self) -> None:
        if not self.out:
            return
        id = self.rng.choice(list(self.out))
        server, flight = self.out.pop(id), self.policy.requests[id]
        number = flight.attempts - 1
        if self.rng.random() < 0.5:
            self.feed(SessionEstablished(id, number, server, self.rng.choice([0, 900_000])))
            kind = self.rng.choice(list(SessionReportKind))
            self.feed(SessionReport(id, number, server, kind, self.rng.choice(VALUES)))
            self.up[id] = number, server
        else:
            result = self.rng.choice(list(AttemptResult))
            self.feed(AttemptEnded(id, number, server, result, id in self.answered, 1000, self.report()))

    def end(self) -> None:
        if self.up:
            id = self.rng.choice(list(self.up))
            number, server = self.up.pop(id)
            result = self.rng.choice([AttemptResult.OK, AttemptResult.RESET, AttemptResult.CANCELLED])
            self.feed(AttemptEnded(id, number, server, result, True, 1000))

    def tell(self) -> None:
        result = self.rng.choice(list(AttemptResult))
        self.feed(HealthCheckEnded(f"s{self.rng.randrange(9)}", result, 500, self.report()))

    def list(self) -> None:
        self.feed(EndpointListUpdate(self.rng.choice(list(ListUpdateKind)), self.entries()))

    def leave(self) -> None:
        """A client goes, or new settings come."""
        if self.rng.random() < 0.5:
            self.feed(ClientDisconnected(self.rng.randint(1, max(1, self.ids))))
        else:
            self.settings = merge_settings(self.settings, parse_node_settings(tree(self.rng)).policy)
            self.policy.update_settings(self.settings)


@pytest.mark.parametrize("seed", range(8))
def test_no_settings_and_no_order_of_events_raise(seed: int) -> None:
    """A server that starts a moment from now, where none starts cold, divided by nothing."""
    for number in range(40):
        story = Story(seed * 1000 + number)
        for _ in range(150):
            story.step()
