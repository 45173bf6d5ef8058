"""A prediction beside a run on sockets: the bars' arithmetic, and that a scenario plays with real nodes."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import numpy as np
import pytest

from standins.live import play
from stepflow.fleet.compare import CompareError
from stepflow.fleet.measurements import Measurements
from stepflow.fleet.replay import Check, Prediction, check, prediction
from stepflow.fleet.scenario import Class, Day, Fault, Kind, Scenario
from stepflow.fleet.simulation import Simulation
from tests.command_kit import command

TINY = Scenario(
    Day(seconds=4, warm=1, servers=3, nodes=2, rate=4, life=5, groups=5, list_s=(0.2, 0.4), utilization=0.3),
    {"std": Kind(speed=(1.0, 1.2))},
    {"view": Class(share=0.6), "save": Class(share=0.4, worth=3, wait_ms=4800)},
)


def test_a_prediction_covers_a_further_run_as_often_as_it_says() -> None:
    rng, hits = np.random.default_rng(3), 0
    for _ in range(500):
        bars = prediction(list(rng.normal(2.0, 1.0, 8)), 0.9)
        hits += bars.low <= rng.normal(2.0, 1.0) <= bars.high
    assert 0.86 <= hits / 500 <= 0.94
    with pytest.raises(CompareError):
        prediction([1.0, 2.0], 0.9)


def test_a_run_outside_its_bars_is_told_so() -> None:
    def nothing(scenario: Scenario, seed: int) -> tuple[Measurements, float]:
        measurements = Simulation(scenario, seed).measurements
        measurements.wanted += 1.0
        return measurements, 0.0

    told: list[Check] = []
    (found,) = check(TINY, nothing, [1], Prediction(3), on_checked=told.append)
    assert told == [found] and not found.within and found.measured == 0 < found.predicted.low


@pytest.mark.parametrize("what", ["hang", "drain", "start", "crash", "restart", "list-down"])
def test_a_scenario_plays_on_sockets_through_a_fault(what: str) -> None:
    measurements, _ = play(replace(TINY, faults=(Fault(what, 1.5, 1.0, 0.4),)), 2)
    assert measurements.wanted.sum() > 5 and measurements.health_checks > 0 and 0 < measurements.requests < 60
    assert 0 < measurements.served.sum() <= measurements.wanted.sum() + 1e-9


def test_a_fault_that_is_not_played_here_is_turned_down_and_not_left_out() -> None:
    with pytest.raises(CompareError, match="roll: this fault is not played"):
        play(replace(TINY, faults=(Fault("roll", 1.0),)), 1)


def test_replay_tells_each_run_beside_its_bars(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text("day {\n seconds 2\n warm 1\n servers 2\n nodes 1\n rate 4\n life 5\n}\n")
    done = command("fleet", "replay", str(path), "--runs", "1", "--predict", "4", "--json")
    told = json.loads(done.stdout)
    assert done.returncode == 0 and told["low"] <= told["predicted"] <= told["high"]
    assert 0 <= told["measured"] <= 1 and isinstance(told["within"], bool)
