"""The interface of a simulated node's policy, and a baseline to compare the policy with."""

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
    """The interface of a node's policy: this checkout's, another revision's, or a baseline."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event; return the policy's actions."""
        ...

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        ...


PolicyFactory = Callable[[Settings, int], PolicyLike]


RETRY_LIST_US = (250_000, 1_000_000)  # range of the delay before the list is fetched again after a failure


class RandomChoice:
    """The baseline: tries random ready endpoints, up to the settings' limit on attempts."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings, self._rng = settings, stream(seed, "random choice")
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._attempts_made: dict[int, int] = {}

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._settings = settings

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event; return the policy's actions."""
        match event:
            case Started() | TimerFired():
                return [WatchEndpointList(True)]
            case EndpointListUpdate():
                return self._update_list(event)
            case Request():
                self._attempts_made[event.id] = 0
                return self._start_attempt(event.id)
            case AttemptEnded(is_final=False) if event.request_id in self._attempts_made:
                return self._start_attempt(event.request_id)
            case AttemptEnded(is_final=True) | ClientDisconnected():
                self._attempts_made.pop(event.request_id, None)
        return []

    def _update_list(self, update: EndpointListUpdate) -> list[Action]:
        if update.kind == ListUpdateKind.FAILED:
            return [SetTimer(int(self._rng.integers(*RETRY_LIST_US)), 1)]
        if update.kind != ListUpdateKind.DELTA:
            self._endpoints.clear()
        for entry in update.endpoints:
            if entry.availability == Availability.READY:
                self._endpoints[entry.id] = entry
            else:
                self._endpoints.pop(entry.id, None)
        return []

    def _start_attempt(self, id: int) -> list[Action]:
        if not self._endpoints or self._attempts_made[id] >= self._settings.limits.max_attempts:
            del self._attempts_made[id]
            return [RejectRequest(id)]
        self._attempts_made[id] += 1
        listed = list(self._endpoints)
        return [StartAttempt(id, listed[int(self._rng.integers(len(listed)))], 0)]
