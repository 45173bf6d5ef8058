"""The soak's handling of node exits: signals after an exit, crashes, and seeds that raise an exception.

Small programs stand in for the nodes, so that each exits at the moment that the test needs.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from asyncio.base_subprocess import BaseSubprocessTransport
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

from standins.preload import Call, Machine
from standins.soak import __main__ as soak
from standins.soak import fault_injector, run
from standins.soak.fault_injector import FaultInjector, FaultPlan
from standins.soak.node_process import NodeProcess
from standins.soak.records import Records

ONE_NODE = 3  # a seed with one node whose process is not replaced
ONE_REPLACED_NODE = 15
TWO_NODES = 1  # a seed with two nodes whose processes are not replaced
# Draws that select the fault; they also determine the pauses before and during it.
CLOCK_STEP, FAILING_CALLS, BREAKING_CALLS, HALT, RELOAD = 0.1, 0.5, 0.7, 0.8, 0.95
RETURN_CODE_DELAY_S = 1.0
CLOSED_PORT = 1
SIGNALS_OF_FAULTS = {signal.SIGHUP, signal.SIGSTOP, signal.SIGCONT}
SIGNALS_TO_END = {signal.SIGTERM, signal.SIGINT}

NODE = """
import signal, sys, time
def end(number, frame):
    sys.stderr.write("stopped faults=0\\n")
    sys.exit(0)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGINT, signal.SIG_IGN)
signal.signal(signal.SIGTERM, end)
"""
READY = """
sys.stderr.write("ready\\n")
sys.stderr.flush()
"""
SERVING_NODE = f"{NODE}{READY}time.sleep(60)"
CRASHING_NODE = f"{NODE}{READY}sys.stderr.write('stopped faults=0\\n'); sys.exit({{code}})"
DRAINING_NODE = f"""{NODE}
import os
from pathlib import Path
terminated, faults = [], set()
def note_fault(number, frame):
    if terminated:
        faults.add(signal.Signals(number).name)
signal.signal(signal.SIGTERM, lambda number, frame: terminated.append(number))
signal.signal(signal.SIGHUP, note_fault)
signal.signal(signal.SIGCONT, note_fault)
{READY}
while not terminated:
    time.sleep(0.01)
machine = Path(os.environ["STANDIN_FAULTS"])
before, ends = machine.read_bytes(), time.monotonic() + 1.2
while time.monotonic() < ends and not ({{until}}):
    time.sleep(0.01)
    if machine.read_bytes() != before:
        faults.add("machine")
sys.stderr.write("stopped faults=0\\n")
sys.exit({{code}})
"""
SLOWLY_ENDING_NODE = DRAINING_NODE.format(until="False", code="0")
NODE_CRASHING_AT_A_FAULT = DRAINING_NODE.format(until="faults", code="7 if faults else 0")
NODE_EXPECTING_NO_SIGNAL = DRAINING_NODE.format(until="False", code="7 if faults - {'machine'} else 0")


def node_expecting(fault: str) -> str:
    """Return a node program that exits with 7 unless it has seen the fault during its shutdown."""
    return DRAINING_NODE.format(until="False", code=f"0 if {fault!r} in faults else 7")


async def start_program(program: str, env: Mapping[str, str]) -> asyncio.subprocess.Process:
    """Start a program and wait until its signal handlers are set.

    The program can read the file with its machine's faults, but they do not affect it.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", program, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "STANDIN_FAULTS": env["STANDIN_FAULTS"]},
    )  # fmt: skip
    assert process.stderr is not None
    assert await process.stderr.readline() == b"ready\n"
    return process


StartNode = Callable[[Path, Mapping[str, str]], Awaitable[tuple[asyncio.subprocess.Process, int]]]


def start_in_turn(programs: Sequence[str]) -> StartNode:
    """Return a `start_node` that starts the programs in order, then the last one repeatedly."""
    remaining = list(programs)

    async def start(config: Path, env: Mapping[str, str]) -> tuple[asyncio.subprocess.Process, int]:
        program = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return await start_program(program, env), CLOSED_PORT

    return start


def fixed_random(draw: float, signals: int) -> type[random.Random]:
    """Return a generator class with constant draws; `signals` is the number of signals after SIGTERM."""

    class FixedRandom(random.Random):
        def random(self) -> float:
            return draw

        def randint(self, a: int, b: int) -> int:
            return signals if a == 0 else a

    return FixedRandom


