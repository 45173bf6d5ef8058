"""The PID controller of the endpoints' weights, and the table from which endpoints are drawn.

The controller acts on the relative error of each endpoint's predicted load against the mean of its zone, or
against the mean of all endpoints if crossing zones has no price. Source: "EdgeBalance", as docs/design.md
describes it. Owns the `weight`, `error_sum` and `last_error` of endpoints; the mean weight is 1.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable

from stepflow.interface import Availability, Settings
from stepflow.policy.load_model import UNREPORTED_LOAD, LoadModel
from stepflow.policy.numeric import clamp
from stepflow.policy.slow_start import capacity_share
from stepflow.policy.state import EndpointState

KP, KI, KD = 0.6, 0.5, 0.125
ERROR_RANGE = (-1.0, 2.0)  # range to which a step limits the relative error
MAX_ERROR_SUM = 0.5  # prevents integral windup from late reports
WEIGHT_RANGE = (0.05, 4.0)
WEIGHT_DECAY_S = 10.0  # time constant of a weight's return to the weight that the endpoint's cost implies
HEALTH_RECOVERY_S = 8.0  # time in which the health recovers from 0 to 1
DEGRADED_LOAD, SATURATED_LOAD = 0.6, 1.0  # loads at which service begins to degrade, and at which it is lost
CROSS_ZONE_RAMP = 0.2  # gain above the price over which the share of another zone rises from 0 to 1
MAX_DRAWS = 8  # draws before all endpoints are searched


def service_loss(load: float) -> float:
    """Return the share of its service that an endpoint with this load is assumed to lose."""
    return clamp((load - DEGRADED_LOAD) / (SATURATED_LOAD - DEGRADED_LOAD), 0.0, 1.0)


class WeightController:
    """Adjusts the weights toward equal predicted loads, and keeps the table for the draw."""

    def __init__(self, settings: Settings, model: LoadModel, rng: random.Random) -> None:
        self.settings, self.model, self.rng = settings, model, rng
        self.drawable: list[EndpointState] = []  # endpoints in the table
        self.cumulative_weights: list[float] = []  # running sums of their weights
        self.zone_load: dict[int, float] = {}  # mean predicted load by zone
        self.mean_load = UNREPORTED_LOAD
        self.stepped_us = 0

    def step(self, now: int, seconds: float) -> None:
        """Run one step of the PID controller over the endpoints that are ready."""
        self.stepped_us = now
        ready = [e for e in self.model.endpoints.values() if e.availability == Availability.READY]
        self.model.predict(ready, seconds)
        zones: dict[int, list[EndpointState]] = {}
        for endpoint in ready:
            zone = endpoint.zone if self.settings.prices.cross_zone > 0 else 0
            zones.setdefault(zone, []).append(endpoint)
        self.zone_load = {}  # a zone without endpoints must not keep its last load
        for zone, members in zones.items():
            mean_load = sum(e.predicted_load for e in members) / len(members)
            self.zone_load[zone] = mean_load
            if mean_load > 0:
                mean_cost = sum(e.cost for e in members) / len(members)
                self.adjust(members, mean_load, mean_cost, seconds)
        if ready:
            self.mean_load = sum(e.predicted_load for e in ready) / len(ready)
        self.rebuild_draw_table(now)

    def adjust(
        self, members: list[EndpointState], mean_load: float, mean_cost: float, seconds: float
    ) -> None:
        """Adjust the weight of each member by its error against the mean load."""
        floor, cap = WEIGHT_RANGE
        leak = min(1.0, seconds / WEIGHT_DECAY_S)
        for endpoint in members:
            error = KP * clamp((endpoint.predicted_load - mean_load) / mean_load, *ERROR_RANGE)
            error_sum = endpoint.error_sum * (1 - leak) + KI * error * seconds
            endpoint.error_sum = clamp(error_sum, -MAX_ERROR_SUM, MAX_ERROR_SUM)
            change = error + endpoint.error_sum + KD * (endpoint.last_error - error) * seconds
            endpoint.last_error = error
            base_weight = clamp(mean_cost / endpoint.cost, floor, cap) if endpoint.cost > 0 else 1.0
            weight = endpoint.weight + leak * (base_weight - endpoint.weight) - change
            endpoint.weight = clamp(weight, floor, cap)
            endpoint.health = min(1.0, endpoint.health + seconds / HEALTH_RECOVERY_S)

    def rebuild_draw_table(self, now: int) -> None:
        """Rebuild the table for the draw from the weights of the endpoints that are ready."""
        shares = {zone: self._zone_share(zone) for zone in self.zone_load}
        self.drawable, self.cumulative_weights, total = [], [], 0.0
        for endpoint in self.model.endpoints.values():
            if endpoint.availability != Availability.READY:
                continue
            capacity = capacity_share(endpoint, self.settings.rules, now)
            weight = shares.get(endpoint.zone, 1.0) * endpoint.weight * endpoint.health * capacity
            if weight > 0:
                total += weight
                self.cumulative_weights.append(total)
                self.drawable.append(endpoint)

    def draw(self, is_eligible: Callable[[EndpointState], bool]) -> EndpointState | None:
        """Draw an eligible endpoint by weight. Returns None if there is none."""
        for _ in range(MAX_DRAWS if self.cumulative_weights else 0):
            point = self.rng.random() * self.cumulative_weights[-1]
            index = bisect(self.cumulative_weights, point)
            endpoint = self.drawable[min(index, len(self.drawable) - 1)]
            if is_eligible(endpoint):
                return endpoint
        eligible = [e for e in self.model.endpoints.values() if is_eligible(e)]
        return self.rng.choices(eligible, [e.weight * e.health for e in eligible])[0] if eligible else None

    def _zone_share(self, zone: int) -> float:
        """Return the factor, from 0 to 1, by which the price of crossing zones lowers a zone's weights."""
        price, own_zone = self.settings.prices.cross_zone, self.settings.zone
        if price <= 0 or zone == own_zone or own_zone not in self.zone_load:
            return 1.0
        own_loss = service_loss(self.zone_load[own_zone])
        gain = own_loss - service_loss(self.zone_load.get(zone, UNREPORTED_LOAD))
        return clamp((gain - price) / CROSS_ZONE_RAMP, 0.0, 1.0)
