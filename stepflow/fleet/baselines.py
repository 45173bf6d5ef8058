"""What a node of the model asks, and the plainest policies to hold the decision module against."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from stepflow import interface as face
from stepflow.fleet.streams import stream
from stepflow.interface import Availability, ListUpdateKind


class Decides(Protocol):
    """What a node asks: the decision module, or a policy to hold it against."""

    def handle(self, now: int, event: face.Event) -> list[face.Action]: ...
    def retune(self, settings: face.Settings) -> None: ...


Maker = Callable[[face.Settings, int], Decides]


class RandomChoice:
    """The baseline: any listed server at random, any number of attempts that the settings allow."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self._settings, self._rng = settings, stream(seed, "random choice")
        self._servers: dict[face.EndpointId, face.Server] = {}
        self._open: dict[int, int] = {}

    def retune(self, settings: face.Settings) -> None:
        self._settings = settings

    def handle(self, now: int, event: face.Event) -> list[face.Action]:
        if isinstance(event, face.Started):
            return [face.WatchEndpointList(True)]
        if isinstance(event, face.EndpointListUpdate):
            if event.kind == ListUpdateKind.FAILED:
                return [face.SetTimer(int(self._rng.integers(250_000, 1_000_000)), 1)]
            if event.kind != ListUpdateKind.DELTA:
                self._servers.clear()
            for entry in event.endpoints:
                if entry.availability == Availability.READY:
                    self._servers[entry.id] = entry
                else:
                    self._servers.pop(entry.id, None)
        if isinstance(event, face.TimerFired):
            return [face.WatchEndpointList(True)]
        if isinstance(event, face.Request):
            self._open[event.id] = 0
            return self._try(event.id)
        if isinstance(event, face.AttemptEnded):
            if event.is_final:
                self._open.pop(event.request_id, None)
            elif event.request_id in self._open:
                return self._try(event.request_id)
        if isinstance(event, face.ClientDisconnected):
            self._open.pop(event.request_id, None)
        return []

    def _try(self, id: int) -> list[face.Action]:
        if not self._servers or self._open[id] >= self._settings.limits.max_attempts:
            del self._open[id]
            return [face.RejectRequest(id)]
        self._open[id] += 1
        listed = list(self._servers)
        return [face.StartAttempt(id, listed[int(self._rng.integers(len(listed)))], 0)]
