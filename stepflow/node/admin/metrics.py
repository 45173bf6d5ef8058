"""The node's metrics as operators fetch them: statsd lines.

Responsible for the names of the metrics, which never change (docs/operations.md), and for which gauges there
are. Owns nothing. Counts are since the process's start; gauges hold at the moment of the call.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import fields
from typing import NamedTuple

from stepflow.interface import Availability
from stepflow.node.runtime.counters import ClassCounts, Counters
from stepflow.policy import EndpointState

PREFIX = "edge_gw"
EXCLUDED_BELOW_HEALTH = 0.1  # an endpoint with less of its weight is as good as left out
# Counters that are shown under the names of their fields.
PLAIN_COUNTERS = ("overdue", "retries", "clock_steps", "late_deadlines", "truncated", "outlived")
_RESERVED = re.compile(r"[^\w.-]", re.ASCII)  # a class's name must hold none of the separators of a line


class Gauges(NamedTuple):
    """What holds at this moment; the fields are named as the metrics."""

    in_flight: int  # connections taken and not yet ended
    map_servers_known: int  # in the endpoint list
    map_servers_excluded: int  # of them, those that get nothing new now


def count_excluded(endpoints: Iterable[EndpointState]) -> int:
    """How many listed endpoints get nothing new now, or next to nothing: those that drain or fail."""
    return sum(_is_excluded(endpoint) for endpoint in endpoints if endpoint.availability != Availability.GONE)


def _is_excluded(endpoint: EndpointState) -> bool:
    return endpoint.availability != Availability.READY or endpoint.health < EXCLUDED_BELOW_HEALTH


def render(counters: Counters, gauges: Gauges) -> bytes:
    """All metrics, one a line."""
    return "".join(f"{PREFIX}.{line}\n" for line in _lines(counters, gauges)).encode()


def _lines(counters: Counters, gauges: Gauges) -> Iterator[str]:
    for name, counts in counters.classes.items():
        for field in fields(ClassCounts):
            yield f"requests.{_RESERVED.sub('_', name)}.{field.name}:{getattr(counts, field.name)}|c"
    for name, value in gauges._asdict().items():
        yield f"{name}:{value}|g"
    for name in PLAIN_COUNTERS:
        yield f"{name}:{getattr(counters, name)}|c"
    yield f"reloads_ok:{counters.reloads}|c"
    yield f"reloads_failed:{counters.reloads_failed}|c"
