"""From a trace to a scenario: what the traffic and the servers were, and how surely that is known.

Estimators, by what they estimate:

- **arrivals**: a Poisson process; its rate by the count of first tries, with Garwood's exact interval (1936).
- **lives**: exponential, by events over exposure. A connection that was moved, was cut off, still stood at
  the end (right-censored) or stood at the start (left-truncated) lends its exposure and no event, which is
  what the likelihood of an exponential life says of it (Lawless, Statistical Models and Methods for Lifetime
  Data, 2003, section 4.1). Whether lives are exponential is tested by the hazard of the young against that
  of the old.
- **loads**: lognormal; within a connection by the differences of successive loads, between connections by
  what is left of the variance of their first ones. How long a load holds is a life as above.
- **speeds**: a server's capacity is the load that its connections and groups asked for, over the `x0` that
  it told at that moment: the median over its probes, the range of a kind over its servers.
"""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from numpy.typing import NDArray
from scipy import stats

from stepflow.errors import InputError
from stepflow.fleet.scenario import NORMAL_95, Class, Day
from stepflow.fleet.trace import Trace

SECOND = 1e6
LEAST = 8  # events that an estimate needs
POOR = 2.58  # standard errors: one in a hundred sound fits is called poor
LEAST_X0 = 0.05  # a server that is asked for less tells little of its capacity
WINDOW_S = 5.0  # over which the most that was seen is taken
REPORT_LATE_S = 1.1  # a report is up to so old: what a server was asked is averaged back over it

Floats = NDArray[np.float64]


class FitError(InputError):
    """Why a trace can't be fitted."""


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
        return math.isfinite(self.low) and math.isfinite(self.high)


@dataclass
class Fit:
    """All that a trace says of a fleet."""

    estimates: list[Estimate] = field(default_factory=list)
    classes: dict[str, Class] = field(default_factory=dict)
    kinds: dict[str, tuple[float, float, float, float]] = field(default_factory=dict)  # share, cores, speeds
    servers: int = 0
    nodes: int = 0
    groups: int = 0
    noise: float = Day.report_noise
    peak_rate: float = 0.0
    peak_load: float = 0.0
    absent: list[str] = field(default_factory=list)  # what the trace says nothing of

    def of(self, name: str) -> Estimate:
        """The estimate of a figure."""
        return next(one for one in self.estimates if one.name == name)


def poisson(name: str, events: int, exposure: float, flaw: str = "") -> Estimate:
    """A rate by its count, with the exact interval."""
    low = float(stats.chi2.ppf(0.025, 2 * events)) / 2 if events else 0.0
    high = float(stats.chi2.ppf(0.975, 2 * events + 2)) / 2
    return Estimate(name, events / exposure, low / exposure, high / exposure, events, flaw)


def mean_of(name: str, sample: Floats, flaw: str = "") -> Estimate:
    """A mean with Student's interval."""
    if len(sample) < 2:
        return Estimate(
            name, float(sample.mean()) if len(sample) else math.nan, -math.inf, math.inf, len(sample)
        )
    half = float(stats.t.ppf(0.975, len(sample) - 1)) * float(np.std(sample, ddof=1)) / math.sqrt(len(sample))
    mean = float(sample.mean())
    return Estimate(name, mean, mean - half, mean + half, len(sample), flaw)


def life(name: str, spans: Floats, ended: NDArray[np.bool_], fresh: NDArray[np.bool_]) -> Estimate:
    """An exponential life's mean: exposure over events. Only fresh connections have an age to test it by."""
    events, exposure = int(ended.sum()), float(spans.sum())
    if not events:
        return Estimate(name, math.nan, exposure / 3, math.inf, 0, "no end was seen")
    low = 2 * exposure / float(stats.chi2.ppf(0.975, 2 * events + 2))
    high = 2 * exposure / float(stats.chi2.ppf(0.025, 2 * events))
    return Estimate(name, exposure / events, low, high, events, _hazards(spans[fresh], ended[fresh]))


def _hazards(spans: Floats, ended: NDArray[np.bool_]) -> str:
    """What speaks against one constant hazard: that of the young, against that of the old."""
    if int(ended.sum()) < 2 * LEAST:
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


