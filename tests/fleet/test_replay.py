"""Predictions of runs on sockets: the intervals' coverage, and scenarios played with real nodes."""

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


def test_a_prediction_interval_covers_a_further_run_as_often_as_its_level_says() -> None:
    rng, hits = np.random.default_rng(3), 0
    for _ in range(500):
        interval = prediction(list(rng.normal(2.0, 1.0, 8)), 0.9)
        hits += interval.low <= rng.normal(2.0, 1.0) <= interval.high
    assert 0.86 <= hits / 500 <= 0.94
    with pytest.raises(CompareError):
        prediction([1.0, 2.0], 0.9)


def test_a_run_outside_its_predicted_interval_is_not_within() -> None:
    def serve_nothing(scenario: Scenario, seed: int) -> tuple[Measurements, float]:
        measurements = Simulation(scenario, seed).measurements
        measurements.wanted += 1.0
        return measurements, 0.0

    checked: list[Check] = []
    (found,) = check(TINY, serve_nothing, [1], Prediction(3), on_checked=checked.append)
    assert checked == [found] and not found.within and found.measured == 0 < found.predicted.low


@pytest.mark.parametrize("kind", ["hang", "drain", "start", "crash", "restart", "list-down"])
def test_a_scenario_with_a_fault_plays_on_sockets(kind: str) -> None:
    measurements, _ = play(replace(TINY, faults=(Fault(kind, 1.5, 1.0, 0.4),)), 2)
    assert measurements.wanted.sum() > 5 and measurements.health_checks > 0 and 0 < measurements.requests < 60
    assert 0 < measurements.served.sum() <= measurements.wanted.sum() + 1e-9


def test_a_fault_that_cannot_be_played_on_sockets_raises_compare_error() -> None:
    with pytest.raises(CompareError, match="roll: this fault is not played"):
        play(replace(TINY, faults=(Fault("roll", 1.0),)), 1)


def test_the_replay_command_prints_each_run_with_its_predicted_interval(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text("day {\n seconds 2\n warm 1\n servers 2\n nodes 1\n rate 4\n life 5\n}\n")
    done = command("fleet", "replay", str(path), "--runs", "1", "--predict", "4", "--json")
    printed = json.loads(done.stdout)
    assert done.returncode == 0 and printed["low"] <= printed["predicted"] <= printed["high"]
    assert 0 <= printed["measured"] <= 1 and isinstance(printed["within"], bool)
