"""The result of fitting a trace."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from stepflow.errors import InputError
from stepflow.fleet.fitting.estimators import Estimate
from stepflow.fleet.scenario import Class, Day


class FitError(InputError):
    """A trace can't be fitted."""


class KindFit(NamedTuple):
    """A kind of servers: its share of the fleet, its cores, and its core speeds relative to the mean."""

    share: float
    cores: float
    low_speed: float
    high_speed: float


@dataclass
class Fit:
    """All that a trace shows of a fleet.

    `absent` lists what the trace doesn't show, which keeps the scenario's defaults. `peak_rate` (first
    requests a second) and `peak_load` (load over capacity) are the highest values in the trace.
    """

    estimates: list[Estimate] = field(default_factory=list)
    classes: dict[str, Class] = field(default_factory=dict)
    kinds: dict[str, KindFit] = field(default_factory=dict)
    servers: int = 0
    nodes: int = 0
    groups: int = 0
    noise: float = Day.report_noise
    peak_rate: float = 0.0
    peak_load: float = 0.0
    absent: list[str] = field(default_factory=list)

    def of(self, name: str) -> Estimate:
        """The estimate of this name; raises StopIteration if there is none."""
        return next(estimate for estimate in self.estimates if estimate.name == name)
