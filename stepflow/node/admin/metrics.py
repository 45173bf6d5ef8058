"""Formats the node's metrics as statsd lines for operators.

Defines the names of the metrics, which never change (docs/operations.md), and the set of gauges. Owns no
state. Counters count from the start of the process; gauges have the values at the time of the call.
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
# Health is a factor of an endpoint's weight: below this value the endpoint gets next to no requests.
EXCLUDED_BELOW_HEALTH = 0.1
# Counters that are reported under the names of their fields.
PLAIN_COUNTERS = ("overdue", "retries", "clock_steps", "late_deadlines", "truncated", "outlived")
# Characters of a class's name that could be read as separators of a line.
_RESERVED = re.compile(r"[^\w.-]", re.ASCII)


class Gauges(NamedTuple):
    """The current values; each field has the name of its metric."""

    in_flight: int  # accepted requests and sessions that have not ended
    map_servers_known: int  # endpoints in the endpoint list
    map_servers_excluded: int  # listed endpoints that get no new requests, or next to none


def count_excluded(endpoints: Iterable[EndpointState]) -> int:
    """Count the listed endpoints that get no new requests, or next to none, since they drain or fail."""
    return sum(_is_excluded(endpoint) for endpoint in endpoints if endpoint.availability != Availability.GONE)


def _is_excluded(endpoint: EndpointState) -> bool:
    return endpoint.availability != Availability.READY or endpoint.health < EXCLUDED_BELOW_HEALTH


def render(counters: Counters, gauges: Gauges) -> bytes:
    """Return all metrics, one per line."""
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
