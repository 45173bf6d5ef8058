"""The format of a trace: a folder with Parquet tables of fixed columns and a JSON manifest."""

from __future__ import annotations

from typing import Any

import msgspec
import pyarrow as pa

from stepflow.errors import InputError

VERSION = 1
MANIFEST = "trace.json"

_int, _text, _real, _flag = pa.int64(), pa.string(), pa.float64(), pa.bool_()
SCHEMAS: dict[str, pa.Schema] = {
    "connections": pa.schema(
        [
            ("node", _text),
            ("run", _int),
            ("id", _int),
            ("at_us", _int),
            ("class", _text),
            ("group", _int),
            ("wait_us", _int),
            ("repeated", _flag),
            ("returned", _flag),
            ("stood", _flag),
            ("server", _text),
            ("attempts", _int),
            ("connect_us", _int),
            ("up_us", _int),
            ("answer", _text),
            ("end_us", _int),
            ("end", _text),
            ("moved", _flag),
            ("load", _real),
            ("loads", _int),
        ]
    ),
    "attempts": pa.schema(
        [
            ("node", _text),
            ("run", _int),
            ("id", _int),
            ("at_us", _int),
            ("server", _text),
            ("timeout_us", _int),
            ("result", _text),
            ("wait_us", _int),
        ]
    ),
    "loads": pa.schema([("node", _text), ("run", _int), ("id", _int), ("at_us", _int), ("load", _real)]),
    "lists": pa.schema(
        [
            ("node", _text),
            ("at_us", _int),
            ("form", _text),
            ("server", _text),
            ("zone", _int),
            ("kind", _int),
            ("state", _int),
            ("size", _real),
            ("started_us", _int),
        ]
    ),
    "probes": pa.schema(
        [
            ("node", _text),
            ("at_us", _int),
            ("server", _text),
            ("result", _text),
            ("wait_us", _int),
            ("report", pa.list_(_real)),
        ]
    ),
}
"""The columns of each table.

Times are in Unix microseconds. `run` identifies the process (the `began_us` of its journals). `stood`
marks a session that was established before the recording, so that its beginning is not known. An `end` of ""
marks a session that was still established at the last row (right-censored). `load` is the mean of the
reported loads, weighted by their durations.
"""


class TraceError(InputError):
    """A trace can't be read or made; the text is one line that names the file."""


class Source(msgspec.Struct):
    """One journal that a trace was made from.

    `cut` says where and why reading stopped early, and is empty if the whole journal was read. `ended` is
    True if its last row is an END row. `lost` counts the rows that the recorder dropped.
    """

    path: str
    node: str
    cut: str
    ended: bool
    lost: int
    rows: int


class Manifest(msgspec.Struct, forbid_unknown_fields=False):
    """The manifest of a trace; times are in Unix microseconds."""

    version: int
    from_us: int
    to_us: int
    classes: list[dict[str, Any]]
    kinds: list[str]
    zones: list[str]
    fields: list[str]
    sources: list[Source]
