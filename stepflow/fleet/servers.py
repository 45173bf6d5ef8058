"""The model of one map server: its demand, its backlog and the latency of its sessions' messages.

Work is modelled as a fluid. Each session demands its load every second; session set-ups and health checks add
their work to the backlog at once. The server does as much work as its capacity allows, which is less during
its slow start, and demand beyond that adds to the backlog. A message waits as in an M/M/c queue: the
probability of waiting is Erlang's C formula, and the wait is exponential with rate c(1-rho)/s (Kleinrock,
Queueing Systems I, 1975, section 3.5). It also waits until the backlog is done.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from stepflow.interface import Availability

SECOND = 1_000_000  # microseconds
MAX_QUEUE_UTILIZATION = 0.99  # at a higher utilization, the mean M/M/c wait is that at this one


def erlang_c(cores: int, rho: float) -> float:
    """Return the probability that all `cores` are busy in an M/M/c queue at utilization `rho` (below 1).

    Computed with the recursion of Erlang's B formula, which does not overflow.
    """
    if rho <= 0:
        return 0.0
    offered, blocked = cores * rho, 1.0
    for busy in range(1, cores + 1):
        blocked = offered * blocked / (busy + offered * blocked)
    return blocked / (1 - rho * (1 - blocked))


@dataclass(eq=False)
class Server:
    """One map server. The unit of load is the mean session load; work is in seconds of a core of speed 1."""

    id: str
    kind: int
    cores: int
    speed: float
    load_per_core: float  # load that fully uses a core of speed 1
    slow_start_share: float
    slow_start_s: float
    max_sessions: int
    group_load: float
    message_s: float  # service time of a message on a core of this server
    started_us: int = 0
    availability: int = 0  # value of an Availability
    zone: int = 0
    hung: bool = False
    hung_us: int = 0
    crashed: bool = False
    errors: float = 0.0  # share of new sessions that the server answers with ERROR
    speed_share: float = 1.0  # share of `speed` that a slow server keeps
    load: float = 0.0
    backlog: float = 0.0
    advanced_us: int = 0
    connections: int = 0
    groups: dict[int, int] = field(default_factory=dict)
    # The time and load of each session placed during the server's slow start.
    recent_loads: deque[tuple[int, float]] = field(default_factory=deque)
    worst_overload: float = 0.0  # highest ratio of load placed in a slow-start window to the limit
    setup_work: float = 0.0  # total work of session set-ups
    health_checks: int = 0
    utilization_sum: float = 0.0  # sum of the sampled utilizations
    samples: int = 0
    report: tuple[float, ...] = ()  # the load report of the last refresh
    report_us: int = -SECOND

    @property
    def is_running(self) -> bool:
        """Whether the server's process runs."""
        return not self.crashed and self.availability != Availability.GONE

    def capacity_share(self, now: int) -> float:
        """Return the share of its full capacity that the server has: less than 1 during its slow start."""
        age = (now - self.started_us) / SECOND
        if self.started_us <= 0 or age >= self.slow_start_s:
            return 1.0
        return self.slow_start_share + (1 - self.slow_start_share) * max(0.0, age) / self.slow_start_s

    def capacity(self, now: int) -> float:
        """Return the work that the server can do in a second."""
        return self.cores * self.speed * self.speed_share * self.capacity_share(now)

    @property
    def is_degraded(self) -> bool:
        """Whether the server runs but hangs, sends errors or is slow; its list entry does not show this."""
        return self.is_running and (self.hung or self.errors > 0 or self.speed_share < 1)

    def demand(self) -> float:
        """Return the work that the sessions and their affinity groups demand in a second."""
        return (self.load + self.group_load * len(self.groups)) / self.load_per_core

    def advance(self, now: int) -> None:
        """Advance the backlog to `now`."""
        if now > self.advanced_us:
            spare = self.capacity(now) - self.demand()
            self.backlog = max(0.0, self.backlog - spare * (now - self.advanced_us) / SECOND)
            self.advanced_us = now

    def add_work(self, now: int, work: float) -> None:
        """Add work to the backlog."""
        self.advance(now)
        self.backlog += work

    def wait_s(self, now: int) -> float:
        """Return the time in seconds that new work waits for the backlog."""
        self.advance(now)
        return self.backlog / self.capacity(now)

    def utilization(self, now: int) -> float:
        """Return the demand divided by the capacity."""
        return self.demand() / self.capacity(now)

    def share_in_time(self, now: int, objective_s: float) -> float:
        """Return the share of messages whose latency is within an objective."""
        if self.hung or not self.is_running:
            return 0.0
        backlog_wait_s, rho = self.wait_s(now), self.utilization(now)
        left_s = objective_s - self.message_s - backlog_wait_s
        if left_s <= 0 or rho >= 1:
            return 0.0
        rate = self.cores * (1 - rho) / self.message_s
        return 1 - erlang_c(self.cores, rho) * math.exp(-rate * left_s)

    def mean_latency_s(self, now: int) -> float:
        """Return the mean latency of a message.

        The M/M/c wait is limited to its value at MAX_QUEUE_UTILIZATION; at a higher utilization, only a
        growing backlog raises the latency.
        """
        rho = min(self.utilization(now), MAX_QUEUE_UTILIZATION)
        wait = erlang_c(self.cores, rho) * self.message_s / (self.cores * (1 - rho))
        return self.message_s + wait + self.wait_s(now)

    def is_overloaded_by(self, now: int, load: float, overload_multiple: float, window_us: int) -> bool:
        """Record a session placed now, and return whether it overloads the server during its slow start.

        The rate of load that the server can take is the load that fills its current capacity, divided by the
        duration of its slow start. More than `overload_multiple` times that rate, averaged over the window,
        overloads the server.
        """
        if self.capacity_share(now) >= 1:
            self.recent_loads.clear()
            return False
        self.recent_loads.append((now, load))
        while self.recent_loads[0][0] < now - window_us:
            self.recent_loads.popleft()
        load_limit = (
            overload_multiple
            * self.capacity(now)
            * self.load_per_core
            / self.slow_start_s
            * window_us
            / SECOND
        )
        share = sum(part for _, part in self.recent_loads) / load_limit
        self.worst_overload = max(self.worst_overload, share)
        return share > 1

    def add_session(self, group: int, load: float) -> None:
        """Count an established session."""
        self.connections += 1
        self.load += load
        self.groups[group] = self.groups.get(group, 0) + 1

    def remove_session(self, group: int, load: float) -> None:
        """Stop counting an established session."""
        self.connections -= 1
        self.load = max(0.0, self.load - load) if self.connections else 0.0
        self.groups[group] -= 1
        if not self.groups[group]:
            del self.groups[group]
