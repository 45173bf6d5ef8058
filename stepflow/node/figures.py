"""The node's figures as operators fetch them: statsd lines."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import fields
from typing import NamedTuple

from stepflow.node.counters import ClassCounts, Counters

PREFIX = "edge_gw"
_RESERVED = re.compile(r"[^\w.-]", re.ASCII)  # what parts a line's fields can't stand in a class's name


class Gauges(NamedTuple):
    """What holds at this moment."""

    in_flight: int  # connections taken and not yet ended
    map_servers_known: int  # in the list
    map_servers_excluded: int  # of them, those that get nothing new now


def render(counters: Counters, gauges: Gauges) -> bytes:
    """All figures, one a line: counts since the process's start, and gauges."""
    return "".join(f"{PREFIX}.{line}\n" for line in _lines(counters, gauges)).encode()


def _lines(counters: Counters, gauges: Gauges) -> Iterator[str]:
    for name, counts in counters.classes.items():
        for field in fields(ClassCounts):
            yield f"requests.{_RESERVED.sub('_', name)}.{field.name}:{getattr(counts, field.name)}|c"
    for name, value in gauges._asdict().items():
        yield f"{name}:{value}|g"
    yield f"reloads_ok:{counters.reloads}|c"
    yield f"reloads_failed:{counters.reloads_failed}|c"
