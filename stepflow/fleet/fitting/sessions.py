"""The requests and sessions of a trace as typed rows, each with its reported loads."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from stepflow.fleet.trace import Trace

SECOND = 1e6  # microseconds


class ReportedLoad(NamedTuple):
    """A reported load, and the time from which the session had it."""

    at_us: int
    load: float


@dataclass(frozen=True)
class Session:
    """A row of the table `connections`; times are Unix microseconds, `up_us` is None if never established."""

    at_us: int
    class_name: str
    group: int
    server: str
    up_us: int | None
    end_us: int
    end: str
    mean_load: float | None
    was_established: bool  # the session was established before the recording
    is_migrated: bool  # the session was ended by a migration
    is_first: bool  # neither a retry, nor a migrated session's return, nor older than the recording
    loads: list[ReportedLoad] = field(default_factory=list)


def sessions_of(trace: Trace) -> list[Session]:
    """All requests and sessions, in the trace's order."""
    loads: dict[tuple[str, int, int], list[ReportedLoad]] = defaultdict(list)
    for row in trace.table("loads").to_pylist():
        loads[row["node"], row["run"], row["id"]].append(ReportedLoad(row["at_us"], row["load"]))
    for reported in loads.values():
        reported.sort()
    return [
        Session(
            at_us=row["at_us"],
            class_name=row["class"],
            group=row["group"],
            server=row["server"],
            up_us=row["up_us"],
            end_us=row["end_us"],
            end=row["end"],
            mean_load=row["load"],
            was_established=row["stood"],
            is_migrated=row["moved"],
            is_first=not (row["stood"] or row["repeated"] or row["returned"]),
            loads=loads.get((row["node"], row["run"], row["id"]), []),
        )
        for row in trace.table("connections").to_pylist()
    ]
