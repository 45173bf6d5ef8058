"""The PID controller, and the table of weights that new connections are drawn by."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable

from stepflow.interface import Availability, Settings
from stepflow.policy.load_model import UNSEEN_LOAD, EndpointState, LoadModel, clamp

KP, KI, KD = 0.6, 0.5, 0.125
ERROR_SPAN = (-1.0, 2.0)  # relative error that one step takes into account
WINDUP = 0.5  # bound of the integral: late reports would wind it up
WEIGHT_SPAN = (0.05, 4.0)  # floor and cap of a weight, the average being 1
WEIGHT_LEAK_S = 10.0  # a weight goes back to the one its cost asks for in this time
HEALTH_RISE_S = 8.0  # full recovery in this time
COMFORT, JAM = 0.6, 1.0  # load at which service begins to suffer, and at which it's gone
SPILL_RAMP = 0.2  # from the first to all crossings
DRAWS = 8  # draws before looking through all servers


def harm(load: float) -> float:
    """Share of its service that a server of this load is held to lose."""
    return clamp((load - COMFORT) / (JAM - COMFORT), 0.0, 1.0)


class WeightController:
    """Moves the weights toward equal predicted load and keeps the table for the draw."""

    def __init__(self, settings: Settings, model: LoadModel, rng: random.Random) -> None:
        self.settings, self.model, self.rng = settings, model, rng
        self.table: list[float] = []
        self.listed: list[EndpointState] = []
        self.zone_load: dict[int, float] = {}
        self.average, self.stepped_us = UNSEEN_LOAD, 0

    def step(self, now: int, seconds: float) -> None:
        """One step of the PID controller over the eligible servers."""
        self.stepped_us = now
        eligible = [s for s in self.model.endpoints.values() if s.availability == Availability.READY]
        self.model.predict(eligible, seconds)
        zones: dict[int, list[EndpointState]] = {}
        for server in eligible:
            zones.setdefault(server.zone if self.settings.prices.cross_zone > 0 else 0, []).append(server)
        self.zone_load = {}  # a zone whose servers are all gone has no load to compare with
        for zone, members in zones.items():
            self.zone_load[zone] = average = sum(s.predicted for s in members) / len(members)
            if average > 0:
                cost = sum(s.cost for s in members) / len(members)
                self.trim(members, average, cost, seconds)
        if eligible:
            self.average = sum(s.predicted for s in eligible) / len(eligible)
        self.tabulate(now)

    def trim(self, members: list[EndpointState], average: float, cost: float, seconds: float) -> None:
        """Move each member's weight by its error against the average."""
        floor, cap = WEIGHT_SPAN
        leak = min(1.0, seconds / WEIGHT_LEAK_S)
        for server in members:
            error = KP * clamp((server.predicted - average) / average, *ERROR_SPAN)
            server.error_sum = clamp(server.error_sum * (1 - leak) + KI * error * seconds, -WINDUP, WINDUP)
            change = error + server.error_sum + KD * (server.last_error - error) * seconds
            server.last_error = error
            base = clamp(cost / server.cost, floor, cap) if server.cost > 0 else 1.0
            server.weight = clamp(server.weight + leak * (base - server.weight) - change, floor, cap)
            server.health = min(1.0, server.health + seconds / HEALTH_RISE_S)

    def crossing(self, zone: int) -> float:
        """Share of its weight that a server of another zone gets: crossings have their price."""
        price, here = self.settings.prices.cross_zone, self.settings.zone
        if price <= 0 or zone == here or here not in self.zone_load:
            return 1.0
        gain = harm(self.zone_load[here]) - harm(self.zone_load.get(zone, UNSEEN_LOAD))
        return clamp((gain - price) / SPILL_RAMP, 0.0, 1.0)

    def warmth(self, server: EndpointState, now: int) -> float:
        """Share of its capacity that a server has at the least."""
        rules, age = self.settings.rules, max(0, now - server.started_us)  # it may start a moment from now
        if server.started_us <= 0 or age >= rules.slow_start_us:
            return 1.0
        return rules.slow_start_share + (1 - rules.slow_start_share) * age / rules.slow_start_us

    def tabulate(self, now: int) -> None:
        """Lay out the eligible servers' weights for the draw."""
        crossing = {zone: self.crossing(zone) for zone in self.zone_load}
        self.listed, self.table, total = [], [], 0.0
        for s in self.model.endpoints.values():
            if s.availability == Availability.READY:
                share = crossing.get(s.zone, 1.0) * s.weight * s.health * self.warmth(s, now)
                if share > 0:
                    total += share
                    self.table.append(total)
                    self.listed.append(s)

    def draw(self, allowed: Callable[[EndpointState], bool]) -> EndpointState | None:
        """Draw an allowed server by weight."""
        for _ in range(DRAWS if self.table else 0):
            spot = bisect(self.table, self.rng.random() * self.table[-1])
            server = self.listed[min(spot, len(self.listed) - 1)]
            if allowed(server):
                return server
        rest = [s for s in self.model.endpoints.values() if allowed(s)]
        return self.rng.choices(rest, [s.weight * s.health for s in rest])[0] if rest else None
