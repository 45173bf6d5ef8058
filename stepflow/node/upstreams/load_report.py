"""The parser of load reports, which follow the first word of an endpoint's answer: `PONG queue=3,util=0.25`.

Source: PROTOCOL, which gives some fields two names; the settings use those on the right in `_FIELD_ALIASES`.
"""

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


def parse_load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse the comma-separated NAME=NUMBER pairs of a load report.

    Args:
        text: The report without its leading word, in ASCII.
        fields: The names that the settings ask for, in their order.

    Returns:
        A finite number for each of the fields, or an empty tuple if any of them is missing or not a finite
        number: the policy uses no partial reports.
    """
    values: dict[str, float] = {}
    try:
        for item in text.decode("ascii").split(","):
            name, _, value = item.strip().partition("=")
            values[_FIELD_ALIASES.get(name, name)] = float(value)
    except ValueError:
        return ()
    if not fields or any(not math.isfinite(values.get(name, math.nan)) for name in fields):
        return ()
    return tuple(values[name] for name in fields)
