"""Estimators of single figures, each with its 95% confidence interval.

Rates are those of a Poisson process, with Garwood's exact interval (1936). Lives are exponential; their
mean is the exposure divided by the number of events. The exposure of a life is the time for which it was
watched, even if watching began after the life did (left-truncated). A life that was cut off (right-censored)
adds its exposure and no event. (Lawless, Statistical Models and Methods for Lifetime Data, 2003, section
4.1.)
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray
from scipy import stats

LOW, HIGH = 0.025, 0.975  # the quantiles that bound an interval
MIN_EVENTS = 8  # fewest values for an estimate of loads or capacities; a test of fit needs twice as many
MIN_SAMPLE = 2  # fewest values for a standard deviation
MAX_STANDARD_ERRORS = 2.58  # a fit that is off by more is called poor, as is one good fit in a hundred

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Estimate:
    """One figure with its 95% interval, the number of events behind it, and the reason if its fit is poor."""

    name: str
    value: float
    low: float
    high: float
    events: int
    flaw: str = ""

    @property
    def known(self) -> bool:
        """Whether the interval is bounded."""
        return math.isfinite(self.low) and math.isfinite(self.high)


def poisson_rate(name: str, events: int, exposure: float, flaw: str = "") -> Estimate:
    """The rate of a Poisson process from a count of events over an exposure, with the exact interval."""
    low = float(stats.chi2.ppf(LOW, 2 * events)) / 2 if events else 0.0
    high = float(stats.chi2.ppf(HIGH, 2 * events + 2)) / 2
    return Estimate(name, events / exposure, low / exposure, high / exposure, events, flaw)


def mean_estimate(name: str, sample: Floats, flaw: str = "") -> Estimate:
    """The mean of a sample with Student's interval; unbounded for fewer than two values."""
    if len(sample) < MIN_SAMPLE:
        return Estimate(
            name, float(sample.mean()) if len(sample) else math.nan, -math.inf, math.inf, len(sample)
        )
    half_width = (
        float(stats.t.ppf(HIGH, len(sample) - 1)) * float(np.std(sample, ddof=1)) / math.sqrt(len(sample))
    )
    mean = float(sample.mean())
    return Estimate(name, mean, mean - half_width, mean + half_width, len(sample), flaw)


def exponential_mean(
    name: str, spans: Floats, ended: NDArray[np.bool_], from_start: NDArray[np.bool_]
) -> Estimate:
    """The mean of exponential lives: exposure over events.

    Args:
        name: the name of the estimate.
        spans: the time for which each life was watched, in seconds.
        ended: which lives ended while they were watched.
        from_start: which lives were watched from their beginning; the fit is tested with these lives, since
            the ages of the others are unknown.
    """
    events, exposure = int(ended.sum()), float(spans.sum())
    if not events:
        return Estimate(name, math.nan, exposure / 3, math.inf, 0, "no end was observed")
    low = 2 * exposure / float(stats.chi2.ppf(HIGH, 2 * events + 2))
    high = 2 * exposure / float(stats.chi2.ppf(LOW, 2 * events))
    return Estimate(
        name, exposure / events, low, high, events, _hazard_flaw(spans[from_start], ended[from_start])
    )


def _hazard_flaw(spans: Floats, ended: NDArray[np.bool_]) -> str:
    """Return a text if the hazard is not constant, else "".

    Compares the hazards below and above the median age of the ended lives.
    """
    if int(ended.sum()) < 2 * MIN_EVENTS:
        return ""
    middle = float(np.median(spans[ended]))
    young = int((ended & (spans <= middle)).sum()), float(np.minimum(spans, middle).sum())
    old = int((ended & (spans > middle)).sum()), float(np.maximum(spans - middle, 0).sum())
    if not old[0] or not old[1]:
        return ""
    ratio = young[0] / young[1] * old[1] / old[0]
    error = math.sqrt(1 / young[0] + 1 / old[0])
    if abs(math.log(ratio)) <= MAX_STANDARD_ERRORS * error:
        return ""
    return f"not exponential: young lives end {ratio:.2f} times as often as old ones"


def deviation(name: str, sigma: float, count: int) -> Estimate:
    """The standard deviation of `count` values, with its chi-square interval."""
    if count < MIN_SAMPLE or not math.isfinite(sigma):
        return Estimate(name, sigma, 0.0, math.inf, count)
    low = sigma * math.sqrt((count - 1) / float(stats.chi2.ppf(HIGH, count - 1)))
    high = sigma * math.sqrt((count - 1) / float(stats.chi2.ppf(LOW, count - 1)))
    return Estimate(name, sigma, low, high, count)
