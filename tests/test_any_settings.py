"""Tests that the policy raises no exception for any valid settings and any order of events."""

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

REPORT_FIELDS = ("x0", "x1", "utilization", "inflight", "qps", "latency_ms", "queue")
REPORT_VALUES = (0.0, 0.2, 4.0, -1.0, float("nan"), float("inf"))


def random_settings(rng: random.Random) -> dict[str, Any]:
    """Return settings with extreme values: zero, close to zero, and far above those of known sites."""

    def one_of(*values: Any) -> Any:
        return rng.choice(values)

    classes = [
        {
            "name": f"c{number}",
            "aim_us": one_of(0, 50_000),
            "give_up_us": one_of(1, 200_000, 60_000_000),
            "effect": one_of("repeatable", "by_key", "once"),
            "key_scope": one_of("cell", "zone", "all"),
            "key_ttl_us": one_of(0, 1, 5_000_000),
            "credit": one_of(0.0, 1.0, 1e9),
        }
        for number in range(rng.randrange(5))
    ]
    tenants = [{"name": f"t{n}", "fraction": one_of(0.0, 0.5, 1.0)} for n in range(rng.randrange(4))]
    costs = ("cross_zone", "late_fail", "moves", "peer", "probe", "waste")
    return {
        "group_size": one_of(1, 3, 200),
        "position": one_of(0, 199),
        "zone": one_of(0, 5),
        "azs": one_of([], ["a", "b"]),
        "kinds": one_of([], ["k", "j"]),
        "classes": classes,
        "tenants": tenants,
        "costs": {name: one_of(0.0, 1e-12, 0.004, 1.0) for name in costs},
        "policy_limits": {
            "most_tries": one_of(1, 6),
            "probing": one_of(True, False),
            "cancel": one_of(True, False),
            "retry_after": one_of(True, False),
            "max_retry_after_us": one_of(0, 1, 1_500_000),
        },
        "safety": {
            "ask_within_us": one_of(0, 1, 8_000_000),
            "cold_share": one_of(0.0, 0.13, 1.0),
            "warm_after_us": one_of(0, 1, 23_000_000),
            "drain_grace_us": one_of(0, 4_000_000),
            "fall_multiple": one_of(0.01, 2.5),
            "overload_for_us": one_of(0, 1_500_000),
        },
        "report": {
            "fields": rng.sample(REPORT_FIELDS, rng.randrange(5)),
            "via": one_of("none", "probe", "answer"),
        },
        "domain": {"mode": one_of("proxy", "pass"), "message_aim_us": [one_of(0, 50_000.0) for _ in classes]},
        "discovery": one_of("pushed", "on_request"),
        "weights": one_of("none", "live"),
        "tick_us": one_of(1, 50_000),
    }


class RandomEvents:
    """Sends one policy random events; attempt events refer to pending attempts and established sessions."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.settings = parse_node_settings(random_settings(rng)).policy
        self.policy, self.now, self.request_count = Policy(self.settings, seed), 1_000_000_000, 0
        self.pending: dict[int, EndpointId] = {}
        self.established: dict[int, tuple[int, EndpointId]] = {}
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
                assert action.request_id not in self.pending
                self.pending[action.request_id] = action.endpoint
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

    def load_report(self) -> tuple[float, ...]:
        return tuple(self.rng.choice(REPORT_VALUES) for _ in self.settings.load_report_fields)

    def step(self) -> None:
        rng = self.rng
        self.now += rng.choice([0, 1, 1000, 50_000, 400_000, 3_000_000])
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, token in due:
            self.feed(TimerFired(token))
        events = (
            self.request,
            self.request,
            self.answer_attempt,
            self.end_session,
            self.end_health_check,
            self.update_list,
            self.disconnect_or_reload,
        )
        rng.choice(events)()

    def request(self) -> None:
        rng, self.request_count = self.rng, self.request_count + 1
        expires = self.now + rng.choice([0, 1, 200_000, 2_000_000])
        load = rng.choice([None, 0.0, 1.0, 1e12])
        cls = rng.randrange(len(self.settings.classes))
        retry_and_mid_flow = rng.random() < 0.3, rng.random() < 0.3
        group = rng.getrandbits(3)
        self.feed(
            Request(self.request_count, cls, expires, load, rng.randrange(4), 7, group, *retry_and_mid_flow)
        )

    def answer_attempt(self) -> None:
        if not self.pending:
            return
        id = self.rng.choice(list(self.pending))
        endpoint, request = self.pending.pop(id), self.policy.requests[id]
        number = request.attempts - 1
        if self.rng.random() < 0.5:
            self.feed(SessionEstablished(id, number, endpoint, self.rng.choice([0, 900_000])))
            kind = self.rng.choice(list(SessionReportKind))
            self.feed(SessionReport(id, number, endpoint, kind, self.rng.choice(REPORT_VALUES)))
            self.established[id] = number, endpoint
        else:
            result = self.rng.choice(list(AttemptResult))
            self.feed(
                AttemptEnded(id, number, endpoint, result, id in self.answered, 1000, self.load_report())
            )

    def end_session(self) -> None:
        if self.established:
            id = self.rng.choice(list(self.established))
            number, endpoint = self.established.pop(id)
            result = self.rng.choice([AttemptResult.OK, AttemptResult.RESET, AttemptResult.CANCELLED])
            self.feed(AttemptEnded(id, number, endpoint, result, True, 1000))

    def end_health_check(self) -> None:
        result = self.rng.choice(list(AttemptResult))
        self.feed(HealthCheckEnded(f"s{self.rng.randrange(9)}", result, 500, self.load_report()))

    def update_list(self) -> None:
        self.feed(EndpointListUpdate(self.rng.choice(list(ListUpdateKind)), self.entries()))

    def disconnect_or_reload(self) -> None:
        """Disconnect a client, or reload the settings."""
        if self.rng.random() < 0.5:
            self.feed(ClientDisconnected(self.rng.randint(1, max(1, self.request_count))))
        else:
            self.settings = merge_settings(
                self.settings, parse_node_settings(random_settings(self.rng)).policy
            )
            self.policy.update_settings(self.settings)


@pytest.mark.parametrize("seed", range(8))
def test_the_policy_does_not_raise_for_any_settings_and_order_of_events(seed: int) -> None:
    """Guards against a division by 0: an endpoint started in the future while slow start was off."""
    for number in range(40):
        events = RandomEvents(seed * 1000 + number)
        for _ in range(150):
            events.step()