def spread(name: str, sigma: float, count: int) -> Estimate:
    """A standard deviation, with chi-square's interval."""
    if count < 2 or not math.isfinite(sigma):
        return Estimate(name, sigma, 0.0, math.inf, count)
    low = sigma * math.sqrt((count - 1) / float(stats.chi2.ppf(0.975, count - 1)))
    high = sigma * math.sqrt((count - 1) / float(stats.chi2.ppf(0.025, count - 1)))
    return Estimate(name, sigma, low, high, count)


def fit(trace: Trace, group_load: float = Day.group_load) -> Fit:
    """Fit a scenario to a trace; what it says nothing of keeps its default and is named."""
    found = Fit()
    manifest = trace.manifest
    seconds = (manifest.to_us - manifest.from_us) / SECOND
    rows = trace.table("connections").to_pylist()
    if seconds <= 0 or not rows:
        raise FitError(f"{trace.folder}: no connection in it")
    found.nodes = len({source.node for source in manifest.sources})
    _arrivals(found, rows, seconds, manifest.from_us)
    loads = _loads_of(trace)
    _classes(found, manifest.classes, rows, loads, manifest.from_us)
    found.groups = max(1, len({row["group"] for row in rows if row["group"]}))
    _servers(found, trace, rows, loads, group_load)
    return found


def _arrivals(found: Fit, rows: Sequence[dict[str, Any]], seconds: float, began: int) -> None:
    first = np.array(
        [
            (row["at_us"] - began) / SECOND
            for row in rows
            if not (row["stood"] or row["repeated"] or row["returned"])
        ]
    )
    spans = np.diff(np.sort(first))
    flaw = ""
    if len(spans) > 2 * LEAST:
        # Gaps of a Poisson process are exponential; the scale is estimated, so the test is Lilliefors'.
        cramped = float(np.std(spans) / spans.mean())
        if abs(cramped - 1) > POOR / math.sqrt(len(spans)):
            flaw = f"not Poisson: gaps deviate by {cramped:.2f} of their mean"
    found.estimates.append(poisson("rate", len(first), seconds, flaw))
    counts = np.histogram(first, bins=max(1, int(seconds / WINDOW_S)))[0]
    found.peak_rate = float(counts.max()) / (seconds / len(counts)) if len(first) else 0.0


def _loads_of(trace: Trace) -> dict[tuple[str, int, int], list[tuple[int, float]]]:
    """The loads told of each connection, in order."""
    table = trace.table("loads")
    told: dict[tuple[str, int, int], list[tuple[int, float]]] = defaultdict(list)
    for row in table.to_pylist():
        told[row["node"], row["run"], row["id"]].append((row["at_us"], row["load"]))
    for values in told.values():
        values.sort()
    return told


def _key(row: dict[str, Any]) -> tuple[str, int, int]:
    return row["node"], row["run"], row["id"]


