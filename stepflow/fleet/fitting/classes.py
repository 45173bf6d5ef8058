"""Fits the classes of requests: their shares, lives and loads.

Lives are exponential. A session that was migrated, that broke or that was still established at the end of the
trace adds its exposure and no event; a session that was established before the trace adds its exposure from
the trace's start on. Loads are lognormal: the deviation within a session is estimated from the differences of
successive loads, the deviation between sessions from the remaining variance of their first loads. The
duration of a load is estimated like a life.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from stepflow.fleet.fitting.estimators import MIN_EVENTS, Estimate, deviation, exponential_mean, mean_estimate
from stepflow.fleet.fitting.result import Fit
from stepflow.fleet.fitting.sessions import SECOND, Session
from stepflow.fleet.scenario import Class, Day

OWN_ENDS = ("ok", "cancelled")  # ends of a session that its client caused
MIN_LOAD = 1e-9  # smaller loads are raised to this value, since 0 has no logarithm


@dataclass(frozen=True)
class _Loads:
    """The loads of a class: their mean, and the standard deviations of their logarithms."""

    mean: float = math.nan
    between_sigma: float = Class.load_sigma  # between sessions
    within_sigma: float = Class.swing_sigma  # between the loads of one session


def fit_classes(
    result: Fit, class_settings: Sequence[Mapping[str, Any]], sessions: Sequence[Session], began_us: int
) -> None:
    """Add each class's share, life and loads, the mean life of the day, and the mean duration of a load.

    `class_settings` are the classes of the trace's manifest.
    """
    names = [settings["name"] for settings in class_settings]
    lives: dict[str, Estimate] = {}
    loads: dict[str, _Loads] = {}
    established: list[Session] = []
    for name in names:
        of_class = [
            session for session in sessions if session.class_name == name and session.up_us is not None
        ]
        if not of_class:
            result.absent.append(f"class {name}")
            continue
        established += of_class
        lives[name] = _life_of(name, of_class, began_us)
        loads[name] = _fit_loads(result, name, of_class)
        result.estimates.append(lives[name])
    first = Counter(session.class_name for session in sessions if session.is_first)
    total = sum(first.values()) or 1
    shares = {name: first[name] / total for name in lives}
    day_life = _fit_day_life(result, lives, shares, len(sessions))
    _add_classes(result, class_settings, shares, lives, loads, day_life)
    result.absent += ["set-up work", "message aims", "delays of the list and of the reports"]
    _fit_load_spans(result, established)


def _life_of(name: str, sessions: Sequence[Session], began_us: int) -> Estimate:
    spans = [(session.end_us - max(session.up_us or 0, began_us)) / SECOND for session in sessions]
    ended = [session.end in OWN_ENDS and not session.is_migrated for session in sessions]
    from_start = [not session.was_established for session in sessions]
    return exponential_mean(f"life of {name}, s", np.array(spans), np.array(ended), np.array(from_start))


def _fit_day_life(
    result: Fit, lives: Mapping[str, Estimate], shares: Mapping[str, float], count: int
) -> float:
    """Add the mean life over all classes, weighted by their shares of first requests; returns the seconds."""
    known = {name: estimate.value for name, estimate in lives.items() if math.isfinite(estimate.value)}
    weight = sum(shares[name] for name in known) or 1.0
    value = sum(shares[name] * life for name, life in known.items()) / weight if known else Day.life
    halves = [
        (estimate.high - estimate.low) / 2 * shares[name] / weight
        for name, estimate in lives.items()
        if estimate.known
    ]
    half_width = math.sqrt(sum(half**2 for half in halves))
    result.estimates.append(
        Estimate("life", value, max(value / 4, value - half_width), value + half_width, count)
    )
    return value


def _add_classes(
    result: Fit,
    class_settings: Sequence[Mapping[str, Any]],
    shares: Mapping[str, float],
    lives: Mapping[str, Estimate],
    loads: Mapping[str, _Loads],
    day_life: float,
) -> None:
    """Add the scenario's classes, with lives and loads relative to the means over all classes.

    Classes without established sessions get a share of 0.
    """
    means = [shares[name] * loads[name].mean for name in shares if math.isfinite(loads[name].mean)]
    mean_load = sum(means) or 1.0
    for settings in class_settings:
        name = settings["name"]
        from_settings = {
            "aim_ms": settings["aim_us"] / 1000,
            "wait_ms": settings["deadline_us"] / 1000,
            "worth": settings["worth"],
        }
        if name not in lives:
            result.classes[name] = Class(share=0.0, **from_settings)
            continue
        life = lives[name].value if math.isfinite(lives[name].value) else day_life
        relative = life / day_life if day_life else 1.0
        load = loads[name].mean / mean_load if math.isfinite(loads[name].mean) else 1.0
        result.classes[name] = Class(
            share=shares[name],
            load=(load, load),
            life=(relative, relative),
            load_sigma=loads[name].between_sigma,
            swing_sigma=loads[name].within_sigma,
            **from_settings,
        )


def _fit_loads(result: Fit, name: str, sessions: Sequence[Session]) -> _Loads:
    """Add the mean load of a class, and the deviations of its logarithm between and within sessions."""
    series = [session.loads for session in sessions if session.loads]
    firsts = np.array([loads[0].load for loads in series])
    if len(firsts) < MIN_EVENTS:
        result.absent.append(f"loads of {name}")
        return _Loads(float(firsts.mean()) if len(firsts) else math.nan)
    logs = [np.log([max(reported.load, MIN_LOAD) for reported in loads]) for loads in series]
    changes = np.concatenate([np.diff(series_logs) for series_logs in logs])
    within = float(np.sqrt(np.mean(changes**2) / 2)) if len(changes) else 0.0
    total = float(np.var([series_logs[0] for series_logs in logs], ddof=1))
    between = math.sqrt(max(0.0, total - within**2))
    result.estimates += [
        mean_estimate(f"load of {name}", firsts),
        deviation(f"load sigma of {name}", between, len(logs)),
        deviation(f"swing sigma of {name}", within, max(2, len(changes) // 2)),
    ]
    return _Loads(float(firsts.mean()), between, within)


def _fit_load_spans(result: Fit, sessions: Sequence[Session]) -> None:
    """Add the mean duration of a load; the last load of a session is censored by the session's end."""
    spans: list[float] = []
    ended: list[bool] = []
    for session in sessions:
        times = [reported.at_us for reported in session.loads]
        if times:
            ends = [*times[1:], session.end_us]
            spans += [(until - at) / SECOND for at, until in zip(times, ends, strict=True)]
            ended += [True] * (len(times) - 1) + [False]
    if spans:
        uncensored = np.array(ended)
        result.estimates.append(exponential_mean("a load holds, s", np.array(spans), uncensored, uncensored))
