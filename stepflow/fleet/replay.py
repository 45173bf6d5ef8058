"""A prediction held against a run on sockets: the model's runs first, then the measured one beside them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import numpy as np
from scipy import stats

from stepflow.fleet.compare import CompareError, Interval
from stepflow.fleet.measurements import Measurements, Score, score
from stepflow.fleet.policy_specs import policy_factory
from stepflow.fleet.scenario import Scenario
from stepflow.fleet.simulation import Simulation

Play = Callable[[Scenario, int], tuple[Measurements, float]]
LINE_S = 0.5  # seconds between two lines of a stand-in client
LATE = 0.05  # seconds that the rig's own loop may be late before a run says nothing


def prediction(values: Sequence[float], level: float, lines: float = math.inf) -> Interval:
    """Where one further run lies: Student's interval for a new observation, not for the mean.

    The run is measured by so many lines that are in time or not, which adds their binomial variance. What the
    model leaves out is in no bar: docs/fleet.md tells how far it was found to be off.
    """
    sample = np.asarray(values, dtype=float)
    if len(sample) < 3:
        raise CompareError("a prediction needs three runs")
    mean = float(sample.mean())
    share = min(1.0, max(0.0, mean))
    spread = math.sqrt(float(np.var(sample, ddof=1)) * (1 + 1 / len(sample)) + share * (1 - share) / lines)
    half = float(stats.t.ppf(0.5 + level / 2, len(sample) - 1)) * spread
    return Interval(mean, mean - half, mean + half)


@dataclass(frozen=True)
class Check:
    """One run on sockets beside what was predicted for it."""

    seed: int
    predicted: Interval
    measured: float
    late_s: float

    @property
    def within(self) -> bool:
        return self.predicted.low <= self.measured <= self.predicted.high


def _modelled(scenario: Scenario, seed: int, policy_stream: str) -> Score:
    return score(scenario, Simulation(scenario, seed, policy_factory("present"), policy_stream).run())


def predict(scenario: Scenario, seed: int, runs: int, figure: str, level: float) -> Interval:
    """Predict a figure of one run on sockets, by simulations on its seed with other policy streams."""
    policy_streams = [f"prediction {number}" for number in range(runs)]
    with ProcessPoolExecutor() as pool:
        found = list(pool.map(_modelled, [scenario] * runs, [seed] * runs, policy_streams))
    day = scenario.day
    lines = max(1.0, day.rate * day.life * day.seconds / LINE_S)
    return prediction([float(getattr(one, figure)) for one in found], level, lines)


def check(
    scenario: Scenario,
    play: Play,
    seeds: Sequence[int],
    runs: int,
    figure: str = "service",
    level: float = 0.95,
    on_checked: Callable[[Check], None] = lambda one: None,
) -> list[Check]:
    """Predict each day first, then play it on sockets, one after the other."""
    found = []
    for seed in seeds:
        expected = predict(scenario, seed, runs, figure, level)
        measurements, late = play(scenario, seed)
        measured = float(getattr(score(scenario, measurements), figure))
        found.append(Check(seed, expected, measured, late))
        on_checked(found[-1])
    return found