def _classes(
    found: Fit,
    told: Sequence[dict[str, Any]],
    rows: Sequence[dict[str, Any]],
    loads: dict[tuple[str, int, int], list[tuple[int, float]]],
    began: int,
) -> None:
    """Each class's share, life and loads; the day's life is that of a mean fresh connection."""
    names = [cls["name"] for cls in told]
    fresh = Counter(row["class"] for row in rows if not (row["stood"] or row["repeated"] or row["returned"]))
    total = sum(fresh.values()) or 1
    lives: dict[str, Estimate] = {}
    means: dict[str, float] = {}
    sigmas: dict[str, tuple[float, float]] = {}
    held: list[tuple[float, bool]] = []  # how long loads held, and whether their end was seen
    for name in names:
        up = [row for row in rows if row["class"] == name and row["up_us"] is not None]
        if not up:
            found.absent.append(f"class {name}")
            continue
        spans = np.array([(row["end_us"] - max(row["up_us"], began)) / SECOND for row in up])
        ended = np.array([row["end"] in ("ok", "cancelled") and not row["moved"] for row in up])
        lives[name] = life(f"life of {name}, s", spans, ended, np.array([not row["stood"] for row in up]))
        series = [loads[_key(row)] for row in up if len(loads.get(_key(row), ())) > 0]
        for row in up:
            told_at = [at for at, _ in loads.get(_key(row), ())]
            held += [((b - a) / SECOND, True) for a, b in zip(told_at, told_at[1:], strict=False)]
            held += [((row["end_us"] - at) / SECOND, False) for at in told_at[-1:]]
        means[name], sigmas[name] = _spreads(found, name, series)
        found.estimates += [lives[name]]
    shares = {name: fresh[name] / total for name in names if name in lives}
    known = {name: one.value for name, one in lives.items() if math.isfinite(one.value)}
    weight = sum(shares[name] for name in known) or 1.0
    day_life = sum(shares[name] * value for name, value in known.items()) / weight if known else Day.life
    halves = [(one.high - one.low) / 2 * shares[name] / weight for name, one in lives.items() if one.known]
    half = math.sqrt(sum(one**2 for one in halves))
    found.estimates.append(
        Estimate("life", day_life, max(day_life / 4, day_life - half), day_life + half, len(rows))
    )
    mean_load = sum(shares[name] * means[name] for name in shares if math.isfinite(means[name])) or 1.0
    for cls in told:
        name = cls["name"]
        if name not in lives:
            found.classes[name] = Class(share=0.0, **_told(cls))
            continue
        relative = known.get(name, day_life) / day_life if day_life else 1.0
        load = means[name] / mean_load if math.isfinite(means[name]) else 1.0
        between, within = sigmas[name]
        found.classes[name] = Class(
            share=shares[name],
            load=(load, load),
            life=(relative, relative),
            load_sigma=between,
            swing_sigma=within,
            **_told(cls),
        )
    found.absent += ["set-up work", "message aims", "how late the list and the reports are"]
    if held:
        spans, ended = np.array([one[0] for one in held]), np.array([one[1] for one in held])
        found.estimates.append(life("a load holds, s", spans, ended, ended))


def _told(cls: dict[str, Any]) -> dict[str, Any]:
    return {"aim_ms": cls["aim_us"] / 1000, "wait_ms": cls["deadline_us"] / 1000, "worth": cls["worth"]}


