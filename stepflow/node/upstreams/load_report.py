"""The parser of load reports, the text of a STATS answer."""

from __future__ import annotations

import math

_FIELD_ALIASES = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}


def parse_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report in the settings' order; empty where any is missing or no number."""
    told: dict[str, float] = {}
    try:
        for item in text.decode("ascii").split(","):
            name, _, value = item.strip().partition("=")
            told[_FIELD_ALIASES.get(name, name)] = float(value)
    except ValueError:
        return ()
    if not fields or any(not math.isfinite(told.get(name, math.nan)) for name in fields):
        return ()
    return tuple(told[name] for name in fields)
