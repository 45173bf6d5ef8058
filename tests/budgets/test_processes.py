"""Runs processes that share a limit over failing links: usage exceeds the limit in no window."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest

from standins.links import Links
from stepflow.budgets.timing import FULL_LIMIT

MEMBERS, PORT = 3, 7946
WINDOW_NS = 1_000_000_000
TIMEOUT_S = 30.0


class Use(NamedTuple):
    """One use of the limit, as a process printed it."""

    used_ns: int
    amount: int
    member: int


class Processes:
    """The members' processes, the links between them, and all uses of the limit."""

    def __init__(self, seed: int) -> None:
        self.links = Links(MEMBERS, seed)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.uses: list[Use] = []
        self._readers: list[asyncio.Task[None]] = []

    async def start(self, member: int) -> None:
        host, port = self.links.listen[member]
        arguments = {
            "number": member,
            "listen": f"{host}:{port}",
            "peers": self.links.addresses_known_to(member),
            "demand": 1.0,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.sharer", json.dumps(arguments), stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        assert (await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S)) == b"listening\n"
        self.processes[member] = process
        self._readers.append(asyncio.create_task(self._read_uses(member, process.stdout)))

    async def _read_uses(self, member: int, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            used_ns, amount = line.split()
            self.uses.append(Use(int(used_ns), int(amount), member))

    async def kill(self, member: int) -> None:
        process = self.processes.pop(member)
        process.kill()
        await process.wait()

    async def wait_for_usage(self, share: float, by: set[int] | None = None) -> None:
        """Wait until some members have used this share of the limit within the last window."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                await asyncio.sleep(0.05)
                window_start = max((use.used_ns for use in self.uses), default=0) - WINDOW_NS
                recent = [use for use in self.uses if use.used_ns > window_start]
                used = sum(use.amount for use in recent if by is None or use.member in by)
                if used >= share * FULL_LIMIT:
                    return

    def max_in_window(self) -> int:
        """Return the maximum usage within any window."""
        window: deque[Use] = deque()
        maximum = total = 0
        for use in sorted(self.uses):
            window.append(use)
            total += use.amount
            while window[0].used_ns <= use.used_ns - WINDOW_NS:
                total -= window.popleft().amount
            maximum = max(maximum, total)
        return maximum

    async def run(self, scenario: Callable[[Processes], Awaitable[None]]) -> None:
        # Each pytest process has its own addresses: another test could take a port that was found free.
        pid = os.getpid()
        await self.links.open(
            [(f"127.{120 + member}.{pid >> 8 & 255}.{pid & 255}", PORT) for member in range(MEMBERS)]
        )
        try:
            for member in range(MEMBERS):
                await self.start(member)
            await self.wait_for_usage(0.75)
            await scenario(self)
        finally:
            for member in tuple(self.processes):
                await self.kill(member)
            await asyncio.gather(*self._readers)
            self.links.close()
        assert self.max_in_window() <= FULL_LIMIT


async def lossy_links(processes: Processes) -> None:
    """Lose a fifth of all datagrams, duplicate a tenth, and delay each by up to 150 ms."""
    for link in processes.links.by_pair.values():
        link.loss, link.duplicates, link.delay_range_s = 0.2, 0.1, (0.0, 0.15)
    await asyncio.sleep(4)
    await processes.wait_for_usage(0.7)


async def killed_members(processes: Processes) -> None:
    """Kill a member: the others use its leases. Restart it, then another after 300 ms: both get a share."""
    await processes.kill(2)
    await asyncio.sleep(3)
    await processes.wait_for_usage(0.78, by={0, 1})
    await processes.start(2)
    await processes.wait_for_usage(0.2, by={2})
    await processes.kill(1)
    await asyncio.sleep(0.3)
    await processes.start(1)
    await processes.wait_for_usage(0.2, by={1})


async def a_paused_member(processes: Processes) -> None:
    """Stop a member for longer than its lease; it continues with only its reserved share."""
    processes.processes[1].send_signal(signal.SIGSTOP)
    await asyncio.sleep(5)
    await processes.wait_for_usage(0.78, by={0, 2})
    processes.processes[1].send_signal(signal.SIGCONT)
    await processes.wait_for_usage(0.2, by={1})


async def partitions(processes: Processes) -> None:
    """Cut one member off until after its leases have ended, then another in its sending direction only."""
    processes.links.set_partition({0})
    await asyncio.sleep(4)
    await processes.wait_for_usage(0.78, by={1, 2})
    processes.links.set_partition({0}, is_cut=False)
    await processes.wait_for_usage(0.2, by={0})
    processes.links.set_partition({2}, both_ways=False)
    await asyncio.sleep(4)
    processes.links.set_partition({2}, is_cut=False, both_ways=False)
    await processes.wait_for_usage(0.2, by={2})


@pytest.mark.parametrize("scenario", [lossy_links, killed_members, a_paused_member, partitions])
def test_processes_never_exceed_the_limit(scenario: Callable[[Processes], Awaitable[None]]) -> None:
    asyncio.run(Processes(seed=1).run(scenario))
