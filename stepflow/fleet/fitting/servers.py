"""Fits the servers: their capacities, speeds by kind, the fleet's utilization and the noise of load reports.

A server's capacity is the load of its sessions and groups divided by the `x0` that it reports: the median
over its health checks. A kind's range of speeds is the range over its servers.
"""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

from stepflow.fleet.fitting.demand import Demand, demand_by_server
from stepflow.fleet.fitting.estimators import MIN_EVENTS, Estimate, deviation, mean_estimate
from stepflow.fleet.fitting.result import Fit, KindFit
from stepflow.fleet.fitting.sessions import SECOND, Session
from stepflow.fleet.scenario import NORMAL_95
from stepflow.fleet.trace import Trace
from stepflow.interface import Availability

LOAD_FIELD = "x0"  # the field of a load report that gives load divided by capacity
MIN_X0 = 0.05  # reports of a lower load show little of the capacity
WINDOW_S = 5.0  # length of the windows of the fleet's utilization
REPORT_AGE_S = 1.1  # the greatest age of a report; demand is averaged over this time before a report
MAD_TO_SIGMA = 1.4826  # standard deviation over median absolute deviation, normal distribution
MIN_WINDOWS = 4  # fewest windows for a check whether the utilization is steady
MAX_STEADY_DEVIATION = 0.15  # the utilization is steady below this relative deviation
DEFAULT_CORES = 3.0  # cores of a kind whose name doesn't give their number


class _Report(NamedTuple):
    """A load report of a server."""

    at_us: int
    x0: float


@dataclass
class _Capacities:
    """Capacities of servers in mean session loads, and the residuals of single reports, as logarithms."""

    by_server: dict[str, float] = field(default_factory=dict)
    residuals: list[float] = field(default_factory=list)


def fit_servers(result: Fit, trace: Trace, sessions: Sequence[Session], group_load: float) -> None:
    """Add all that the endpoint lists and load reports of a trace show."""
    kinds, availability = _listed(trace)
    result.servers = sum(1 for name in kinds if availability[name] != Availability.GONE) or len(kinds)
    if LOAD_FIELD not in trace.manifest.fields:
        result.absent.append("speeds: no x0 in the reports")
        return
    reports = _reports_of(trace)
    firsts = [session.loads[0].load for session in sessions if session.loads]
    mean_load = float(np.mean(firsts)) if firsts else 1.0
    capacities = _capacities(reports, demand_by_server(sessions, mean_load, group_load))
    if not capacities.by_server:
        result.absent.append("speeds: too few reports of servers with known loads")
        return
    _fit_utilization(result, reports, capacities.by_server, trace.manifest.from_us)
    if len(capacities.residuals) >= MIN_EVENTS:
        # The median is used because loads change while a report is on its way, which causes outliers.
        result.noise = float(MAD_TO_SIGMA * np.median(np.abs(capacities.residuals)))
        result.estimates.append(deviation("report noise", result.noise, len(capacities.residuals)))
    _fit_kinds(result, trace.manifest.kinds, kinds, capacities.by_server)


def _listed(trace: Trace) -> tuple[dict[str, int], dict[str, int]]:
    """Each server's kind, and its last availability."""
    kinds, availability = {}, {}
    for row in sorted(trace.table("lists").to_pylist(), key=lambda row: row["at_us"]):
        kinds[row["server"]], availability[row["server"]] = row["kind"], row["state"]
    return kinds, availability


def _reports_of(trace: Trace) -> dict[str, list[_Report]]:
    """The load reports of each server."""
    position = trace.manifest.fields.index(LOAD_FIELD)
    reports: dict[str, list[_Report]] = defaultdict(list)
    for row in trace.table("probes").to_pylist():
        if row["result"] == "OK" and len(row["report"]) > position:
            reports[row["server"]].append(_Report(row["at_us"], row["report"][position]))
    return reports


def _capacities(reports: Mapping[str, Sequence[_Report]], demands: Mapping[str, Demand]) -> _Capacities:
    """The capacities of the servers with at least MIN_EVENTS reports under load."""
    capacities = _Capacities()
    for server, of_server in reports.items():
        demand = demands.get(server)
        if demand is None:
            continue
        age_us = REPORT_AGE_S * SECOND
        ratios = []
        for report in of_server:
            load = demand.mean(report.at_us - int(age_us), report.at_us, age_us)
            if report.x0 >= MIN_X0 and load > 0:
                ratios.append(load / report.x0)
        if len(ratios) >= MIN_EVENTS:
            capacity = capacities.by_server[server] = float(np.median(ratios))
            capacities.residuals += [math.log(ratio / capacity) for ratio in ratios]
    return capacities


def _fit_utilization(
    result: Fit, reports: Mapping[str, Sequence[_Report]], capacities: Mapping[str, float], began_us: int
) -> None:
    """Add the fleet's utilization at the start (the first quarter of the windows), and its highest value."""
    windows: dict[int, dict[str, float]] = defaultdict(dict)  # the last report of each server in each window
    for server in capacities:
        for at, x0 in reports[server]:
            windows[int((at - began_us) / SECOND / WINDOW_S)][server] = x0
    total = sum(capacities.values())
    by_window: dict[int, float] = {}
    for number, x0_by_server in windows.items():
        capacity = sum(capacities[server] for server in x0_by_server)
        if capacity > total / 2:
            by_window[number] = sum(capacities[server] * x0 for server, x0 in x0_by_server.items()) / capacity
    utilizations = np.array([by_window[number] for number in sorted(by_window)])
    if not len(utilizations):
        return
    steady = (
        len(utilizations) < MIN_WINDOWS or utilizations.std() < MAX_STEADY_DEVIATION * utilizations.mean()
    )
    flaw = "" if steady else "not steady: a scenario has a single utilization"
    first = float(utilizations[: max(1, len(utilizations) // 4)].mean())
    # A day draws its utilization at the start from this interval, so the interval shows how much the
    # utilization varies, not how precisely its mean is known.
    half_width = NORMAL_95 * float(utilizations.std(ddof=1)) if len(utilizations) > 1 else math.inf
    result.estimates.append(
        Estimate(
            "utilization", first, max(0.0, first - half_width), first + half_width, len(utilizations), flaw
        )
    )
    result.peak_load = float(utilizations.max())


def _fit_kinds(
    result: Fit, names: Sequence[str], kinds: Mapping[str, int], capacities: Mapping[str, float]
) -> None:
    """Add each kind's share and speeds; a speed is the capacity per core relative to the fleet's mean."""
    per_core: dict[int, list[float]] = defaultdict(list)
    counts = Counter(kinds.values())
    for server, capacity in capacities.items():
        kind = kinds.get(server, 0)
        per_core[kind].append(capacity / _cores(names, kind))
    mean_per_core = float(np.mean([value for values in per_core.values() for value in values]))
    for kind in sorted(counts):
        name = names[kind] if kind < len(names) else f"kind-{kind}"
        speeds = np.array(per_core.get(kind, [])) / mean_per_core
        if len(speeds):
            result.estimates.append(mean_estimate(f"speed of {name}", speeds))
        else:
            result.absent.append(f"speed of {name}")
            speeds = np.array([1.0])
        share = counts[kind] / sum(counts.values())
        result.kinds[name] = KindFit(share, _cores(names, kind), float(speeds.min()), float(speeds.max()))


def _cores(names: Sequence[str], kind: int) -> float:
    """The number of cores of a kind; at this site, the names of kinds end in it, as in wide-4c."""
    name = names[kind] if kind < len(names) else ""
    match = re.search(r"-(\d+)c$", name)
    return float(match[1]) if match else DEFAULT_CORES
