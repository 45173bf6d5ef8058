"""The model of one map server: what is asked of it, what it has piled up, and how long its echoes take.

Its work is a fluid: connections ask for their loads a second, set-ups and probes add theirs at once, and it
works off as much as its cores do, as warm as they are. What is asked beyond that piles up. Above it an echo
waits as in M/M/c: the chance to wait is Erlang's C formula, and a wait is exponential with rate c(1-rho)/s
(Kleinrock, Queueing Systems I, 1975, section 3.5); it also waits behind all that is piled up.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

SECOND = 1_000_000


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
    """One map server. Loads are in mean connection loads, work in seconds of the yardstick's core."""

    id: str
    kind: int
    cores: int
    speed: float
    load_per_core: float  # mean connection loads that fill a core of the yardstick
    slow_start_share: float
    slow_start_s: float
    max_sessions: int  # connections
    group_load: float
    message_s: float  # an echo's work on this server's core
    started_us: int = 0
    availability: int = 0  # as the list will tell
    zone: int = 0
    hung: bool = False
    hung_us: int = 0  # since when
    crashed: bool = False
    errors: float = 0.0  # share of new connections that it answers with an error at once
    speed_share: float = 1.0  # share of its speed that it has left
    load: float = 0.0
    backlog: float = 0.0
    advanced_us: int = 0
    connections: int = 0
    groups: dict[int, int] = field(default_factory=dict)
    recent_loads: deque[tuple[int, float]] = field(default_factory=deque)  # loads sent while it was cold
    worst_overload: float = 0.0  # the most that came while it was cold, over what makes it fall
    setup_work: float = 0.0  # work in all
    health_checks: int = 0
    utilization_sum: float = 0.0  # sum of its loads, looked at once a second
    samples: int = 0
    report: tuple[float, ...] = ()  # as it was last refreshed
    report_us: int = -SECOND

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return not self.crashed and self.availability != 2

    def capacity_share(self, now: int) -> float:
        """Share of its capacity at this moment."""
        age = (now - self.started_us) / SECOND
        if self.started_us <= 0 or age >= self.slow_start_s:
            return 1.0
        return self.slow_start_share + (1 - self.slow_start_share) * max(0.0, age) / self.slow_start_s

    def capacity(self, now: int) -> float:
        """Core-seconds of the yardstick a second."""
        return self.cores * self.speed * self.speed_share * self.capacity_share(now)

    @property
    def is_degraded(self) -> bool:
        """Whether it runs, and serves less than its list entry promises."""
        return self.is_running and (self.hung or self.errors > 0 or self.speed_share < 1)

    def demand(self) -> float:
        """Core-seconds of the yardstick that its connections ask for a second, their groups' among them."""
        return (self.load + self.group_load * len(self.groups)) / self.load_per_core

    def advance(self, now: int) -> None:
        """Work until now."""
        if now > self.advanced_us:
            spare = self.capacity(now) - self.demand()
            self.backlog = max(0.0, self.backlog - spare * (now - self.advanced_us) / SECOND)
            self.advanced_us = now

    def add_work(self, now: int, work: float) -> None:
        """Work that comes at once."""
        self.advance(now)
        self.backlog += work

    def wait_s(self, now: int) -> float:
        """How long what comes now waits behind what is piled up."""
        self.advance(now)
        return self.backlog / self.capacity(now)

    def utilization(self, now: int) -> float:
        """Load asked over capacity."""
        return self.demand() / self.capacity(now)

    def share_in_time(self, now: int, aim_s: float) -> float:
        """Share of the echoes that come within an aim."""
        if self.hung or not self.is_running:
            return 0.0
        behind, rho = self.wait_s(now), self.utilization(now)
        left = aim_s - self.message_s - behind
        if left <= 0 or rho >= 1:
            return 0.0
        rate = self.cores * (1 - rho) / self.message_s
        return 1 - erlang_c(self.cores, rho) * math.exp(-rate * left)

    def mean_latency_s(self, now: int) -> float:
        """The mean time of an echo; while more is asked than it can do, the pile alone tells."""
        rho = min(self.utilization(now), 0.99)
        wait = erlang_c(self.cores, rho) * self.message_s / (self.cores * (1 - rho))
        return self.message_s + wait + self.wait_s(now)

    def is_overloaded_by(self, now: int, load: float, times: float, window_us: int) -> bool:
        """Whether the load of a connection that is sent now pushes it over while it is cold.

        It can take new connections no faster than fills it over its warm-up, and of that rate as much as
        it is warm; so many times of it, over the window, make it fall.
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
        """A connection stands here."""
        self.connections += 1
        self.load += load
        self.groups[group] = self.groups.get(group, 0) + 1

    def remove_session(self, group: int, load: float) -> None:
        """It does no longer."""
        self.connections -= 1
        self.load = max(0.0, self.load - load) if self.connections else 0.0
        self.groups[group] -= 1
        if not self.groups[group]:
            del self.groups[group]
