"""Fits the arrivals of clients, by their first requests, as a Poisson process."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np

from stepflow.fleet.fitting.estimators import MAX_STANDARD_ERRORS, MIN_EVENTS, poisson_rate
from stepflow.fleet.fitting.result import Fit
from stepflow.fleet.fitting.sessions import SECOND, Session

WINDOW_S = 5.0  # length of the windows of which the highest rate is taken


def fit_arrivals(result: Fit, sessions: Sequence[Session], seconds: float, began_us: int) -> None:
    """Add the rate of first requests, and the highest rate over WINDOW_S."""
    first_s = np.array([(session.at_us - began_us) / SECOND for session in sessions if session.is_first])
    gaps = np.diff(np.sort(first_s))
    flaw = ""
    if len(gaps) > 2 * MIN_EVENTS:
        # The gaps of a Poisson process are exponential. Whatever their scale, the ratio of their standard
        # deviation to their mean is 1; estimated from n gaps, it has a standard error of about 1 / sqrt(n).
        relative_deviation = float(np.std(gaps) / gaps.mean())
        if abs(relative_deviation - 1) > MAX_STANDARD_ERRORS / math.sqrt(len(gaps)):
            flaw = f"not Poisson: the gaps' standard deviation is {relative_deviation:.2f} of their mean"
    result.estimates.append(poisson_rate("rate", len(first_s), seconds, flaw))
    counts = np.histogram(first_s, bins=max(1, int(seconds / WINDOW_S)))[0]
    result.peak_rate = float(counts.max()) / (seconds / len(counts)) if len(first_s) else 0.0
