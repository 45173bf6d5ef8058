"""The model of one map server: its demand, its backlog, and how long its sessions' messages take.

Work is a fluid: sessions demand their loads each second, set-ups and health checks add theirs at once, and
the server works off as much as its capacity allows, which is less in its slow start. Demand beyond that
becomes backlog. A message waits as in M/M/c: the chance to wait is Erlang's C formula, and a wait is
exponential with rate c(1-rho)/s (Kleinrock, Queueing Systems I, 1975, section 3.5); it also waits behind the
backlog.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from stepflow.interface import Availability

SECOND = 1_000_000  # microseconds
MAX_QUEUE_UTILIZATION = 0.99  # up to which the formula of M/M/c is used for a mean


def erlang_c(cores: int, rho: float) -> float:
    """The chance that all of `cores` are busy in M/M/c at utilization `rho` (below 1).

    By the recursion of Erlang's B formula, which does not overflow.
    """
    if rho <= 0:
        return 0.0
    offered, blocked = cores * rho, 1.0
    for busy in range(1, cores + 1):
        blocked = offered * blocked / (busy + offered * blocked)
    return blocked / (1 - rho * (1 - blocked))


@dataclass(eq=False)
class Server:
    """One map server. Loads are in mean session loads, work in seconds of a core of speed 1."""

    id: str
    kind: int
    cores: int
    speed: float
    load_per_core: float  # mean session loads that fill a core of speed 1
    slow_start_share: float
    slow_start_s: float
    max_sessions: int
    group_load: float
    message_s: float  # the work of a message, on this server's core
    started_us: int = 0
    availability: int = 0  # an Availability
    zone: int = 0
    hung: bool = False
    hung_us: int = 0
    crashed: bool = False
    errors: float = 0.0  # share of new sessions that it answers with an error
    speed_share: float = 1.0  # share of its speed that it has left
    load: float = 0.0
    backlog: float = 0.0
    advanced_us: int = 0
    connections: int = 0
    groups: dict[int, int] = field(default_factory=dict)
    recent_loads: deque[tuple[int, float]] = field(
        default_factory=deque
    )  # loads placed in its slow start, with their times
    worst_overload: float = 0.0  # the most load in its slow start, over what makes it crash
    setup_work: float = 0.0  # all work of set-ups
    health_checks: int = 0
    utilization_sum: float = 0.0  # over its samples
    samples: int = 0
    report: tuple[float, ...] = ()  # its load report at its last refresh
    report_us: int = -SECOND

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return not self.crashed and self.availability != Availability.GONE

    def capacity_share(self, now: int) -> float:
        """Share of its capacity that it has: less than 1 in its slow start."""
        age = (now - self.started_us) / SECOND
        if self.started_us <= 0 or age >= self.slow_start_s:
            return 1.0
        return self.slow_start_share + (1 - self.slow_start_share) * max(0.0, age) / self.slow_start_s

    def capacity(self, now: int) -> float:
        """Work that it does in a second."""
        return self.cores * self.speed * self.speed_share * self.capacity_share(now)

    @property
    def is_degraded(self) -> bool:
        """Whether it runs, and serves less than its list entry promises."""
        return self.is_running and (self.hung or self.errors > 0 or self.speed_share < 1)

    def demand(self) -> float:
        """Work that its sessions and their groups demand in a second."""
        return (self.load + self.group_load * len(self.groups)) / self.load_per_core

    def advance(self, now: int) -> None:
        """Work off the backlog until now."""
        if now > self.advanced_us:
            spare = self.capacity(now) - self.demand()
            self.backlog = max(0.0, self.backlog - spare * (now - self.advanced_us) / SECOND)
            self.advanced_us = now

    def add_work(self, now: int, work: float) -> None:
        """Add work to the backlog."""
        self.advance(now)
        self.backlog += work

    def wait_s(self, now: int) -> float:
        """How long new work waits behind the backlog."""
        self.advance(now)
        return self.backlog / self.capacity(now)

    def utilization(self, now: int) -> float:
        """Demand over capacity."""
        return self.demand() / self.capacity(now)

    def share_in_time(self, now: int, objective_s: float) -> float:
        """Share of messages with a latency within an objective."""
        if self.hung or not self.is_running:
            return 0.0
        behind, rho = self.wait_s(now), self.utilization(now)
        left = objective_s - self.message_s - behind
        if left <= 0 or rho >= 1:
            return 0.0
        rate = self.cores * (1 - rho) / self.message_s
        return 1 - erlang_c(self.cores, rho) * math.exp(-rate * left)

    def mean_latency_s(self, now: int) -> float:
        """The mean latency of a message; above full utilization, the growing backlog alone raises it."""
        rho = min(self.utilization(now), MAX_QUEUE_UTILIZATION)
        wait = erlang_c(self.cores, rho) * self.message_s / (self.cores * (1 - rho))
        return self.message_s + wait + self.wait_s(now)

    def is_overloaded_by(self, now: int, load: float, times: float, window_us: int) -> bool:
        """Whether a session of that load, placed now, overloads it in its slow start.

        It can take new sessions no faster than fills it over its slow start, and of that rate the share of
        its capacity that it has; `times` that rate, over the window, overload it.
        """
        if self.capacity_share(now) >= 1:
            self.recent_loads.clear()
            return False
        self.recent_loads.append((now, load))
        while self.recent_loads[0][0] < now - window_us:
            self.recent_loads.popleft()
        room = times * self.capacity(now) * self.load_per_core / self.slow_start_s * window_us / SECOND
        share = sum(part for _, part in self.recent_loads) / room
        self.worst_overload = max(self.worst_overload, share)
        return share > 1

    def add_session(self, group: int, load: float) -> None:
        """Count an established session."""
        self.connections += 1
        self.load += load
        self.groups[group] = self.groups.get(group, 0) + 1

    def remove_session(self, group: int, load: float) -> None:
        """Count an established session no longer."""
        self.connections -= 1
        self.load = max(0.0, self.load - load) if self.connections else 0.0
        self.groups[group] -= 1
        if not self.groups[group]:
            del self.groups[group]
