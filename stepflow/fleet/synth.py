"""Synthetic journals: simulated traffic, recorded as nodes record it, for use when there is no trace yet."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from stepflow.errors import InputError
from stepflow.fleet.baselines import PolicyFactory
from stepflow.fleet.scenario import Scenario
from stepflow.fleet.servers import Server
from stepflow.fleet.simulation import Simulation
from stepflow.interface import Action, Event, Request, Settings
from stepflow.traffic import Recorder

BEGAN_US = 1_700_000_000_000_000  # Unix time at which each simulated run begins
KEY = "made by the model, no farm's"
SEGMENT = 16 << 20  # size in bytes at which the next journal file begins


class _JournalFile:
    """The journal files of one process of a node."""

    def __init__(self, folder: Path, incarnation: int) -> None:
        self._folder, self._incarnation, self._number = folder, incarnation, 0
        self.paths: list[Path] = []

    def put(self, data: bytes, begins: bool) -> bool:
        """Append bytes, to a new file if `begins`; return True, since all bytes are written."""
        if begins:
            self._number += 1
            name = f"traffic-{BEGAN_US // 1000:016d}-{self._number:05d}-{self._incarnation:04d}.sft"
            self.paths.append(self._folder / name)
        with open(self.paths[-1], "ab") as file:
            file.write(data)
        return True


class JournalWriter:
    """Observer that records each node of a run; the journal of a killed process has no end record."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._files: list[_JournalFile] = []
        self._recorders: dict[int, Recorder] = {}
        self._now_us = BEGAN_US

    @property
    def paths(self) -> list[Path]:
        """All journal files, in the order in which their processes started."""
        return [path for file in self._files for path in file.paths]

    def node_started(self, node: int, incarnation: int, settings: Settings) -> None:
        """Start the journal of a node's new process."""
        folder = self._folder / f"n{node}"
        folder.mkdir(parents=True, exist_ok=True)
        if previous := self._recorders.get(node):
            previous.flush(self._now_us)
        self._files.append(_JournalFile(folder, incarnation))
        self._recorders[node] = Recorder(
            self._files[-1], KEY, f"n{node}", BEGAN_US + incarnation, settings, SEGMENT
        )

    def event_handled(self, now: int, node: int, event: Event, actions: list[Action]) -> None:
        """Record an event and its actions, with the time and a request's deadline converted to Unix time."""
        if isinstance(event, Request):
            event = event._replace(expires_us=event.expires_us + BEGAN_US)
        self._now_us = BEGAN_US + now
        self._recorders[node].take(self._now_us, event, actions)

    def run_ended(self, now: int, servers: Sequence[Server]) -> None:
        """End all journals with an end record."""
        for recorder in self._recorders.values():
            recorder.end(BEGAN_US + now)


def synth(scenario: Scenario, seed: int, folder: str | Path, policy_factory: PolicyFactory) -> list[Path]:
    """Simulate a scenario; write its journals to a new folder, with a subfolder for each node.

    Returns the paths of the journals. Raises InputError if the folder exists.
    """
    target = Path(folder)
    if target.exists():
        raise InputError(f"{target}: already exists")
    target.mkdir(parents=True)
    writer = JournalWriter(target)
    Simulation(scenario, seed, policy_factory, observers=(writer,)).run()
    return writer.paths
