"""The node's figures as operators fetch them: statsd lines."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import fields
from typing import NamedTuple

from stepflow.interface import Availability
from stepflow.node.runtime.counters import ClassCounts, Counters
from stepflow.policy import EndpointState

PREFIX = "edge_gw"
EXCLUDED = 0.1  # below this share of its weight a server is as good as left out
_RESERVED = re.compile(r"[^\w.-]", re.ASCII)  # what parts a line's fields can't stand in a class's name


class Gauges(NamedTuple):
    """What holds at this moment."""

    in_flight: int  # connections taken and not yet ended
    map_servers_known: int  # in the list
    map_servers_excluded: int  # of them, those that get nothing new now


def excluded(servers: Iterable[EndpointState]) -> int:
    """How many listed servers get nothing new now, or next to nothing: those that drain or fail."""
    listed = [s for s in servers if s.availability != Availability.GONE]
    return sum(s.availability != Availability.READY or s.health < EXCLUDED for s in listed)


def render(counters: Counters, gauges: Gauges) -> bytes:
    """All figures, one a line: counts since the process's start, and gauges."""
    return "".join(f"{PREFIX}.{line}\n" for line in _lines(counters, gauges)).encode()


def _lines(counters: Counters, gauges: Gauges) -> Iterator[str]:
    for name, counts in counters.classes.items():
        for field in fields(ClassCounts):
            yield f"requests.{_RESERVED.sub('_', name)}.{field.name}:{getattr(counts, field.name)}|c"
    for name, value in gauges._asdict().items():
        yield f"{name}:{value}|g"
    for name in ("overdue", "retries", "clock_steps", "late_deadlines"):
        yield f"{name}:{getattr(counters, name)}|c"
    yield f"reloads_ok:{counters.reloads}|c"
    yield f"reloads_failed:{counters.reloads_failed}|c"
