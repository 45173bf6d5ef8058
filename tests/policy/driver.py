"""Drives a policy by hand: feeds events on a virtual clock, and keeps the actions that came back."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    FailRequest,
    HealthCheckEnded,
    ListUpdateKind,
    RejectRequest,
    Request,
    RequestClass,
    SessionAdopted,
    SessionEstablished,
    Settings,
    StartAttempt,
    Started,
    TimerFired,
)
from stepflow.policy import Policy

A = TypeVar("A")
REPORTING = {"load_report_fields": ("x0", "eps")}
SECOND = 1_000_000
START = 100 * SECOND


def entry(
    id: EndpointId,
    *,
    availability: int = 0,
    started_us: int = 0,
    zone: int = 0,
    cell: int = 0,
    size: float = 1.0,
) -> Endpoint:
    """An entry of the endpoint list."""
    return Endpoint(id, zone, 0, cell, availability, size, started_us)


def plain_settings(**changes: Any) -> Settings:
    """Settings without load reports, unless changed, so that every request is decided on at once."""
    return Settings(**changes)


class Driver:
    """One policy, its clock, and all actions that it has returned."""

    def __init__(self, settings: Settings, endpoints: Iterable[Endpoint] = (), seed: int = 7) -> None:
        self.policy = Policy(settings, seed)
        self.now = START
        self.actions: list[Action] = []
        self.feed(Started())
        self.feed(EndpointListUpdate(ListUpdateKind.CACHED, tuple(endpoints)))

    def feed(self, event: Event) -> list[Action]:
        """Feed one event at the present time."""
        actions = self.policy.handle(self.now, event)
        self.actions.extend(actions)
        return actions

    def update_list(self, *endpoints: Endpoint, kind: int = ListUpdateKind.DELTA) -> list[Action]:
        """An update of the endpoint list."""
        return self.feed(EndpointListUpdate(kind, endpoints))

    def request(
        self, id: int, class_index: int = 0, wait_us: int = 2 * SECOND, **fields: Any
    ) -> list[Action]:
        """A new request."""
        return self.feed(Request(id, class_index, self.now + wait_us, **fields))

    def adopt(self, id: int, endpoint: EndpointId, load: float = 1.0) -> list[Action]:
        """A session that was established before the start."""
        return self.feed(SessionAdopted(Request(id, 0, 0, load), endpoint))

    def tick(self, seconds: float = 0.5) -> list[Action]:
        """Let time pass, then fire the tick timer."""
        self.now += int(seconds * SECOND)
        return self.feed(TimerFired(0))

    def establish(self, send: StartAttempt, attempt: int = 0) -> list[Action]:
        """The attempt's session is established."""
        return self.feed(SessionEstablished(send.request_id, attempt, send.endpoint, 20_000))

    def end(self, send: StartAttempt, result: int, attempt: int = 0, is_final: bool = False) -> list[Action]:
        """The attempt ends."""
        return self.feed(AttemptEnded(send.request_id, attempt, send.endpoint, result, is_final, 20_000))


def of_type(kind: type[A], actions: Iterable[object]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def placed_endpoint(driver: Driver, id: int) -> EndpointId:
    """The endpoint of a request whose session is established and ends at once."""
    [send] = of_type(StartAttempt, driver.request(id))
    driver.establish(send)
    driver.end(send, AttemptResult.OK, is_final=True)
    return send.endpoint


def final_answers(actions: list[Action]) -> list[Action]:
    """The final answers among some actions."""
    return [a for a in actions if isinstance(a, RejectRequest | FailRequest)]


def overloaded_driver(load: float) -> Driver:
    """One endpoint that reports this load, and two classes of different priority weight."""
    classes = (
        RequestClass(priority_weight=1.0, message_latency_objective_us=100_000),
        RequestClass(priority_weight=5.0, message_latency_objective_us=100_000),
    )
    driver = Driver(plain_settings(classes=classes, **REPORTING), [entry(1)])
    driver.feed(HealthCheckEnded(1, 0, 500, (load, 0.0)))
    return driver


def adopting_driver(load: float, count: int, **changes: Any) -> Driver:
    """One endpoint with so many adopted sessions, and a report of their load."""
    driver = Driver(plain_settings(**REPORTING, **changes), [entry(1)])
    for id in range(count):
        driver.adopt(id, 1)
    for _ in range(4):
        driver.tick()
    driver.feed(HealthCheckEnded(1, 0, 500, (load, 0.0)))
    return driver
