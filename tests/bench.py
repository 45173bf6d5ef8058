"""A hand-driven policy for the tests: feeds events, keeps what came back."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from stepflow import interface as face
from stepflow.policy import Policy

A = TypeVar("A")
SECOND = 1_000_000
START = 100 * SECOND


def entry(
    id: face.EndpointId, *, state: int = 0, started: int = 0, zone: int = 0, cell: int = 0, size: float = 1.0
) -> face.Server:
    """A line of the list."""
    return face.Server(id, zone, 0, cell, state, size, started)


def plain_settings(**changes: Any) -> face.Settings:
    """Settings without reports, so that every request is decided on at once."""
    return face.Settings(**changes)


class Driver:
    """One policy, its clock and the actions it has returned."""

    def __init__(self, settings: face.Settings, servers: Iterable[face.Server] = (), seed: int = 7) -> None:
        self.policy = Policy(settings, seed)
        self.now = START
        self.done: list[face.Action] = []
        self.feed(face.Started())
        self.feed(face.EndpointListUpdate(face.ListUpdateKind.CACHED, tuple(servers)))

    def feed(self, event: face.Event) -> list[face.Action]:
        """Feed one event at the present time."""
        actions = self.policy.handle(self.now, event)
        self.done.extend(actions)
        return actions

    def news(self, *servers: face.Server, form: int = face.ListUpdateKind.DELTA) -> list[face.Action]:
        """News of the list."""
        return self.feed(face.EndpointListUpdate(form, servers))

    def request(self, id: int, cls: int = 0, wait_us: int = 2 * SECOND, **more: Any) -> list[face.Action]:
        """A new request."""
        return self.feed(face.Request(id, cls, self.now + wait_us, **more))

    def tick(self, seconds: float = 0.5) -> list[face.Action]:
        """Let time pass, then step."""
        self.now += int(seconds * SECOND)
        return self.feed(face.TimerFired(0))

    def up(self, send: face.StartAttempt, attempt: int = 0) -> list[face.Action]:
        """The attempt's connection stands."""
        return self.feed(face.SessionEstablished(send.request_id, attempt, send.endpoint, 20_000))

    def end(
        self, send: face.StartAttempt, result: int, attempt: int = 0, complete: bool = False
    ) -> list[face.Action]:
        """The attempt ends."""
        return self.feed(face.AttemptEnded(send.request_id, attempt, send.endpoint, result, complete, 20_000))


def only(kind: type[A], actions: Iterable[object]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]