def delay_return_codes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make asyncio set a return code long after it has reaped the process."""
    set_return_code: Callable[[BaseSubprocessTransport, int], None]
    set_return_code = BaseSubprocessTransport._process_exited

    def set_delayed(transport: BaseSubprocessTransport, code: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(RETURN_CODE_DELAY_S, set_return_code, transport, code)

    monkeypatch.setattr(BaseSubprocessTransport, "_process_exited", set_delayed)


@dataclass(frozen=True)
class SentSignal:
    """A signal that the soak run sent.

    `after_exit`: the process has been reaped already, but its return code is not set yet.
    """

    pid: int
    number: int
    after_exit: bool


def record_signals(monkeypatch: pytest.MonkeyPatch) -> list[SentSignal]:
    """Record each signal to a node, including those sent after the process has exited."""
    sent: list[SentSignal] = []
    send_signal = NodeProcess.send_signal

    def record(node_process: NodeProcess, number: signal.Signals) -> None:
        process = node_process._process
        after_exit = process.returncode is None and was_reaped(process.pid)
        sent.append(SentSignal(process.pid, number, after_exit))
        send_signal(node_process, number)

    monkeypatch.setattr(NodeProcess, "send_signal", record)
    return sent


def was_reaped(pid: int) -> bool:
    """Return whether a child has exited and been reaped."""
    try:
        os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT)
    except ChildProcessError:
        return True
    return False


def play_programs(
    monkeypatch: pytest.MonkeyPatch,
    *programs: str,
    seed: int = ONE_NODE,
    draw: float = RELOAD,
    signals: int = 0,
    lasts_s: float = 0.3,
) -> list[str]:
    """Play a seed with a program in place of each node; return the violations."""
    monkeypatch.setattr(run, "start_node", start_in_turn(programs))
    monkeypatch.setattr(run, "LASTS_S", lasts_s)
    monkeypatch.setattr(random, "Random", fixed_random(draw, signals))
    return run.play(seed).violations()


@pytest.mark.parametrize("draw", (RELOAD, HALT))
@pytest.mark.parametrize("signals", (0, 3))
@pytest.mark.parametrize("seed", (ONE_NODE, ONE_REPLACED_NODE))
def test_signals_to_a_reaped_node_without_return_code_are_not_reported(
    monkeypatch: pytest.MonkeyPatch, seed: int, signals: int, draw: float
) -> None:
    """Signals of the faults are sent after the exit too, whatever the number of further signals."""
    delay_return_codes(monkeypatch)
    sent = record_signals(monkeypatch)
    assert play_programs(monkeypatch, SERVING_NODE, seed=seed, draw=draw, signals=signals) == []
    numbers_after_exit = {one.number for one in sent if one.after_exit}
    assert numbers_after_exit & SIGNALS_OF_FAULTS
    assert bool(numbers_after_exit & SIGNALS_TO_END) == (signals > 0)


@pytest.mark.parametrize("seed", (ONE_NODE, ONE_REPLACED_NODE))
def test_node_terminated_during_a_halt_continues_and_exits(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """The halt begins after 0.5 s; a node replaced during it is no longer the serving one at its end."""
    monkeypatch.setattr(fault_injector, "HALT_S", (1.0, 1.0))
    assert play_programs(monkeypatch, SERVING_NODE, seed=seed, draw=HALT, lasts_s=0.55) == []


@pytest.mark.parametrize(
    ("draw", "fault"),
    (
        (CLOCK_STEP, "machine"),
        (FAILING_CALLS, "machine"),
        (BREAKING_CALLS, "machine"),
        (HALT, "SIGCONT"),
        (RELOAD, "SIGHUP"),
    ),
)
@pytest.mark.parametrize("seed", (ONE_NODE, ONE_REPLACED_NODE))
def test_faults_are_injected_during_shutdown(
    monkeypatch: pytest.MonkeyPatch, seed: int, draw: float, fault: str
) -> None:
    """A replaced process shares its machine with its successor, but only the successor gets the signals."""
    expecting = node_expecting(fault)
    first = expecting if fault == "machine" or seed == ONE_NODE else NODE_EXPECTING_NO_SIGNAL
    assert play_programs(monkeypatch, first, expecting, seed=seed, draw=draw) == []


@pytest.mark.parametrize("delayed", (False, True))
@pytest.mark.parametrize("draw", (CLOCK_STEP, FAILING_CALLS, BREAKING_CALLS, HALT, RELOAD))
def test_crash_at_a_fault_during_shutdown_is_reported(
    monkeypatch: pytest.MonkeyPatch, draw: float, delayed: bool
) -> None:
    if delayed:
        delay_return_codes(monkeypatch)
    violations = play_programs(monkeypatch, NODE_CRASHING_AT_A_FAULT, draw=draw)
    assert violations == ["n0: ended with 7"]


def test_faults_of_a_node_stop_after_its_process_has_exited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two reloads are due during the shutdown of the second node, after the exit of the first."""
    sent = record_signals(monkeypatch)
    assert play_programs(monkeypatch, SLOWLY_ENDING_NODE, seed=TWO_NODES) == []
    first, second = (at for at, one in enumerate(sent) if one.number == signal.SIGTERM)
    assert sent[first].pid in reloaded_pids(sent[first:second])
    assert reloaded_pids(sent[second:]) == {sent[second].pid}


