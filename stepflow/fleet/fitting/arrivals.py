"""Fits arrivals: a Poisson process, by the first requests of clients."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np

from stepflow.fleet.fitting.estimators import LEAST_EVENTS, POOR, poisson_rate
from stepflow.fleet.fitting.result import Fit
from stepflow.fleet.fitting.sessions import SECOND, Session

WINDOW_S = 5.0  # over which the highest rate is taken


def fit_arrivals(found: Fit, sessions: Sequence[Session], seconds: float, began_us: int) -> None:
    """Add the rate of first requests, and the highest one."""
    first = np.array([(session.at_us - began_us) / SECOND for session in sessions if session.is_first])
    gaps = np.diff(np.sort(first))
    flaw = ""
    if len(gaps) > 2 * LEAST_EVENTS:
        # Gaps of a Poisson process are exponential; the scale is estimated, so the test is Lilliefors'.
        relative = float(np.std(gaps) / gaps.mean())
        if abs(relative - 1) > POOR / math.sqrt(len(gaps)):
            flaw = f"not Poisson: gaps deviate by {relative:.2f} of their mean"
    found.estimates.append(poisson_rate("rate", len(first), seconds, flaw))
    counts = np.histogram(first, bins=max(1, int(seconds / WINDOW_S)))[0]
    found.peak_rate = float(counts.max()) / (seconds / len(counts)) if len(first) else 0.0
