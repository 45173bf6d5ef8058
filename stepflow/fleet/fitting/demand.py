"""The demand on each server over time, from the sessions of all recording nodes."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from stepflow.fleet.fitting.estimators import Floats
from stepflow.fleet.fitting.sessions import Session


class _Change(NamedTuple):
    """A change of a server's demand; `sessions` is +1 or -1 where a session begins or ends, else 0."""

    at_us: int
    load: float
    group: int
    sessions: int


@dataclass(frozen=True)
class Demand:
    """The demand on a server as a step function: the level from each time on, and the integral up to it."""

    at_us: NDArray[np.int64]
    level: Floats
    integral: Floats

    def mean(self, from_us: int, to_us: int, span_us: float) -> float:
        """The mean demand from `from_us` to `to_us`, a span of `span_us` microseconds."""
        return (self._integral_at(to_us) - self._integral_at(from_us)) / span_us

    def _integral_at(self, at: int) -> float:
        position = int(np.searchsorted(self.at_us, at, side="right")) - 1
        if position < 0:
            return 0.0
        return float(self.integral[position] + self.level[position] * (at - self.at_us[position]))


def demand_by_server(sessions: Sequence[Session], mean_load: float, group_load: float) -> dict[str, Demand]:
    """Each server's demand, in mean session loads: its sessions' loads, and `group_load` for each group."""
    changes: dict[str, list[_Change]] = defaultdict(list)
    for session in sessions:
        if session.up_us is not None:
            changes[session.server] += _changes_of(session, session.up_us, mean_load)
    return {server: _steps(of_server, group_load) for server, of_server in changes.items()}


def _changes_of(session: Session, up_us: int, mean_load: float) -> list[_Change]:
    if session.loads:
        load = session.loads[0].load
    else:
        load = session.mean_load if session.mean_load is not None else mean_load
    changes = [_Change(up_us, load / mean_load, session.group, 1)]
    for at, value in session.loads[1:]:
        changes.append(_Change(at, (value - load) / mean_load, 0, 0))
        load = value
    changes.append(_Change(session.end_us, -load / mean_load, session.group, -1))
    return changes


def _steps(changes: list[_Change], group_load: float) -> Demand:
    # Of changes at the same time, beginnings come before ends, so that a group that keeps a session on the
    # server is not dropped in between.
    changes.sort(key=lambda change: (change.at_us, -change.sessions))
    sessions_by_group: Counter[int] = Counter()
    levels, total, groups = [], 0.0, 0
    for change in changes:
        total += change.load
        if change.group and change.sessions:
            before = sessions_by_group[change.group] > 0
            sessions_by_group[change.group] += change.sessions
            groups += (sessions_by_group[change.group] > 0) - before
        levels.append(total + group_load * groups)
    at_us, level = np.array([change.at_us for change in changes], dtype=np.int64), np.array(levels)
    integral = np.concatenate([[0.0], np.cumsum(level[:-1] * np.diff(at_us))])
    return Demand(at_us, level, integral)
