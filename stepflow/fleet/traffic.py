"""The clients of a run, drawn before it starts: everything that no policy decision changes.

Each property is drawn from a random stream of its own, so two runs with one seed have the same clients with
the same loads, whatever their policies decide. Loads are relative to the mean load of a session. The names of
the streams are part of the seed: another name gives other draws.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from stepflow.fleet.scenario import Class, Scenario
from stepflow.fleet.streams import stream

LOADS_PER_SESSION = 12  # loads in sequence; the last load lasts until the session ends
MEAN_LOAD_SPAN_S = 12.0  # mean duration of a load
DRAWS_PER_CLIENT = 16
ZIPF_EXPONENT = 0.7  # exponent of the Zipf distribution of sessions over affinity groups
WORK_SIGMA = 0.5  # standard deviation of the logarithm of a session set-up's work

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Traffic:
    """The clients of a run: first those whose session is established at the start, then those that arrive.

    Arrays have one item or row for each client.
    """

    established: int  # number of sessions established when the run begins
    at_us: NDArray[np.int64]  # arrival times; 0 for established sessions
    class_index: NDArray[np.int64]
    group: NDArray[np.int64]  # affinity groups, numbered from 1
    zone: NDArray[np.int64]
    life_s: Floats  # time that each client needs a session, from `at_us` on
    loads: Floats  # LOADS_PER_SESSION columns: the loads of a session in sequence
    load_spans_s: Floats  # LOADS_PER_SESSION columns: the duration of each load
    work: Floats  # work of a session set-up, relative to its class's mean
    draws: Floats  # DRAWS_PER_CLIENT columns: uniform numbers from 0 to 1


def draw_traffic(scenario: Scenario, seed: int) -> Traffic:
    """Draw the clients of a run."""
    day = scenario.day
    established = int(stream(seed, "stood").poisson(day.rate * day.life))
    arrivals = _draw_arrivals(scenario, seed)
    count = established + len(arrivals)
    class_index = _draw_classes(scenario, seed, established, len(arrivals))
    weights = 1.0 / np.arange(1, day.groups + 1) ** ZIPF_EXPONENT
    return Traffic(
        established=established,
        at_us=np.concatenate([np.zeros(established, np.int64), arrivals]),
        class_index=class_index,
        zone=stream(seed, "zone").integers(0, max(1, day.zones), count),
        group=1 + stream(seed, "group").choice(day.groups, count, p=weights / weights.sum()),
        life_s=_draw_lives(scenario, seed, class_index),
        loads=_draw_loads(scenario, seed, class_index),
        load_spans_s=stream(seed, "swing time").exponential(MEAN_LOAD_SPAN_S, (count, LOADS_PER_SESSION)),
        work=stream(seed, "work").lognormal(-(WORK_SIGMA**2) / 2, WORK_SIGMA, count),
        draws=stream(seed, "chances").random((count, DRAWS_PER_CLIENT)),
    )


def _draw_classes(scenario: Scenario, seed: int, established: int, arriving: int) -> NDArray[np.int64]:
    classes = list(scenario.classes.values())
    shares = _shares(classes)
    # Long sessions have a larger share of the sessions established at any moment than of the arrivals.
    weights = shares * _means(classes, "life")
    established_classes = stream(seed, "stood class").choice(
        len(classes), established, p=weights / weights.sum()
    )
    arriving_classes = stream(seed, "class").choice(len(classes), arriving, p=shares)
    return np.concatenate([established_classes, arriving_classes]).astype(np.int64)


def _draw_lives(scenario: Scenario, seed: int, class_index: NDArray[np.int64]) -> Floats:
    """Draw exponential session durations.

    The exponential distribution is memoryless: what is left of an established session's duration is
    distributed like the duration of a new session.
    """
    classes, count = list(scenario.classes.values()), len(class_index)
    life = np.empty(count)
    for number, cls in enumerate(classes):
        of_class = class_index == number
        life[of_class] = stream(seed, "life class", number).uniform(*cls.life, count)[of_class]
    mean_life = _shares(classes) @ _means(classes, "life")
    life *= scenario.day.life / mean_life * stream(seed, "life").exponential(1.0, count)
    return life


def _draw_loads(scenario: Scenario, seed: int, class_index: NDArray[np.int64]) -> Floats:
    """Draw lognormal loads: a typical load for each session, and the session's loads around it."""
    classes, count = list(scenario.classes.values()), len(class_index)
    load, sigma, swing = np.empty(count), np.empty(count), np.empty(count)
    for number, cls in enumerate(classes):
        of_class = class_index == number
        load[of_class] = stream(seed, "load class", number).uniform(*cls.load, count)[of_class]
        sigma[of_class], swing[of_class] = cls.load_sigma, cls.swing_sigma
    mean_load = _shares(classes) @ _means(classes, "load")
    typical = load / mean_load * np.exp(sigma * stream(seed, "load").standard_normal(count) - sigma**2 / 2)
    swings = stream(seed, "swing").standard_normal((count, LOADS_PER_SESSION))
    loads: Floats = typical[:, None] * np.exp(swing[:, None] * swings - swing[:, None] ** 2 / 2)
    return loads


def _draw_arrivals(scenario: Scenario, seed: int) -> NDArray[np.int64]:
    """Draw arrival times from a Poisson process; bursts are made by thinning (Lewis and Shedler 1979)."""
    day, rng = scenario.day, stream(seed, "arrivals")
    bursts = [fault for fault in scenario.faults if fault.what == "burst"]
    max_multiple = max([1.0, *(fault.times for fault in bursts)])
    span = day.warm + day.seconds
    times = np.sort(rng.uniform(0, span, rng.poisson(day.rate * max_multiple * span)))
    rate_multiple = np.ones(len(times))
    for burst in bursts:
        rate_multiple[(times >= burst.at) & (times < burst.at + burst.lasts)] = burst.times
    kept = times[rng.random(len(times)) * max_multiple < rate_multiple]
    return (kept * 1e6).astype(np.int64)


def _shares(classes: Sequence[Class]) -> Floats:
    """Return the classes' shares of the arrivals, which sum to 1."""
    shares = np.array([cls.share for cls in classes])
    return np.asarray(shares / shares.sum())


def _means(classes: Sequence[Class], name: str) -> Floats:
    """Return the midpoints of the classes' ranges of a parameter."""
    return np.array([sum(getattr(cls, name)) / 2 for cls in classes])
