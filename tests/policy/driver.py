"""A hand-driven policy for the tests: feeds events, keeps what came back."""

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
    id: EndpointId, *, state: int = 0, started: int = 0, zone: int = 0, cell: int = 0, size: float = 1.0
) -> Endpoint:
    """A line of the list."""
    return Endpoint(id, zone, 0, cell, state, size, started)


def plain_settings(**changes: Any) -> Settings:
    """Settings without reports, so that every request is decided on at once."""
    return Settings(**changes)


class Driver:
    """One policy, its clock and the actions it has returned."""

    def __init__(self, settings: Settings, servers: Iterable[Endpoint] = (), seed: int = 7) -> None:
        self.policy = Policy(settings, seed)
        self.now = START
        self.done: list[Action] = []
        self.feed(Started())
        self.feed(EndpointListUpdate(ListUpdateKind.CACHED, tuple(servers)))

    def feed(self, event: Event) -> list[Action]:
        """Feed one event at the present time."""
        actions = self.policy.handle(self.now, event)
        self.done.extend(actions)
        return actions

    def news(self, *servers: Endpoint, form: int = ListUpdateKind.DELTA) -> list[Action]:
        """News of the list."""
        return self.feed(EndpointListUpdate(form, servers))

    def request(self, id: int, cls: int = 0, wait_us: int = 2 * SECOND, **more: Any) -> list[Action]:
        """A new request."""
        return self.feed(Request(id, cls, self.now + wait_us, **more))

    def tick(self, seconds: float = 0.5) -> list[Action]:
        """Let time pass, then step."""
        self.now += int(seconds * SECOND)
        return self.feed(TimerFired(0))

    def up(self, send: StartAttempt, attempt: int = 0) -> list[Action]:
        """The attempt's connection stands."""
        return self.feed(SessionEstablished(send.request_id, attempt, send.endpoint, 20_000))

    def end(self, send: StartAttempt, result: int, attempt: int = 0, complete: bool = False) -> list[Action]:
        """The attempt ends."""
        return self.feed(AttemptEnded(send.request_id, attempt, send.endpoint, result, complete, 20_000))


def only(kind: type[A], actions: Iterable[object]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def placed(drive: Driver, id: int) -> EndpointId:
    """The server of a request that comes up and ends at once."""
    [send] = only(StartAttempt, drive.request(id))
    drive.up(send)
    drive.end(send, AttemptResult.OK, complete=True)
    return send.endpoint


def final(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, RejectRequest | FailRequest)]


def overloaded_driver(load: float) -> Driver:
    classes = (
        RequestClass(priority_weight=1.0, message_latency_objective_us=100_000),
        RequestClass(priority_weight=5.0, message_latency_objective_us=100_000),
    )
    drive = Driver(plain_settings(classes=classes, **REPORTING), [entry(1)])
    drive.feed(HealthCheckEnded(1, 0, 500, (load, 0.0)))
    return drive


def standing_driver(load: float, count: int, **changes: Any) -> Driver:
    """One server with so many connections that stood for a while, and a report of their load."""
    drive = Driver(plain_settings(**REPORTING, **changes), [entry(1)])
    for id in range(count):
        drive.feed(SessionAdopted(Request(id, 0, 0, 1.0), 1))
    for _ in range(4):
        drive.tick()
    drive.feed(HealthCheckEnded(1, 0, 500, (load, 0.0)))
    return drive
