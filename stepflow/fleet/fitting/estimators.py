"""Estimators of single figures, each with its interval of 95%.

Rates are those of a Poisson process, with Garwood's exact interval (1936). Lives are exponential, estimated
by events over exposure: one that was cut off (right-censored) or watched from later on (left-truncated) lends
its exposure and no event (Lawless, Statistical Models and Methods for Lifetime Data, 2003, section 4.1).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray
from scipy import stats

LOW, HIGH = 0.025, 0.975  # the quantiles between which an interval lies
LEAST_EVENTS = 8  # that an estimate or a test of one needs
LEAST_SAMPLE = 2  # values that show any deviation
POOR = 2.58  # standard errors: one in a hundred sound fits is called poor

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Estimate:
    """One figure, with its interval of 95%, what it rests on, and what speaks against it."""

    name: str
    value: float
    low: float
    high: float
    events: int
    flaw: str = ""

    @property
    def known(self) -> bool:
        """Whether its interval is bounded."""
        return math.isfinite(self.low) and math.isfinite(self.high)


def poisson_rate(name: str, events: int, exposure: float, flaw: str = "") -> Estimate:
    """The rate of a Poisson process by its count, with the exact interval."""
    low = float(stats.chi2.ppf(LOW, 2 * events)) / 2 if events else 0.0
    high = float(stats.chi2.ppf(HIGH, 2 * events + 2)) / 2
    return Estimate(name, events / exposure, low / exposure, high / exposure, events, flaw)


def mean_estimate(name: str, sample: Floats, flaw: str = "") -> Estimate:
    """The mean of a sample with Student's interval; unbounded for fewer than two values."""
    if len(sample) < LEAST_SAMPLE:
        return Estimate(
            name, float(sample.mean()) if len(sample) else math.nan, -math.inf, math.inf, len(sample)
        )
    half = float(stats.t.ppf(HIGH, len(sample) - 1)) * float(np.std(sample, ddof=1)) / math.sqrt(len(sample))
    mean = float(sample.mean())
    return Estimate(name, mean, mean - half, mean + half, len(sample), flaw)


def exponential_mean(
    name: str, spans: Floats, ended: NDArray[np.bool_], fresh: NDArray[np.bool_]
) -> Estimate:
    """The mean of exponential lives: exposure over events.

    Args:
        name: of the estimate.
        spans: how long each life was watched, in seconds.
        ended: which lives ended while they were watched.
        fresh: which lives were watched from their beginning; only those have an age to test the law by.
    """
    events, exposure = int(ended.sum()), float(spans.sum())
    if not events:
        return Estimate(name, math.nan, exposure / 3, math.inf, 0, "no end was seen")
    low = 2 * exposure / float(stats.chi2.ppf(HIGH, 2 * events + 2))
    high = 2 * exposure / float(stats.chi2.ppf(LOW, 2 * events))
    return Estimate(name, exposure / events, low, high, events, _hazard_flaw(spans[fresh], ended[fresh]))


def _hazard_flaw(spans: Floats, ended: NDArray[np.bool_]) -> str:
    """What speaks against a constant hazard, if anything: that of young lives against that of old."""
    if int(ended.sum()) < 2 * LEAST_EVENTS:
        return ""
    middle = float(np.median(spans[ended]))
    young = int((ended & (spans <= middle)).sum()), float(np.minimum(spans, middle).sum())
    old = int((ended & (spans > middle)).sum()), float(np.maximum(spans - middle, 0).sum())
    if not old[0] or not old[1]:
        return ""
    ratio = young[0] / young[1] * old[1] / old[0]
    error = math.sqrt(1 / young[0] + 1 / old[0])
    if abs(math.log(ratio)) <= POOR * error:
        return ""
    return f"not exponential: the young end {ratio:.2f} times as often as the old"


def deviation(name: str, sigma: float, count: int) -> Estimate:
    """A standard deviation of so many values, with the interval by chi-square."""
    if count < LEAST_SAMPLE or not math.isfinite(sigma):
        return Estimate(name, sigma, 0.0, math.inf, count)
    low = sigma * math.sqrt((count - 1) / float(stats.chi2.ppf(HIGH, count - 1)))
    high = sigma * math.sqrt((count - 1) / float(stats.chi2.ppf(LOW, count - 1)))
    return Estimate(name, sigma, low, high, count)
