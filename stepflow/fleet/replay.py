"""Checks the model: predicts a figure of a run by simulations, then measures it on sockets."""

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
LEAST_RUNS = 3  # that a prediction rests on
LINE_S = 0.5  # seconds between two lines of a stand-in client
LATE = 0.05  # seconds that the rig's own loop may be late before a run says nothing


def prediction(values: Sequence[float], level: float, lines: float = math.inf) -> Interval:
    """Where one further run lies: Student's interval for a new observation, not for the mean.

    The run is measured by so many lines that are in time or not, which adds their binomial variance. What the
    model leaves out is in no bar: docs/fleet.md tells how far it was found to be off.
    """
    sample = np.asarray(values, dtype=float)
    if len(sample) < LEAST_RUNS:
        raise CompareError("a prediction needs three runs")
    mean = float(sample.mean())
    share = min(1.0, max(0.0, mean))
    spread = math.sqrt(float(np.var(sample, ddof=1)) * (1 + 1 / len(sample)) + share * (1 - share) / lines)
    half = float(stats.t.ppf(0.5 + level / 2, len(sample) - 1)) * spread
    return Interval(mean, mean - half, mean + half)


@dataclass(frozen=True)
class Check:
    """A figure of one run on sockets beside its prediction."""

    seed: int
    predicted: Interval
    measured: float
    late_s: float

    @property
    def within(self) -> bool:
        """Whether the measured figure is within the predicted interval."""
        return self.predicted.low <= self.measured <= self.predicted.high


def _modelled(scenario: Scenario, seed: int, policy_stream: str) -> Score:
    return score(scenario, Simulation(scenario, seed, policy_factory("present"), policy_stream).run())


@dataclass(frozen=True)
class Prediction:
    """What to predict: a figure of the score, from so many simulations, at a level of confidence."""

    runs: int
    figure: str = "service"
    level: float = 0.95


def predict(scenario: Scenario, seed: int, wanted: Prediction) -> Interval:
    """Predict a figure of one run on sockets, by simulations on its seed with other policy streams."""
    policy_streams = [f"prediction {number}" for number in range(wanted.runs)]
    with ProcessPoolExecutor() as pool:
        found = list(pool.map(_modelled, [scenario] * wanted.runs, [seed] * wanted.runs, policy_streams))
    day = scenario.day
    lines = max(1.0, day.rate * day.life * day.seconds / LINE_S)
    return prediction([float(getattr(one, wanted.figure)) for one in found], wanted.level, lines)


def check(
    scenario: Scenario,
    play: Play,
    seeds: Sequence[int],
    wanted: Prediction,
    on_checked: Callable[[Check], None] = lambda one: None,
) -> list[Check]:
    """Predict the figure on each seed, then measure it by `play`, one seed after the other."""
    found = []
    for seed in seeds:
        expected = predict(scenario, seed, wanted)
        measurements, late = play(scenario, seed)
        measured = float(getattr(score(scenario, measurements), wanted.figure))
        found.append(Check(seed, expected, measured, late))
        on_checked(found[-1])
    return found
