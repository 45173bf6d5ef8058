"""Checks the simulation's model: predicts a figure of a run by simulations, then measures it on sockets."""

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
MIN_RUNS = 3  # fewest simulations for a prediction
LINE_S = 0.5  # seconds between two lines of a stand-in client
LATE = 0.05  # seconds; a run says nothing about the nodes if this program's own event loop was later


def prediction(values: Sequence[float], level: float, lines: float = math.inf) -> Interval:
    """The interval in which one further run is expected: Student's interval for an observation, not the mean.

    The figure of that run is a share of `lines` lines, which adds a binomial variance. The
    interval doesn't include the error of the model itself: docs/fleet.md gives its measured size.
    Raises CompareError if there are too few values.
    """
    sample = np.asarray(values, dtype=float)
    if len(sample) < MIN_RUNS:
        raise CompareError("a prediction needs at least three runs")
    mean = float(sample.mean())
    share = min(1.0, max(0.0, mean))
    sigma = math.sqrt(float(np.var(sample, ddof=1)) * (1 + 1 / len(sample)) + share * (1 - share) / lines)
    half_width = float(stats.t.ppf(0.5 + level / 2, len(sample) - 1)) * sigma
    return Interval(mean, mean - half_width, mean + half_width)


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


def _simulate(scenario: Scenario, seed: int, policy_stream: str) -> Score:
    return score(scenario, Simulation(scenario, seed, policy_factory("present"), policy_stream).run())


@dataclass(frozen=True)
class Prediction:
    """A prediction to make: a figure of the score, from `runs` simulations, at a confidence level."""

    runs: int
    figure: str = "service"
    level: float = 0.95


def predict(scenario: Scenario, seed: int, wanted: Prediction) -> Interval:
    """Predict a figure of one run on sockets, by simulations with its seed and several policy streams."""
    policy_streams = [f"prediction {number}" for number in range(wanted.runs)]
    with ProcessPoolExecutor() as pool:
        found = list(pool.map(_simulate, [scenario] * wanted.runs, [seed] * wanted.runs, policy_streams))
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
    """Predict the figure for each seed, then measure it with `play`, one seed after the other."""
    found = []
    for seed in seeds:
        expected = predict(scenario, seed, wanted)
        measurements, late = play(scenario, seed)
        measured = float(getattr(score(scenario, measurements), wanted.figure))
        found.append(Check(seed, expected, measured, late))
        on_checked(found[-1])
    return found
