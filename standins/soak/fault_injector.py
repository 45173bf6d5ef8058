"""Machine faults of a node at random times: clock steps, failing system calls, halts and reloads."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from standins.preload import Call, Machine
from standins.soak.node_process import NodeProcess

CLOCK_STEPS_S = (-3600.0, -5.0, -0.6, 0.6, 5.0, 3600.0)
PAUSE_S = (0.1, 0.6)  # range of the pause between two faults
FAILING_S = (0.05, 0.5)
BREAKING_S = (0.05, 0.2)
HALT_S = (0.02, 0.15)
HALF_WRITTEN_S = (0.0, 0.1)
FAILURE_SHARES = (0.05, 0.3, 0.8)
BREAKING_SHARE = 0.02
HALF_WRITTEN_SHARE = 0.5  # share of reloads whose file is half written at the first signal

# Upper bounds of the draw from [0, 1) that selects the fault; a draw above the last bound selects a reload.
CLOCK_STEP_BELOW = 0.25
FAILING_CALLS_BELOW = 0.65
BREAKING_CALLS_BELOW = 0.75
HALT_BELOW = 0.9


@dataclass(frozen=True)
class FaultPlan:
    """The faults that may be injected into one node's machine."""

    failing_calls: tuple[Call, ...]  # their failures must not affect clients
    breaking_calls: tuple[Call, ...]  # each failure breaks a connection
    config: Path  # the configuration file that the node reads on SIGHUP
    new_configuration: Callable[[random.Random], str]


class FaultInjector:
    """Injects faults into a node's machine and its serving process, from `start` to `stop`.

    Faults continue during the shutdown of the process: call `stop` after the process has exited.
    """

    def __init__(self, process: NodeProcess, machine: Machine, plan: FaultPlan, rng: random.Random) -> None:
        self._process, self._machine, self._plan, self._rng = process, machine, plan, rng
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start injecting; the first fault follows a pause."""
        self._task = asyncio.create_task(self._run())

    def switch_to(self, process: NodeProcess) -> None:
        """Send further signals to the process that replaces the current one."""
        self._process = process

    async def stop(self) -> None:
        """End the current fault and stop injecting; raise any exception of the injector's task."""
        if self._task is None:
            return
        task, self._task = self._task, None
        task.cancel()
        await asyncio.wait({task})
        if not task.cancelled():
            task.result()

    async def _run(self) -> None:
        while True:
            await self._sleep(PAUSE_S)
            await self._inject_fault()

    async def _inject_fault(self) -> None:
        draw = self._rng.random()
        if draw < CLOCK_STEP_BELOW:
            self._machine.step_wall_clock(self._rng.choice(CLOCK_STEPS_S))
        elif draw < FAILING_CALLS_BELOW:
            await self._fail_calls()
        elif draw < BREAKING_CALLS_BELOW:
            await self._break_connections()
        elif draw < HALT_BELOW:
            await self._halt()
        else:
            await self._reload()

    async def _fail_calls(self) -> None:
        for call in self._rng.sample(self._plan.failing_calls, self._rng.randint(1, 3)):
            self._machine.fail(call, self._rng.choice(FAILURE_SHARES))
        await self._sleep_and_heal(FAILING_S)

    async def _break_connections(self) -> None:
        self._machine.fail(self._rng.choice(self._plan.breaking_calls), BREAKING_SHARE)
        await self._sleep_and_heal(BREAKING_S)

    async def _halt(self) -> None:
        """Stop the process with SIGSTOP for a moment, then continue it.

        SIGCONT goes to the stopped process even if `switch_to` or `stop` is called during the halt.
        """
        process = self._process
        process.send_signal(signal.SIGSTOP)
        try:
            await self._sleep(HALT_S)
        finally:
            process.send_signal(signal.SIGCONT)

    async def _reload(self) -> None:
        """Write a new configuration and send SIGHUPs; the file may be half written at the first of them."""
        text = self._plan.new_configuration(self._rng)
        if self._rng.random() < HALF_WRITTEN_SHARE:
            self._plan.config.write_text(text[: len(text) // 2])
            self._process.send_signal(signal.SIGHUP)
            await self._sleep(HALF_WRITTEN_S)
        self._plan.config.write_text(text)
        for _ in range(self._rng.randint(1, 3)):
            self._process.send_signal(signal.SIGHUP)

    async def _sleep_and_heal(self, bounds_s: tuple[float, float]) -> None:
        try:
            await self._sleep(bounds_s)
        finally:
            self._machine.heal()

    async def _sleep(self, bounds_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*bounds_s))
