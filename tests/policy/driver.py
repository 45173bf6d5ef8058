"""A test driver for a policy: feeds events on a virtual clock, and records the actions returned."""

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
    """Return an entry of the endpoint list."""
    return Endpoint(id, zone, 0, cell, availability, size, started_us)


def plain_settings(**changes: Any) -> Settings:
    """Return settings with changes. By default there are no load reports, so requests are placed at once."""
    return Settings(**changes)


class Driver:
    """A policy, its clock, and all actions that it has returned."""

    def __init__(self, settings: Settings, endpoints: Iterable[Endpoint] = (), seed: int = 7) -> None:
        self.policy = Policy(settings, seed)
        self.now = START
        self.actions: list[Action] = []
        self.feed(Started())
        self.feed(EndpointListUpdate(ListUpdateKind.CACHED, tuple(endpoints)))

    def feed(self, event: Event) -> list[Action]:
        """Feed an event at the current time."""
        actions = self.policy.handle(self.now, event)
        self.actions.extend(actions)
        return actions

    def update_list(self, *endpoints: Endpoint, kind: int = ListUpdateKind.DELTA) -> list[Action]:
        """Feed an update of the endpoint list."""
        return self.feed(EndpointListUpdate(kind, endpoints))

    def request(
        self, id: int, class_index: int = 0, wait_us: int = 2 * SECOND, **fields: Any
    ) -> list[Action]:
        """Feed a new request with a deadline after `wait_us`."""
        return self.feed(Request(id, class_index, self.now + wait_us, **fields))

    def adopt(self, id: int, endpoint: EndpointId, load: float = 1.0) -> list[Action]:
        """Feed a session that was established before the start."""
        return self.feed(SessionAdopted(Request(id, 0, 0, load), endpoint))

    def tick(self, seconds: float = 0.5) -> list[Action]:
        """Let time pass, then fire the tick timer."""
        self.now += int(seconds * SECOND)
        return self.feed(TimerFired(0))

    def establish(self, send: StartAttempt, attempt: int = 0) -> list[Action]:
        """Establish the session of an attempt."""
        return self.feed(SessionEstablished(send.request_id, attempt, send.endpoint, 20_000))

    def end(self, send: StartAttempt, result: int, attempt: int = 0, is_final: bool = False) -> list[Action]:
        """End an attempt."""
        return self.feed(AttemptEnded(send.request_id, attempt, send.endpoint, result, is_final, 20_000))


def of_type(kind: type[A], actions: Iterable[object]) -> list[A]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def placed_endpoint(driver: Driver, id: int) -> EndpointId:
    """Place a request whose session ends at once, and return its endpoint."""
    [send] = of_type(StartAttempt, driver.request(id))
    driver.establish(send)
    driver.end(send, AttemptResult.OK, is_final=True)
    return send.endpoint


def final_answers(actions: list[Action]) -> list[Action]:
    """Return the final answers among some actions."""
    return [a for a in actions if isinstance(a, RejectRequest | FailRequest)]


def overloaded_driver(load: float) -> Driver:
    """Return a driver with one endpoint that reports this load, and classes of two priority weights."""
    classes = (
        RequestClass(priority_weight=1.0, message_latency_objective_us=100_000),
        RequestClass(priority_weight=5.0, message_latency_objective_us=100_000),
    )
    driver = Driver(plain_settings(classes=classes, **REPORTING), [entry(1)])
    driver.feed(HealthCheckEnded(1, 0, 500, (load, 0.0)))
    return driver


def adopting_driver(load: float, count: int, **changes: Any) -> Driver:
    """Return a driver with one endpoint, `count` adopted sessions there, and a report of its load."""
    driver = Driver(plain_settings(**REPORTING, **changes), [entry(1)])
    for id in range(count):
        driver.adopt(id, 1)
    for _ in range(4):
        driver.tick()
    driver.feed(HealthCheckEnded(1, 0, 500, (load, 0.0)))
    return driver
