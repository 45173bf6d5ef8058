"""Sums up a trace for `stepflow fleet inspect`."""

from __future__ import annotations

from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.compute as pc

from stepflow.fleet.trace.reader import Trace

SECOND = 1e6  # microseconds
MILLISECOND = 1e3
QUANTILES = [0.1, 0.5, 0.9]


def summary(trace: Trace) -> dict[str, Any]:
    """The summary of a trace, by the keys of --json. Lives are in seconds, connect times in milliseconds."""
    manifest = trace.manifest
    connections = trace.table("connections")
    seconds = max(0.0, (manifest.to_us - manifest.from_us) / SECOND)
    lists, probes = trace.table("lists"), trace.table("probes")
    return {
        "seconds": seconds,
        "nodes": sorted({source.node for source in manifest.sources}),
        "servers": len(pc.unique(lists["server"])),
        "list_rows": len(lists),
        "probes": _counts(probes["result"]),
        "groups": len(pc.unique(connections["group"])),
        "classes": [_class_summary(connections, cls["name"], seconds) for cls in manifest.classes],
        "sources": [msgspec.to_builtins(source) for source in manifest.sources],
    }


def _class_summary(connections: pa.Table, name: str, seconds: float) -> dict[str, Any]:
    rows = connections.filter(pc.equal(connections["class"], name))
    from_start = rows.filter(pc.invert(rows["stood"]))
    established = rows.filter(pc.is_valid(rows["up_us"]))
    complete = established.filter(
        pc.and_(pc.invert(established["stood"]), pc.not_equal(established["end"], ""))
    )
    spans_us = pc.cast(pc.subtract(complete["end_us"], complete["up_us"]), pa.float64())
    return {
        "class": name,
        "connections": len(rows),
        "stood": len(rows) - len(from_start),
        "per_s": len(from_start) / seconds if seconds else None,
        "answers": _counts(from_start["answer"]),
        "connect_ms": _quantiles(pc.divide(pc.cast(from_start["connect_us"], pa.float64()), MILLISECOND)),
        "life_s": _quantiles(pc.divide(spans_us, SECOND)),
        "lives_censored": len(established) - len(complete),
        "load": _quantiles(rows["load"]),
        "moved": pc.sum(rows["moved"]).as_py() or 0,
    }


def _counts(column: Any) -> dict[str, int]:
    """The number of times each value occurs."""
    return {entry["values"]: entry["counts"] for entry in pc.value_counts(column).to_pylist()}


def _quantiles(column: Any) -> list[float] | None:
    """The quantiles at the probabilities in QUANTILES; None if there are no values."""
    quantiles = pc.quantile(column, q=QUANTILES).to_pylist()
    return None if quantiles[0] is None else quantiles