def reloaded_pids(sent: list[SentSignal]) -> set[int]:
    """Return the processes that were sent a reload."""
    return {one.pid for one in sent if one.number == signal.SIGHUP}


def test_process_continues_when_the_injector_is_stopped_during_a_halt(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(fault_injector, "HALT_S", (30.0, 30.0))
    asyncio.run(stop_injector_during_a_halt(tmp_path))


async def stop_injector_during_a_halt(folder: Path) -> None:
    """Stop the injector during a halt, and check that the process is continued."""
    machine = Machine(folder)
    process = await start_program(SERVING_NODE, machine.env)
    node_process = NodeProcess("n0", process, Records())
    plan = FaultPlan((Call.ACCEPT,), (Call.ACCEPT,), folder / "node.json", lambda rng: "{}")
    injector = FaultInjector(node_process, machine, plan, fixed_random(HALT, 0)())
    injector.start()
    try:
        while not has_changed(process.pid, os.WSTOPPED):
            await asyncio.sleep(0.01)
        await injector.stop()
        assert has_changed(process.pid, os.WCONTINUED)
    finally:
        node_process.kill()
        assert await node_process.wait(5.0)


def has_changed(pid: int, change: int) -> bool:
    """Return whether a child was stopped or continued; leaves that state to be read again."""
    return os.waitid(os.P_PID, pid, change | os.WNOHANG | os.WNOWAIT) is not None


@pytest.mark.parametrize("delayed", (False, True))
@pytest.mark.parametrize("code", (0, 3))
@pytest.mark.parametrize("lasts_s", (0.5, 0.8))
def test_unrequested_exit_of_a_node_is_reported(
    monkeypatch: pytest.MonkeyPatch, lasts_s: float, code: int, delayed: bool
) -> None:
    """The program exits at once; a reload is due after 0.58 s, and the run ends before or after it."""
    if delayed:
        delay_return_codes(monkeypatch)
    violations = play_programs(monkeypatch, CRASHING_NODE.format(code=code), lasts_s=lasts_s)
    assert violations == [f"n0: ended with {code} without having been told to end"]


class UnreadableError(Exception):
    """An error that can be pickled but not unpickled."""

    def __init__(self, first: str, second: str) -> None:
        super().__init__(f"{first} {second}")


def play_with_failures(seed: int) -> Records:
    """Raise for seeds 2 and 4, return a violation for seed 3."""
    if seed == 2:
        raise ProcessLookupError("no such process")
    if seed == 4:
        raise UnreadableError("worker", "failed")
    return Records(node_faults=["n0: ended with 3"] if seed == 3 else [])


def test_exception_of_one_seed_does_not_affect_the_results_of_the_others(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(soak, "play", play_with_failures)
    monkeypatch.setattr(sys, "argv", ["soak", "--seeds", "1:5", "--jobs", "2"])
    assert soak.main() == 1
    lines = capsys.readouterr().out.splitlines()
    seed_lines = [line for line in lines if line.startswith("seed ")]
    assert seed_lines == [
        "seed 1: kept",
        "seed 2: raised",
        "seed 3: broken",
        "seed 4: raised",
        "seed 5: kept",
    ]
    assert "    ProcessLookupError: no such process" in lines
    assert "    n0: ended with 3" in lines
    assert any(line.endswith("UnreadableError: worker failed") for line in lines)
    assert lines[-1] == "5 seeds, 1 broken, 2 raised; answers: {}"


def test_exception_of_the_only_seed_gives_exit_code_1(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(soak, "play", play_with_failures)
    monkeypatch.setattr(sys, "argv", ["soak", "--seeds", "2"])
    assert soak.main() == 1


def test_kept_seed_gives_exit_code_0(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(soak, "play", play_with_failures)
    monkeypatch.setattr(sys, "argv", ["soak", "--seeds", "1"])
    assert soak.main() == 0
    assert capsys.readouterr().out.splitlines()[-1] == "1 seeds, 0 broken; answers: {}"
