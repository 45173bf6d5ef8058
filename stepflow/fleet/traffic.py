"""The day's draws: all that no decision changes is drawn ahead, in arrays, each from a stream of its own.

So two runs on one seed see the same clients with the same loads, whatever the policies do with them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from stepflow.fleet.scenario import Scenario
from stepflow.fleet.streams import stream

LOADS_PER_SESSION = 12  # of one connection, one after the other; the last one holds on
MEAN_LOAD_SPAN_S = 12.0  # mean time that a load holds
DRAWS_PER_CLIENT = 16  # uniform numbers that a client has for its waits

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Traffic:
    """Connections, those that stand at the start first. Arrays of n, but where another shape is told."""

    established: int
    at_us: NDArray[np.int64]  # 0 for those that stand
    class_index: NDArray[np.int64]
    group: NDArray[np.int64]  # from 1
    zone: NDArray[np.int64]
    life_s: Floats  # what is left of it at `at_us`
    loads: Floats  # n, LOADS; in mean connection loads
    load_spans_s: Floats  # n, LOADS: how long each holds
    work: Floats  # of a set-up, over its class's mean
    draws: Floats  # n, CHANCES


def draw_traffic(scenario: Scenario, seed: int) -> Traffic:
    """The traffic of a day."""
    day, classes = scenario.day, list(scenario.classes.values())
    shares = np.array([cls.share for cls in classes])
    shares = shares / shares.sum()
    stood = stream(seed, "stood").poisson(day.rate * day.life)
    arrivals = _arrivals(scenario, seed)
    count = stood + len(arrivals)
    cls = np.concatenate(
        [
            # What stands at a moment is biased toward lives that are long.
            stream(seed, "stood class").choice(
                len(classes), stood, p=_normal(shares * _means(classes, "life"))
            ),
            stream(seed, "class").choice(len(classes), len(arrivals), p=shares),
        ]
    ).astype(np.int64)
    life, load = np.empty(count), np.empty(count)
    sigma, swing = np.empty(count), np.empty(count)
    for number, one in enumerate(classes):
        mine = cls == number
        life[mine] = stream(seed, "life class", number).uniform(*one.life, count)[mine]
        load[mine] = stream(seed, "load class", number).uniform(*one.load, count)[mine]
        sigma[mine], swing[mine] = one.load_sigma, one.swing_sigma
    mean_life, mean_load = (shares @ _means(classes, name) for name in ("life", "load"))
    # An exponential life has no memory: what is left of a standing one's is drawn like a fresh one's.
    life *= day.life / mean_life * stream(seed, "life").exponential(1.0, count)
    usual = load / mean_load * np.exp(sigma * stream(seed, "load").standard_normal(count) - sigma**2 / 2)
    swings = stream(seed, "swing").standard_normal((count, LOADS_PER_SESSION))
    loads = usual[:, None] * np.exp(swing[:, None] * swings - swing[:, None] ** 2 / 2)
    weights = 1.0 / np.arange(1, day.groups + 1) ** 0.7
    return Traffic(
        established=int(stood),
        at_us=np.concatenate([np.zeros(stood, np.int64), arrivals]),
        class_index=cls,
        zone=stream(seed, "zone").integers(0, max(1, day.zones), count),
        group=1 + stream(seed, "group").choice(day.groups, count, p=weights / weights.sum()),
        life_s=life,
        loads=loads,
        load_spans_s=stream(seed, "swing time").exponential(MEAN_LOAD_SPAN_S, (count, LOADS_PER_SESSION)),
        work=stream(seed, "work").lognormal(-0.125, 0.5, count),
        draws=stream(seed, "chances").random((count, DRAWS_PER_CLIENT)),
    )


def _arrivals(scenario: Scenario, seed: int) -> NDArray[np.int64]:
    """A Poisson process, its bursts by thinning (Lewis and Shedler 1979)."""
    day, rng = scenario.day, stream(seed, "arrivals")
    bursts = [fault for fault in scenario.faults if fault.what == "burst"]
    most = max([1.0, *(fault.times for fault in bursts)])
    span = day.warm + day.seconds
    times = np.sort(rng.uniform(0, span, rng.poisson(day.rate * most * span)))
    height = np.ones(len(times))
    for burst in bursts:
        height[(times >= burst.at) & (times < burst.at + burst.lasts)] = burst.times
    kept = times[rng.random(len(times)) * most < height]
    return (kept * 1e6).astype(np.int64)


def _means(classes: Sequence[object], name: str) -> Floats:
    return np.array([sum(getattr(cls, name)) / 2 for cls in classes])


def _normal(weights: Floats) -> Floats:
    return np.asarray(weights / weights.sum())
