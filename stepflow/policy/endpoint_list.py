"""The endpoint list: applies updates from discovery, and polls for them if they are not pushed."""

from __future__ import annotations

from collections.abc import Iterable

from stepflow.interface import (
    Availability,
    Endpoint,
    EndpointListUpdate,
    ListUpdateKind,
    SetTimer,
    WatchEndpointList,
)
from stepflow.policy.context import POLL_TOKEN, PolicyContext
from stepflow.policy.state import EndpointState
from stepflow.policy.weights import WeightController
from stepflow.upstream.poll_schedule import PollSchedule


class EndpointList:
    """Keeps the endpoints of the load model in step with the endpoint list."""

    def __init__(self, context: PolicyContext, weights: WeightController) -> None:
        self._context, self._weights = context, weights
        self._polls = PollSchedule(context.rng)

    def start(self) -> None:
        """Set the timer of the first poll, if the list has to be polled."""
        settings = self._context.settings
        if settings.polls_endpoint_list:
            delay_us = self._polls.first_delay(settings.rules.list_refresh_us)
            self._context.emit(SetTimer(delay_us, POLL_TOKEN))

    def poll(self) -> None:
        """Start a poll of the list."""
        self._polls.poll_started(self._context.now_us)
        self._context.emit(WatchEndpointList(True))

    def update(self, event: EndpointListUpdate) -> None:
        """Apply an update of the list, or set the timer of the next poll if a poll has failed."""
        context, endpoints = self._context, self._context.model.endpoints
        if event.kind == ListUpdateKind.FAILED:
            delay_us = self._polls.retry_delay(context.now_us, context.settings.rules.list_refresh_us)
            context.emit(SetTimer(delay_us, POLL_TOKEN))
            return
        self._polls.poll_succeeded()
        count_before = len(endpoints)
        if event.kind != ListUpdateKind.DELTA:
            self._mark_missing(event.endpoints)
        any_restarted = self._update_entries(event.endpoints)
        self._remove_gone()
        if len(endpoints) != count_before or any_restarted:
            # Costs are 0 before a prediction: placed sessions would add no load, and all go to one endpoint.
            context.model.predict(list(endpoints.values()), 0.0)
            self._weights.rebuild_draw_table(context.now_us)

    def _mark_missing(self, entries: Iterable[Endpoint]) -> None:
        """Mark the endpoints that are missing from a full list as gone."""
        named = {entry.id for entry in entries}
        for endpoint in self._context.model.endpoints.values():
            if endpoint.id not in named:
                endpoint.availability = Availability.GONE

    def _update_entries(self, entries: Iterable[Endpoint]) -> bool:
        """Add or update the endpoints of these entries. Returns whether any endpoint has restarted."""
        endpoints, rng = self._context.model.endpoints, self._context.rng
        any_restarted = False
        for entry in entries:
            endpoint = endpoints.get(entry.id)
            if endpoint is None:
                if entry.availability != Availability.GONE:
                    endpoints[entry.id] = EndpointState(entry, rng.random())
                continue
            has_restarted = entry.started_us != endpoint.started_us
            endpoint.update_entry(entry)
            if has_restarted:
                endpoint.restart(rng.random())
                any_restarted = True
        return any_restarted

    def _remove_gone(self) -> None:
        """Remove the endpoints that are gone and have no requests."""
        endpoints = self._context.model.endpoints
        for endpoint in list(endpoints.values()):
            if endpoint.availability == Availability.GONE and not endpoint.requests:
                del endpoints[endpoint.id]
