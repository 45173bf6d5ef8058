"""What a node of the model asks, and the plainest policies to hold the decision module against."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from stepflow.fleet.streams import stream
from stepflow.interface import (
    Action,
    AttemptEnded,
    Availability,
    ClientDisconnected,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    RejectRequest,
    Request,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    TimerFired,
    WatchEndpointList,
)


class PolicyLike(Protocol):
    """What a node asks: the decision module, or a policy to hold it against."""

    def handle(self, now: int, event: Event) -> list[Action]: ...
    def update_settings(self, settings: Settings) -> None: ...


PolicyFactory = Callable[[Settings, int], PolicyLike]


class RandomChoice:
    """The baseline: any listed server at random, any number of attempts that the settings allow."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings, self._rng = settings, stream(seed, "random choice")
        self._servers: dict[EndpointId, Endpoint] = {}
        self._open: dict[int, int] = {}

    def update_settings(self, settings: Settings) -> None:
        self._settings = settings

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, Started):
            return [WatchEndpointList(True)]
        if isinstance(event, EndpointListUpdate):
            if event.kind == ListUpdateKind.FAILED:
                return [SetTimer(int(self._rng.integers(250_000, 1_000_000)), 1)]
            if event.kind != ListUpdateKind.DELTA:
                self._servers.clear()
            for entry in event.endpoints:
                if entry.availability == Availability.READY:
                    self._servers[entry.id] = entry
                else:
                    self._servers.pop(entry.id, None)
        if isinstance(event, TimerFired):
            return [WatchEndpointList(True)]
        if isinstance(event, Request):
            self._open[event.id] = 0
            return self._try(event.id)
        if isinstance(event, AttemptEnded):
            if event.is_final:
                self._open.pop(event.request_id, None)
            elif event.request_id in self._open:
                return self._try(event.request_id)
        if isinstance(event, ClientDisconnected):
            self._open.pop(event.request_id, None)
        return []

    def _try(self, id: int) -> list[Action]:
        if not self._servers or self._open[id] >= self._settings.limits.max_attempts:
            del self._open[id]
            return [RejectRequest(id)]
        self._open[id] += 1
        listed = list(self._servers)
        return [StartAttempt(id, listed[int(self._rng.integers(len(listed)))], 0)]