def _spreads(
    found: Fit, name: str, series: Sequence[Sequence[tuple[int, float]]]
) -> tuple[float, tuple[float, float]]:
    """The mean load of a class, and the deviations of its logarithm between and within connections."""
    logs = [np.log([max(load, 1e-9) for _, load in one]) for one in series]
    firsts = np.array([one[0][1] for one in series])
    if len(firsts) < LEAST:
        found.absent.append(f"loads of {name}")
        return (float(firsts.mean()) if len(firsts) else math.nan), (Class.load_sigma, Class.swing_sigma)
    changes = np.concatenate([np.diff(one) for one in logs]) if logs else np.array([])
    within = float(np.sqrt(np.mean(changes**2) / 2)) if len(changes) else 0.0
    total = float(np.var([one[0] for one in logs], ddof=1))
    between = math.sqrt(max(0.0, total - within**2))
    found.estimates += [
        mean_of(f"load of {name}", firsts),
        spread(f"load sigma of {name}", between, len(logs)),
        spread(f"swing sigma of {name}", within, max(2, len(changes) // 2)),
    ]
    return float(firsts.mean()), (between, within)


# Servers.


def _servers(
    found: Fit,
    trace: Trace,
    rows: Sequence[dict[str, Any]],
    loads: dict[tuple[str, int, int], list[tuple[int, float]]],
    group_load: float,
) -> None:
    kind_of, state = _listed(trace)
    found.servers = sum(1 for name in kind_of if state.get(name, 0) != 2) or len(kind_of)
    fields = trace.manifest.fields
    kinds = trace.manifest.kinds
    if "x0" not in fields:
        found.absent.append("speeds: no x0 in the reports")
        return
    place = fields.index("x0")
    firsts = [values[0][1] for values in loads.values()]
    mean_load = float(np.mean(firsts)) if firsts else 1.0
    probes: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for row in trace.table("probes").to_pylist():
        if row["result"] == "OK" and len(row["report"]) > place:
            probes[row["server"]].append((row["at_us"], row["report"][place]))
    asked = _asked(rows, loads, mean_load, group_load)
    capacities: dict[str, float] = {}
    residuals: list[float] = []
    began, summed = trace.manifest.from_us, defaultdict(float)
    bins: dict[int, dict[str, float]] = defaultdict(dict)
    for name, reports in probes.items():
        steps = asked.get(name)
        if steps is None:
            continue
        pairs = [(_mean_before(steps, at), x0, at) for at, x0 in reports]
        sound = [(load / x0) for load, x0, _ in pairs if x0 >= LEAST_X0 and load > 0]
        if len(sound) < LEAST:
            continue
        capacities[name] = float(np.median(sound))
        residuals += [math.log(one / capacities[name]) for one in sound]
        for _, x0, at in pairs:
            bins[int((at - began) / SECOND / WINDOW_S)][name] = x0
    if not capacities:
        found.absent.append("speeds: too few reports of servers with known loads")
        return
    total = sum(capacities.values())
    for number, told in bins.items():
        held = sum(capacities[name] for name in told)
        if held > total / 2:
            summed[number] = sum(capacities[name] * x0 for name, x0 in told.items()) / held
    used = np.array([summed[number] for number in sorted(summed)])
    if len(used):
        flaw = "" if len(used) < 4 or used.std() < 0.15 * used.mean() else "not steady: a scenario has one"
        first = float(used[: max(1, len(used) // 4)].mean())
        # A day draws where the load stands at its start, which wanders: not how well its mean is known.
        half = NORMAL_95 * float(used.std(ddof=1)) if len(used) > 1 else math.inf
        found.estimates.append(
            Estimate("utilization", first, max(0.0, first - half), first + half, len(used), flaw)
        )
        found.peak_load = float(used.max())
    if len(residuals) >= LEAST:
        found.noise = float(1.4826 * np.median(np.abs(residuals)))  # robust: loads move under a late report
        found.estimates.append(spread("report noise", found.noise, len(residuals)))
    _kinds(found, kinds, kind_of, capacities)


def _listed(trace: Trace) -> tuple[dict[str, int], dict[str, int]]:
    """Each server's kind and last state."""
    kind_of, state = {}, {}
    for row in sorted(trace.table("lists").to_pylist(), key=lambda row: row["at_us"]):
        kind_of[row["server"]], state[row["server"]] = row["kind"], row["state"]
    return kind_of, state


def _kinds(found: Fit, kinds: Sequence[str], kind_of: dict[str, int], capacities: dict[str, float]) -> None:
    """Speeds relative to the mean core of the fleet, which is the yardstick."""
    per_core: dict[int, list[float]] = defaultdict(list)
    counts = Counter(kind_of.values())
    for name, capacity in capacities.items():
        number = kind_of.get(name, 0)
        per_core[number].append(capacity / _cores(kinds, number))
    everything = [value for values in per_core.values() for value in values]
    yardstick = float(np.mean(everything))
    for number in sorted(counts):
        name = kinds[number] if number < len(kinds) else f"kind-{number}"
        values = np.array(per_core.get(number, [])) / yardstick
        if not len(values):
            found.absent.append(f"speed of {name}")
            values = np.array([1.0])
        else:
            found.estimates.append(mean_of(f"speed of {name}", values))
        share = counts[number] / sum(counts.values())
        found.kinds[name] = share, _cores(kinds, number), float(values.min()), float(values.max())


def _cores(kinds: Sequence[str], number: int) -> float:
    """Cores by the site's way of naming its kinds (wide-4c); three where a name says nothing."""
    name = kinds[number] if number < len(kinds) else ""
    told = re.search(r"-(\d+)c$", name)
    return float(told[1]) if told else 3.0


Steps = tuple[NDArray[np.int64], Floats, Floats]  # times, the load from each on, and its integral up to it


def _asked(
    rows: Sequence[dict[str, Any]],
    loads: dict[tuple[str, int, int], list[tuple[int, float]]],
    mean_load: float,
    group_load: float,
) -> dict[str, Steps]:
    """What each server was asked for over time, in mean connection loads, by all nodes that recorded."""
    changes: dict[str, list[tuple[int, float, int, int]]] = defaultdict(list)
    for row in rows:
        if row["up_us"] is None:
            continue
        told = loads.get(_key(row), [])
        load = told[0][1] if told else (row["load"] if row["load"] is not None else mean_load)
        changes[row["server"]].append((row["up_us"], load / mean_load, row["group"], 1))
        for at, value in told[1:]:
            changes[row["server"]].append((at, (value - load) / mean_load, 0, 0))
            load = value
        changes[row["server"]].append((row["end_us"], -load / mean_load, row["group"], -1))
    steps: dict[str, Steps] = {}
    for name, found in changes.items():
        found.sort(key=lambda one: (one[0], -one[3]))
        held: Counter[int] = Counter()
        times, values, total, groups = [], [], 0.0, 0
        for at, load, group, step in found:
            total += load
            if group and step:
                before = held[group] > 0
                held[group] += step
                groups += (held[group] > 0) - before
            times.append(at)
            values.append(total + group_load * groups)
        at_us, level = np.array(times, dtype=np.int64), np.array(values)
        area = np.concatenate([[0.0], np.cumsum(level[:-1] * np.diff(at_us))])
        steps[name] = at_us, level, area
    return steps


def _mean_before(steps: Steps, at: int) -> float:
    """The mean of what was asked over the time that a report may be old."""
    low, high = _area(steps, at - int(REPORT_LATE_S * SECOND)), _area(steps, at)
    return (high - low) / (REPORT_LATE_S * SECOND)


def _area(steps: Steps, at: int) -> float:
    times, level, area = steps
    place = int(np.searchsorted(times, at, side="right")) - 1
    return 0.0 if place < 0 else float(area[place] + level[place] * (at - times[place]))


# The scenario's text.


def text(found: Fit, source: str) -> str:
    """A scenario file, each figure with what it rests on."""
    day = [
        f"    servers {found.servers}",
        f"    nodes {found.nodes}",
        f"    groups {found.groups}",
        f"    report-noise {found.noise:.4g}",
    ]
    spans = []
    for name in ("rate", "life", "utilization"):
        one = next((one for one in found.estimates if one.name == name), None)
        if one is None or not math.isfinite(one.value):
            continue
        day.append(f"    {name} {one.value:.4g}    # {one.events} events")
        if one.known:
            spans.append(f"    {name} {max(0.0, one.low):.4g}..{one.high:.4g}")
    blocks = [_block("day", day), _block("fitted", spans)]
    if found.peak_rate:
        seen = [f"    rate {found.peak_rate:.4g}", f"    utilization {found.peak_load:.4g}"]
        blocks.append(_block("trace", seen))
    for name, (share, cores, low, high) in found.kinds.items():
        lines = [f"    share {share:.4g}", f"    cores {cores:g}", f"    speed {low:.4g}..{high:.4g}"]
        blocks.append(_block(f"kind {name}", lines))
    for name, cls in found.classes.items():
        lines = [
            f"    share {cls.share:.4g}",
            f"    load {cls.load[0]:.4g}",
            f"    life {cls.life[0]:.4g}",
            f"    load-sigma {cls.load_sigma:.4g}",
            f"    swing-sigma {cls.swing_sigma:.4g}",
            f"    aim-ms {cls.aim_ms:g}",
            f"    wait-ms {cls.wait_ms:g}",
            f"    worth {cls.worth:g}",
        ]
        blocks.append(_block(f"class {name}", lines))
    head = [f"# Fitted to {source}", "# Not in the trace, so by default: " + ", ".join(found.absent)]
    head += [f"# Poor fit: {one.name}: {one.flaw}" for one in found.estimates if one.flaw]
    return "\n".join([*head, *blocks]) + "\n"


def _block(name: str, lines: Sequence[str]) -> str:
    return "\n".join([f"{name} {{", *lines, "}"])
