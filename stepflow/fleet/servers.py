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

    uid: str
    kind: int
    cores: int
    speed: float
    per_core: float  # mean connection loads that fill a core of the yardstick
    cold_from: float
    cold_s: float
    cap: int  # connections
    group_load: float
    message_s: float  # an echo's work on this server's core
    started_us: int = 0
    state: int = 0  # as the list will tell
    zone: int = 0
    hung: bool = False
    hung_us: int = 0  # since when
    fallen: bool = False
    errors: float = 0.0  # share of new connections that it answers with an error at once
    slowed: float = 1.0  # share of its speed that it has left
    load: float = 0.0
    pile: float = 0.0
    at_us: int = 0
    connections: int = 0
    groups: dict[int, int] = field(default_factory=dict)
    sent: deque[tuple[int, float]] = field(default_factory=deque)  # loads sent while it was cold
    sent_most: float = 0.0  # the most that came while it was cold, over what makes it fall
    setups: float = 0.0  # work in all
    probes: int = 0
    loads_seen: float = 0.0  # sum of its loads, looked at once a second
    looks: int = 0
    report: tuple[float, ...] = ()  # as it was last refreshed
    report_us: int = -SECOND

    @property
    def runs(self) -> bool:
        """Whether its process is there."""
        return not self.fallen and self.state != 2

    def warmth(self, now: int) -> float:
        """Share of its capacity at this moment."""
        age = (now - self.started_us) / SECOND
        if self.started_us <= 0 or age >= self.cold_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.cold_s

    def capacity(self, now: int) -> float:
        """Core-seconds of the yardstick a second."""
        return self.cores * self.speed * self.slowed * self.warmth(now)

    @property
    def sick(self) -> bool:
        """Whether it runs, and serves less than its list entry promises."""
        return self.runs and (self.hung or self.errors > 0 or self.slowed < 1)

    def asked(self) -> float:
        """Core-seconds of the yardstick that its connections ask for a second, their groups' among them."""
        return (self.load + self.group_load * len(self.groups)) / self.per_core

    def advance(self, now: int) -> None:
        """Work until now."""
        if now > self.at_us:
            spare = self.capacity(now) - self.asked()
            self.pile = max(0.0, self.pile - spare * (now - self.at_us) / SECOND)
            self.at_us = now

    def add(self, now: int, work: float) -> None:
        """Work that comes at once."""
        self.advance(now)
        self.pile += work

    def wait_s(self, now: int) -> float:
        """How long what comes now waits behind what is piled up."""
        self.advance(now)
        return self.pile / self.capacity(now)

    def rho(self, now: int) -> float:
        """Load asked over capacity."""
        return self.asked() / self.capacity(now)

    def on_time(self, now: int, aim_s: float) -> float:
        """Share of the echoes that come within an aim."""
        if self.hung or not self.runs:
            return 0.0
        behind, rho = self.wait_s(now), self.rho(now)
        left = aim_s - self.message_s - behind
        if left <= 0 or rho >= 1:
            return 0.0
        rate = self.cores * (1 - rho) / self.message_s
        return 1 - erlang_c(self.cores, rho) * math.exp(-rate * left)

    def delay_s(self, now: int) -> float:
        """The mean time of an echo; while more is asked than it can do, the pile alone tells."""
        rho = min(self.rho(now), 0.99)
        wait = erlang_c(self.cores, rho) * self.message_s / (self.cores * (1 - rho))
        return self.message_s + wait + self.wait_s(now)

    def overrun(self, now: int, load: float, times: float, window_us: int) -> bool:
        """Whether the load of a connection that is sent now pushes it over while it is cold.

        It can take new connections no faster than fills it over its warm-up, and of that rate as much as
        it is warm; so many times of it, over the window, make it fall.
        """
        if self.warmth(now) >= 1:
            self.sent.clear()
            return False
        self.sent.append((now, load))
        while self.sent[0][0] < now - window_us:
            self.sent.popleft()
        room = times * self.capacity(now) * self.per_core / self.cold_s * window_us / SECOND
        share = sum(part for _, part in self.sent) / room
        self.sent_most = max(self.sent_most, share)
        return share > 1

    def hold(self, group: int, load: float) -> None:
        """A connection stands here."""
        self.connections += 1
        self.load += load
        self.groups[group] = self.groups.get(group, 0) + 1

    def release(self, group: int, load: float) -> None:
        """It does no longer."""
        self.connections -= 1
        self.load = max(0.0, self.load - load) if self.connections else 0.0
        self.groups[group] -= 1
        if not self.groups[group]:
            del self.groups[group]
