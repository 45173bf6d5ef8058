"""Members that share a limit over a virtual network with seeded faults, and a checker of the limit.

Virtual time is in microseconds. Each member's clock has an offset and a drift of its own. Each use is
recorded in virtual time, and the checker sums the uses over every window.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from stepflow.budgets.shared_limits import OutgoingMessage, SharedLimits
from stepflow.budgets.timing import FULL_LIMIT, MAX_CLOCK_DRIFT
from stepflow.members import Membership, decode, encode

WINDOW_US = 1_000_000
PARTITION_SHARE = 0.5  # chance of each member to be on the first side of a partition
SECOND = 1_000_000
LIMIT = 0


@dataclass
class FaultRates:
    """The rates and durations of the faults of a network and its processes."""

    loss: float = 0.1  # chance of each datagram to be lost
    duplicates: float = 0.05  # chance of each datagram to be duplicated
    max_delay_s: float = 0.04
    long_delays: float = 0.02  # chance of each datagram to be delayed by up to 4 s
    cuts: float = 0.3  # per second: one direction between two members is blocked for up to 6 s
    partitions: float = 0.1  # per second: the members are split in two groups for up to 8 s
    pauses: float = 0.1  # per second: a process is paused for up to 10 s
    kills: float = 0.1  # per second: a process is killed and restarted after 0 to 4 s


@dataclass
class LimitChecker:
    """All uses in virtual time; `max_in_window` is the largest window's sum, in millionths of the limit."""

    uses: deque[tuple[float, int]] = field(default_factory=deque)
    in_window: int = 0
    max_in_window: int = 0
    total: int = 0

    def record(self, now: float, amount: int) -> None:
        """Add a use; `now` must not decrease."""
        self.uses.append((now, amount))
        self.in_window += amount
        self.total += amount
        while self.uses[0][0] <= now - WINDOW_US:
            self.in_window -= self.uses.popleft()[1]
        self.max_in_window = max(self.max_in_window, self.in_window)


class VirtualMember:
    """A member of the network, and its current process."""

    def __init__(self, number: int, count: int, rng: random.Random) -> None:
        self.number, self.count, self.rng = number, count, rng
        self.clock_offset = rng.randrange(10**12)
        self.clock_rate = 1 + rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2
        self.is_up, self.paused_until = False, 0.0
        self.demand = 1.0  # multiplies the amount of each use and, below 1, the number of uses
        self.inbox: list[bytes] = []

    def local_time(self, now: float) -> int:
        """Return what the member's clock shows at a virtual time."""
        return self.clock_offset + int(now * self.clock_rate)

    def receive(self, data: bytes) -> None:
        """Queue a datagram for the next tick; the start of a process discards the queue."""
        self.inbox.append(data)

    def start(self, now: float) -> None:
        """Start a new process, which knows only its number and the number of members."""
        at = self.local_time(now)
        membership = Membership(self.number, 1 + int(now), range(self.count), at)
        self.limits = SharedLimits(membership, WINDOW_US, random.Random(self.rng.random()), at)
        self.is_up, self.inbox = True, []


class VirtualNetwork:
    """The members and the links between them, run in virtual time."""

    def __init__(
        self,
        seed: int,
        count: int,
        faults: FaultRates,
        demand_of: Callable[[int], float] = lambda member: 1.0,
    ) -> None:
        self.rng, self.faults, self.checker = random.Random(seed), faults, LimitChecker()
        self.members = [VirtualMember(number, count, self.rng) for number in range(count)]
        for member in self.members:
            member.demand = demand_of(member.number)
        self.now = 0.0
        self.bytes_sent = 0
        self.used_by_member: list[int] = [0] * count
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._cut_until: dict[tuple[int, int], float] = {}
        self._event_count = 0

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time; calls at the same time run in the order of scheduling."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, call))

    def run(self, seconds: float, start: bool = True) -> None:
        """Run for some seconds with faults; with `start`, first start all stopped members within a second."""
        for member in self.members if start else ():
            if not member.is_up:
                when = self.now + self.rng.random() * SECOND
                self.schedule(when, partial(self._start, member))
        end = self.now + seconds * SECOND
        self._schedule_faults(end)
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def _schedule_faults(self, end: float) -> None:
        faults = (
            (self.faults.cuts, self._cut_link),
            (self.faults.partitions, self._partition),
            (self.faults.pauses, self._pause),
            (self.faults.kills, self._kill),
        )
        for rate, inject in faults:
            when = self.now
            while rate > 0 and (when := when + self.rng.expovariate(rate) * SECOND) < end:
                self.schedule(when, inject)

    def _start(self, member: VirtualMember) -> None:
        if member.is_up:
            return
        member.start(self.now)
        process = member.limits
        self.schedule(self.now, lambda: self._tick(member, process))

    def _tick(self, member: VirtualMember, process: SharedLimits) -> None:
        """Run one tick of a process: receive datagrams, use the limit, send datagrams."""
        if not member.is_up or member.limits is not process:
            return
        if self.now < member.paused_until:
            self.schedule(member.paused_until, lambda: self._tick(member, process))
            return
        local_time, inbox = member.local_time(self.now), member.inbox
        member.inbox = []
        for data in inbox:
            self._send(member, process.receive(local_time, decode(data)))
        self._use_limit(member, process, local_time)
        self._send(member, process.tick(local_time))
        self.schedule(self.now + self.rng.randrange(5_000, 40_000), lambda: self._tick(member, process))

    def _use_limit(self, member: VirtualMember, process: SharedLimits, local_time: int) -> None:
        for _ in range(self.rng.randrange(4)):
            if self.rng.random() < min(1.0, member.demand):
                max_amount = int(FULL_LIMIT * member.demand / len(self.members) / 12)
                amount = self.rng.randrange(1, max(2, max_amount))
                if process.try_use(local_time, LIMIT, amount):
                    self.checker.record(self.now, amount)
                    self.used_by_member[member.number] += amount

    def _send(self, sender: VirtualMember, messages: list[OutgoingMessage]) -> None:
        faults = self.faults
        for receiver, message in messages:
            data = encode(message)
            self.bytes_sent += len(data)
            is_cut = self._cut_until.get((sender.number, receiver), 0) > self.now
            if is_cut or self.rng.random() < faults.loss:
                continue
            for _ in range(1 + (self.rng.random() < faults.duplicates)):
                max_delay_s = faults.max_delay_s if self.rng.random() >= faults.long_delays else 4.0
                arrives_at = self.now + self.rng.uniform(0.0015, max_delay_s) * SECOND
                self.schedule(arrives_at, partial(self.members[receiver].receive, data))

    def _cut_link(self) -> None:
        link = (self.rng.randrange(len(self.members)), self.rng.randrange(len(self.members)))
        self._cut_until[link] = self.now + self.rng.uniform(0, 6) * SECOND

    def _partition(self) -> None:
        sides = [self.rng.random() < PARTITION_SHARE for _ in self.members]
        until = self.now + self.rng.uniform(0, 8) * SECOND
        for sender, sender_side in enumerate(sides):
            for receiver, receiver_side in enumerate(sides):
                if sender_side != receiver_side:
                    self._cut_until[sender, receiver] = until

    def _pause(self) -> None:
        self.rng.choice(self.members).paused_until = self.now + self.rng.uniform(0, 10) * SECOND

    def _kill(self) -> None:
        member = self.rng.choice(self.members)
        member.is_up = False
        down_s = self.rng.choice([0.0, 0.3, self.rng.uniform(0, 4)])
        self.schedule(self.now + down_s * SECOND, lambda: self._start(member))
