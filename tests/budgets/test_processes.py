"""Real processes that divide a whole, with failing links between them: no window holds more."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import deque
from collections.abc import Awaitable, Callable

import pytest

from standins.links import Links
from stepflow.budgets.timing import FULL_LIMIT

PLACES, PORT = 3, 7946
WINDOW_NS = 1_000_000_000
PATIENCE = 30.0


class Story:
    """Some processes, the links between them, and what each wrote of its spending."""

    def __init__(self, seed: int) -> None:
        self.links = Links(PLACES, seed)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.spent: list[tuple[int, int, int]] = []  # when, how much, by whom
        self._readers: list[asyncio.Task[None]] = []

    async def start(self, place: int) -> None:
        host, port = self.links.listen[place]
        told = {
            "number": place,
            "listen": f"{host}:{port}",
            "peers": self.links.addresses_known_to(place),
            "demand": 1.0,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.sharer", json.dumps(told), stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        assert (await asyncio.wait_for(process.stdout.readline(), PATIENCE)) == b"listens\n"
        self.processes[place] = process
        self._readers.append(asyncio.create_task(self._read(place, process.stdout)))

    async def _read(self, place: int, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            when, amount = line.split()
            self.spent.append((int(when), int(amount), place))

    async def end(self, place: int) -> None:
        process = self.processes.pop(place)
        process.kill()
        await process.wait()

    async def reaches(self, share: float, by: set[int] | None = None) -> None:
        """Wait until so much of the whole was spent within the last second."""
        async with asyncio.timeout(PATIENCE):
            while True:
                await asyncio.sleep(0.05)
                last = max((when for when, _, _ in self.spent), default=0) - WINDOW_NS
                recent = [s for s in self.spent if s[0] > last and (by is None or s[2] in by)]
                if sum(amount for _, amount, _ in recent) >= share * FULL_LIMIT:
                    return

    def worst(self) -> int:
        """The most that was spent within any window."""
        held: deque[tuple[int, int]] = deque()
        most = total = 0
        for when, amount, _ in sorted(self.spent):
            held.append((when, amount))
            total += amount
            while held[0][0] <= when - WINDOW_NS:
                total -= held.popleft()[1]
            most = max(most, total)
        return most

    async def play(self, story: Callable[[Story], Awaitable[None]]) -> None:
        # Addresses of their own: a free port may be another test's a moment later.
        pid = os.getpid()
        await self.links.open([(f"127.{120 + n}.{pid >> 8 & 255}.{pid & 255}", PORT) for n in range(PLACES)])
        try:
            for place in range(PLACES):
                await self.start(place)
            await self.reaches(0.75)
            await story(self)
        finally:
            for place in tuple(self.processes):
                await self.end(place)
            await asyncio.gather(*self._readers)
            self.links.close()
        assert self.worst() <= FULL_LIMIT


async def lossy(story: Story) -> None:
    """A fifth of all datagrams lost, a tenth doubled, some 150 ms late."""
    for link in story.links.by_pair.values():
        link.loss, link.duplicates, link.delay_range_s = 0.2, 0.1, (0.0, 0.15)
    await asyncio.sleep(4)
    await story.reaches(0.7)


async def killed(story: Story) -> None:
    """One dies: what it held serves again. Back within 300 ms under its name, it has a part again."""
    await story.end(2)
    await asyncio.sleep(3)
    await story.reaches(0.78, by={0, 1})
    await story.start(2)
    await story.reaches(0.2, by={2})
    await story.end(1)
    await asyncio.sleep(0.3)
    await story.start(1)
    await story.reaches(0.2, by={1})


async def paused(story: Story) -> None:
    """One stands still for longer than its lease, and wakes up as one that owns what is kept."""
    story.processes[1].send_signal(signal.SIGSTOP)
    await asyncio.sleep(5)
    await story.reaches(0.78, by={0, 2})
    story.processes[1].send_signal(signal.SIGCONT)
    await story.reaches(0.2, by={1})


async def split(story: Story) -> None:
    """Two against one, healed while the one holds what is over, then cut one way only."""
    story.links.set_partition({0})
    await asyncio.sleep(4)
    await story.reaches(0.78, by={1, 2})
    story.links.set_partition({0}, is_cut=False)
    await story.reaches(0.2, by={0})
    story.links.set_partition({2}, both_ways=False)
    await asyncio.sleep(4)
    story.links.set_partition({2}, is_cut=False, both_ways=False)
    await story.reaches(0.2, by={2})


@pytest.mark.parametrize("story", [lossy, killed, paused, split])
def test_processes_never_spend_more_than_the_whole(story: Callable[[Story], Awaitable[None]]) -> None:
    asyncio.run(Story(seed=1).play(story))
