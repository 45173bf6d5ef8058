"""The table of open requests, and the endpoint at which each request's load counts.

Owns the `requests`, `affinity_groups` and `load` of endpoints, and the sum of own loads in the load model.
"""

from __future__ import annotations

from collections.abc import Collection

from stepflow.interface import EndpointId, Request
from stepflow.policy.load_model import LoadModel
from stepflow.policy.state import EndpointState, RequestState


class RequestTable:
    """The requests from their arrival to the end of their last attempt."""

    def __init__(self, model: LoadModel) -> None:
        self._model = model
        self.by_id: dict[int, RequestState] = {}
        # The endpoints with own sessions or attempts of each affinity group.
        self._group_endpoints: dict[int, dict[EndpointId, EndpointState]] = {}

    def add(self, request: Request, max_attempts: int = 1) -> RequestState:
        """Add a request that has arrived, or that was open at the start, and return its state."""
        load = self._model.resolve_load(request.load, request.class_index)
        state = self.by_id[request.id] = RequestState(request, load, max_attempts)
        return state

    def remove(self, request: RequestState) -> None:
        """Remove a request that has its final answer and no active attempt."""
        request.candidates = []
        self.release(request)
        self.by_id.pop(request.request.id, None)

    def assign(self, request: RequestState, endpoint: EndpointState) -> None:
        """Add the request's load to an endpoint."""
        request.endpoint = endpoint
        endpoint.requests[request.request.id] = request
        if group := request.request.affinity_group:
            endpoint.affinity_groups[group] = endpoint.affinity_groups.get(group, 0) + 1
            self._group_endpoints.setdefault(group, {})[endpoint.id] = endpoint
        endpoint.load += request.load
        self._model.own_load += request.load

    def release(self, request: RequestState) -> None:
        """Subtract the request's load from its endpoint, if it has one."""
        endpoint = request.endpoint
        if endpoint is None:
            return
        del endpoint.requests[request.request.id]
        if group := request.request.affinity_group:
            self._release_group(group, endpoint)
        # An endpoint without requests has a load of exactly 0, without rounding errors.
        endpoint.load = max(0.0, endpoint.load - request.load) if endpoint.requests else 0.0
        self._model.own_load = max(0.0, self._model.own_load - request.load)
        request.endpoint = None

    def update_load(self, request: RequestState, load: float) -> None:
        """Replace the request's load by the one that its session reports."""
        endpoint = request.endpoint
        self.release(request)
        request.load = self._model.resolve_load(load, request.request.class_index)
        if endpoint is not None:
            self.assign(request, endpoint)

    def endpoints_of_group(self, group: int) -> Collection[EndpointState]:
        """Return the endpoints with own sessions or attempts of an affinity group."""
        return self._group_endpoints.get(group, {}).values()

    def _release_group(self, group: int, endpoint: EndpointState) -> None:
        endpoint.affinity_groups[group] -= 1
        if endpoint.affinity_groups[group]:
            return
        del endpoint.affinity_groups[group], self._group_endpoints[group][endpoint.id]
        if not self._group_endpoints[group]:
            del self._group_endpoints[group]
