"""The measurements of a run, and the score computed from them.

The names of Score's fields and of the time series are keys of results and reports.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np

from stepflow.fleet.scenario import Scenario


@dataclass
class Measurements:
    """The measurements of a run after its warm-up; server crashes are counted during the warm-up, too.

    `wanted` and `served` are arrays indexed by second and class.
    """

    wanted: Any  # seconds for which clients need sessions, times their priority weights
    served: Any  # the part of `wanted` that is served within the latency objective
    requests: int = 0
    attempts: int = 0
    rejected: int = 0
    failed: int = 0
    late_fails: int = 0
    migrations: int = 0
    health_checks: int = 0
    list_entries: int = 0  # entries of all list updates sent to nodes
    crashed_servers: int = 0
    broken_sessions: int = 0
    requested_work: float = 0.0
    wasted_work: float = 0.0
    # The standard deviation of the servers' utilizations, by second.
    imbalance: list[float] = field(default_factory=list)
    kind_load: dict[str, list[float]] = field(default_factory=dict)  # by kind, each second: load / capacity
    server_load: dict[str, list[float]] = field(default_factory=dict)  # by kind: each server's mean load
    peak_load: float = 0.0  # the highest utilization of the fleet
    attempts_at_degraded: int = 0  # counted while some of the ready servers, but not all, are degraded
    attempts_at_degraded_by_chance: float = 0.0  # expected number if servers were chosen at random

    @classmethod
    def of(cls, scenario: Scenario) -> Measurements:
        """Return empty measurements for a run of a scenario."""
        shape = (int(scenario.day.warm + scenario.day.seconds) + 1, len(scenario.classes))
        return cls(np.zeros(shape), np.zeros(shape))


@dataclass(frozen=True)
class Score:
    """The figures of one run: shares of service, deductions from it, and other measurements."""

    service: float
    whole: float
    worst_window: float
    worst_class: float
    waste: float
    late_fail: float
    moves: float
    lines: float
    probes: float
    fallen: int
    imbalance: float
    peak_load: float
    refused: float  # rejected requests per client
    sick: float  # attempts at degraded servers, relative to the number under random choice

    @property
    def net(self) -> float:
        """The service minus the deductions."""
        return self.service - self.waste - self.late_fail - self.moves - self.lines - self.probes


def score(scenario: Scenario, measurements: Measurements) -> Score:
    """Score a run. Its service is a weighted mean: 60% whole run, 5% worst 10 s, 35% worst class."""
    first = int(scenario.day.warm)
    wanted, served = measurements.wanted[first:], measurements.served[first:]
    whole = _share(served.sum(), wanted.sum())
    window = min(
        (_share(served[i : i + 10].sum(), wanted[i : i + 10].sum()) for i in range(max(1, len(wanted) - 10))),
        default=1.0,
    )
    present = [cls for cls in range(wanted.shape[1]) if wanted[:, cls].sum() > 0]
    worst = min((_share(served[:, cls].sum(), wanted[:, cls].sum()) for cls in present), default=1.0)
    requests = max(1, measurements.requests)
    return Score(
        service=0.6 * whole + 0.05 * window + 0.35 * worst,
        whole=whole,
        worst_window=window,
        worst_class=worst,
        waste=0.05 * min(1.0, measurements.wasted_work / measurements.requested_work)
        if measurements.requested_work
        else 0.0,
        late_fail=0.042 * min(1.0, measurements.late_fails / requests),
        moves=0.02 * measurements.migrations / requests,
        lines=0.005 * measurements.list_entries / 100 / requests,
        probes=0.004 * measurements.health_checks / requests,
        fallen=measurements.crashed_servers,
        imbalance=float(np.mean(measurements.imbalance)) if measurements.imbalance else 0.0,
        peak_load=measurements.peak_load,
        refused=measurements.rejected / requests,
        sick=measurements.attempts_at_degraded / measurements.attempts_at_degraded_by_chance
        if measurements.attempts_at_degraded_by_chance
        else 0.0,
    )


def series(scenario: Scenario, measurements: Measurements) -> dict[str, list[float]]:
    """Return a run's series: values by second after the warm-up, and each server's mean load by kind."""
    first = int(scenario.day.warm)
    wanted, served = (np.sum(part[first:], axis=1) for part in (measurements.wanted, measurements.served))
    shares = [_share(in_time, whole) for in_time, whole in zip(served, wanted, strict=True) if whole > 0]
    return {
        "service": shares,
        "imbalance": measurements.imbalance,
        **{f"load of {kind}": loads for kind, loads in measurements.kind_load.items()},
        **{f"servers of {kind}": loads for kind, loads in measurements.server_load.items()},
    }


def _share(part: float, whole: float) -> float:
    return float(part / whole) if whole > 0 else 1.0
