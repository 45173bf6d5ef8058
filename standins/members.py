"""Processes that divide a whole, on a virtual network that fails as a seed says; a checker holds the rule.

Time is in microseconds. Every process has a clock of its own, with an offset and a drift. What each spends is
written down in true time, and the checker adds it up over every window.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from stepflow.budgets.shared_limits import DRIFT, ONE, Shares
from stepflow.members import Message, View, read, written

WINDOW_US = 1_000_000
SECOND = 1_000_000


@dataclass
class Weather:
    """How a network and its processes fail: chances, and the longest times in seconds."""

    loss: float = 0.1
    doubled: float = 0.05
    late_s: float = 0.04
    very_late: float = 0.02  # the share of messages that take up to 4 s
    cuts: float = 0.3  # a second: one direction between two places, for up to 6 s
    partitions: float = 0.1  # a second: the places in two groups, for up to 8 s
    pauses: float = 0.1  # a second: a process stands still for up to 10 s
    kills: float = 0.1  # a second: a process dies and is back within 0 to 4 s


@dataclass
class Checker:
    """All that was spent, in true time; `worst` is the most within a window, of ONE."""

    log: deque[tuple[float, int]] = field(default_factory=deque)
    sum: int = 0
    worst: int = 0
    total: int = 0

    def spent(self, now: float, amount: int) -> None:
        self.log.append((now, amount))
        self.sum += amount
        self.total += amount
        while self.log[0][0] <= now - WINDOW_US:
            self.sum -= self.log.popleft()[1]
        self.worst = max(self.worst, self.sum)


class Place:
    """A name on the network, and the process that has it now."""

    def __init__(self, number: int, count: int, rng: random.Random) -> None:
        self.number, self.count, self.rng = number, count, rng
        self.offset = rng.randrange(10**12)
        self.drift = 1 + rng.uniform(-DRIFT, DRIFT) / 2
        self.up, self.paused_until = False, 0.0
        self.need = 1.0  # of what comes to a place in the mean
        self.inbox: list[bytes] = []

    def clock(self, now: float) -> int:
        return self.offset + int(now * self.drift)

    def start(self, now: float) -> None:
        """A new process: it knows its name and the others' names, and nothing else."""
        at = self.clock(now)
        self.view = View(self.number, 1 + int(now), range(self.count), at)
        self.shares = Shares(self.view, WINDOW_US, random.Random(self.rng.random()), at)
        self.up, self.inbox = True, []


class Network:
    """Some places, played for a while."""

    def __init__(
        self, seed: int, count: int, weather: Weather, needs: Callable[[int], float] = lambda place: 1.0
    ) -> None:
        self.rng, self.weather, self.checker = random.Random(seed), weather, Checker()
        self.places = [Place(number, count, self.rng) for number in range(count)]
        for place in self.places:
            place.need = needs(place.number)
        self.now = 0.0
        self.bytes = 0
        self.used: list[int] = [0] * count
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._cut: dict[tuple[int, int], float] = {}
        self._count = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call))

    def play(self, seconds: float, start: bool = True) -> None:
        """Start all places within a second, let the weather act, and go on for so long."""
        for place in self.places if start else ():
            if not place.up:
                self.at(self.now + self.rng.random() * SECOND, lambda place=place: self._start(place))  # type: ignore[misc]
        end = self.now + seconds * SECOND
        for name in ("cuts", "partitions", "pauses", "kills"):
            rate = getattr(self.weather, name)
            when = self.now
            while rate > 0 and (when := when + self.rng.expovariate(rate) * SECOND) < end:
                self.at(when, getattr(self, "_" + name))
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def _start(self, place: Place) -> None:
        if place.up:
            return
        place.start(self.now)
        process = place.shares
        self.at(self.now, lambda: self._turn(place, process))

    def _turn(self, place: Place, process: Shares) -> None:
        """One turn of a process: what came, what it wants to spend, what it sends."""
        if not place.up or place.shares is not process:
            return
        if self.now < place.paused_until:
            self.at(place.paused_until, lambda: self._turn(place, process))
            return
        now, inbox = place.clock(self.now), place.inbox
        place.inbox = []
        for data in inbox:
            self._send(place, process.heard(now, read(data)))
        for _ in range(self.rng.randrange(4)):
            if self.rng.random() < min(1.0, place.need):
                amount = self.rng.randrange(1, max(2, int(ONE * place.need / len(self.places) / 12)))
                if process.spend(now, 0, amount):
                    self.checker.spent(self.now, amount)
                    self.used[place.number] += amount
        self._send(place, process.poll(now))
        self.at(self.now + self.rng.randrange(5_000, 40_000), lambda: self._turn(place, process))

    def _send(self, sender: Place, messages: list[tuple[int, Message]]) -> None:
        weather = self.weather
        for to, message in messages:
            data = written(message)
            self.bytes += len(data)
            if self._cut.get((sender.number, to), 0) > self.now or self.rng.random() < weather.loss:
                continue
            for _ in range(1 + (self.rng.random() < weather.doubled)):
                late = weather.late_s if self.rng.random() >= weather.very_late else 4.0
                place = self.places[to]
                self.at(
                    self.now + self.rng.uniform(0.0015, late) * SECOND,
                    lambda place=place, data=data: place.inbox.append(data),  # type: ignore[misc]
                )

    # The weather.

    def _cuts(self) -> None:
        pair = (self.rng.randrange(len(self.places)), self.rng.randrange(len(self.places)))
        self._cut[pair] = self.now + self.rng.uniform(0, 6) * SECOND

    def _partitions(self) -> None:
        side = [self.rng.random() < 0.5 for _ in self.places]
        until = self.now + self.rng.uniform(0, 8) * SECOND
        for one in range(len(side)):
            for other in range(len(side)):
                if side[one] != side[other]:
                    self._cut[one, other] = until

    def _pauses(self) -> None:
        self.rng.choice(self.places).paused_until = self.now + self.rng.uniform(0, 10) * SECOND

    def _kills(self) -> None:
        place = self.rng.choice(self.places)
        place.up = False
        self.at(
            self.now + self.rng.choice([0.0, 0.3, self.rng.uniform(0, 4)]) * SECOND,
            lambda: self._start(place),
        )
