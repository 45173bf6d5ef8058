"""What one instance knows: of each server, of each request, and the model of told load and learned cost."""

from __future__ import annotations

import math

from stepflow.estimates.loads import LoadEstimate
from stepflow.interface import Endpoint, EndpointId, Request, Settings
from stepflow.rendezvous import hash_key

LEARN = 0.4  # share of a new report in the learned cost, at the least
LEARN_US = 2_000_000  # a report that follows after this counts for two thirds more
KIND_LEARN = 0.15  # the same for the cost of a machine kind
STALE_S = 10.0  # a cost goes back to its kind's in this time
PSEUDO_CONNECTIONS = 4.0  # pseudo-load of a server, if the mean of own loads is not more
UNSEEN_LOAD = 0.5  # predicted load of a server nobody has reported on
HEALTH_FLOOR = 0.02  # share of its weight that a failing server keeps
HEALTH_FALL = 0.3  # what a failure leaves of it


def clamp(value: float, low: float, high: float) -> float:
    return low if value < low else high if value > high else value


class EndpointState:
    """What this instance knows of one server."""

    load = cost = predicted = error_sum = last_error = 0.0
    placed = 0.0  # predicted load of what was placed since the prediction
    weight = health = size = share = 1.0
    up = failed = 0.0  # attempts that came up and that failed, fading as the throttle's
    seen_us = delay_us = moved_us = asked_us = 0  # of the last report, note of late messages, moves and probe

    def __init__(self, entry: Endpoint, budget: float) -> None:
        self.id, self.key, self.budget = entry.id, hash_key(entry.id), budget
        self.flights: dict[int, RequestState] = {}
        self.groups: dict[int, int] = {}  # own connections of each group
        self.past: list[float] = []  # the own load at the last ticks, the oldest first
        self.waiting: list[RequestState] = []  # requests that wait for a probe of this server
        self.follow(entry)

    def follow(self, entry: Endpoint) -> None:
        """Take over what the list says."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.availability, self.started_us = entry.availability, entry.started_us
        self.size = entry.size if math.isfinite(entry.size) and entry.size > 0 else 1.0

    def fail(self) -> None:
        """A failure takes most of the weight; time gives it back."""
        self.health = max(HEALTH_FLOOR, self.health * HEALTH_FALL)


class RequestState:
    """One request from its arrival to the end of its last attempt."""

    attempts = bound_us = bound_by = up_us = 0  # bound_by: the attempt that bound it
    limit = 1  # of attempts: the settings' when it came
    up = out = answered = False  # the connection stands; an attempt has no outcome; nothing more is owed
    server: EndpointState | None = None
    bound: EndpointState | None = None  # where a keyed or unsafe request may have run
    home: EndpointState | None = None  # where all instances look for its group first

    def __init__(self, request: Request, load: float) -> None:
        self.request, self.load = request, load
        self.tried: list[EndpointId] = []
        self.candidates: list[EndpointState] = []  # drawn, and being probed


class LoadModel:
    """Told load and learned cost of every server."""

    def __init__(self, settings: Settings) -> None:
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.kind_cost: dict[int, float] = {}
        self.kind_size: dict[int, float] = {}  # where weights are live
        self.loads = LoadEstimate()
        self.own = self.plain_cost = 0.0  # summed load of all own connections; mean cost of the kinds
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Take settings, at the start or later."""
        self.settings, fields = settings, settings.load_report_fields
        known = [fields.index(name) for name in ("x0", "util", "inflight", "queue") if name in fields]
        self.field = known[0] if known else -1
        self.absolute = "x0" in fields or "util" in fields

    def resolve_load(self, load: float | None, cls: int) -> float:
        """The load of a connection; the first that is told shows the unit of what was counted in another."""
        load, scale = self.loads.resolve(load, cls)
        if scale != 1.0:
            self.own *= scale
            for server in self.endpoints.values():
                server.load *= scale
                server.past = [load * scale for load in server.past]
                for flight in server.flights.values():
                    flight.load *= scale
        return load

    def pseudo_load(self) -> float:
        """Load added to every own one: where that is next to nothing, a cost learned from it explodes."""
        return max(self.loads.units(self.own) / max(1, len(self.endpoints)), PSEUDO_CONNECTIONS)

    def report(self, now: int, server: EndpointState, report: tuple[float, ...]) -> None:
        """Learn the cost from one report, in full after a long gap; values without sense are dropped."""
        value = report[self.field] if 0 <= self.field < len(report) else -1.0
        if not math.isfinite(value) or value < 0:
            return
        pseudo, balancers = self.pseudo_load() * server.share, self.settings.balancers
        then = server.past[0] if server.past else server.load  # what came since does not show in it
        cost = value / (balancers * (self.loads.units(then) + pseudo))
        kept = (1 - LEARN) * math.exp((server.seen_us - now) / LEARN_US) if server.seen_us else 0.0
        server.cost = kept * server.cost + (1 - kept) * cost
        server.seen_us, server.placed = now, 0.0
        server.predicted = server.cost * balancers * (self.loads.units(server.load) + pseudo)
        kind = self.kind_cost.setdefault(server.kind, cost)
        self.kind_cost[server.kind] = kind + KIND_LEARN * (cost - kind)

    def predict(self, servers: list[EndpointState], seconds: float) -> None:
        """Predict the load of every server; a cost goes back to its kind's as its report ages."""
        pseudo, balancers = self.pseudo_load(), self.settings.balancers
        if self.settings.live_weights:  # they fall with what a server holds: the most of a kind is its size
            for s in servers:
                self.kind_size[s.kind] = max(self.kind_size.get(s.kind, 0.0), s.size)
            for s in servers:
                s.size = self.kind_size[s.kind]
        size = sum(s.size for s in servers) / max(1, len(servers))
        costs = self.kind_cost.values() or (UNSEEN_LOAD / (balancers * pseudo),)
        self.plain_cost = sum(costs) / len(costs)
        age = min(1.0, seconds / STALE_S)
        for server in servers:
            server.share = server.size / size  # of what an average instance has there
            usual = self.kind_cost.get(server.kind, self.plain_cost * size / server.size)
            server.cost = server.cost + age * (usual - server.cost) if server.seen_us else usual
            server.predicted = (
                balancers * server.cost * (self.loads.units(server.load) + pseudo * server.share)
            )
            server.placed = 0.0
