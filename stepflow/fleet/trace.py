"""A trace: journals of traffic as Parquet tables in a folder, with a manifest."""

from __future__ import annotations

import os
import shutil
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.compute as pc
import pyarrow.parquet as pq

from stepflow.errors import InputError
from stepflow.interface import AttemptResult, ListUpdateKind
from stepflow.traffic import Kind, Reading, read_journal

VERSION = 1
MANIFEST = "trace.json"
BATCH = 50_000  # rows of a table in memory

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
"""Times are Unix microseconds. `run` is the process (its `began_us`); `stood`: it stood before what was
recorded, so its beginning is not known; `end` "" is one that still stood at the last row (right-censored);
`load` is the mean of the loads told, weighed by how long each held."""


class TraceError(InputError):
    """Why a trace can't be read, in one line that names the file."""


class Source(msgspec.Struct):
    """One journal that a trace was made of."""

    path: str
    node: str
    cut: str
    ended: bool
    lost: int
    rows: int


class Manifest(msgspec.Struct, forbid_unknown_fields=False):
    """What a trace tells of itself."""

    version: int
    from_us: int
    to_us: int
    classes: list[dict[str, Any]]
    kinds: list[str]
    zones: list[str]
    fields: list[str]
    sources: list[Source]


class _Open:
    """A connection whose end has not come yet."""

    __slots__ = ("row", "load_at", "load", "weighed", "span", "attempt")

    def __init__(self, row: dict[str, Any]) -> None:
        self.row, self.attempt = row, None
        self.load_at, self.load, self.weighed, self.span = 0, None, 0.0, 0

    row: dict[str, Any]
    attempt: dict[str, Any] | None
    load: float | None

    def told(self, at: int, load: float | None) -> None:
        """A load that holds from now on."""
        if self.load is not None:
            self.weighed += self.load * (at - self.load_at)
            self.span += at - self.load_at
        self.load, self.load_at = load, at

    def mean(self, at: int) -> float | None:
        last = self.load
        self.told(at, last)
        return self.weighed / self.span if self.span else last


class Converter:
    """Journals in, tables out; holds what is open and one batch of each table."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._writers = {
            name: pq.ParquetWriter(folder / f"{name}.parquet", schema) for name, schema in SCHEMAS.items()
        }
        self._batches: dict[str, list[dict[str, Any]]] = {name: [] for name in SCHEMAS}
        self._open: dict[tuple[str, int, int], _Open] = {}
        self._names: list[str] = []
        self._last: dict[tuple[str, int], int] = {}
        self.from_us, self.to_us = 1 << 62, 0
        self.header: dict[str, Any] = {}
        self.sources: list[Source] = []

    def feed(self, reading: Reading) -> None:
        """All of one journal; those of a process come in the order they were written."""
        head = reading.header
        if not self.header:
            self.header = head
        elif any(head.get(key) != self.header.get(key) for key in ("kinds", "zones", "fields")):
            raise TraceError(f"{reading.path}: kinds, zones or fields other than the other journals'")
        node, run = str(head["node"]), int(head["began_us"])
        self._names = [cls["name"] for cls in head["classes"]]
        self._node, self._run, self._key = node, run, (node, run)
        lost = rows = 0
        for row in reading.rows():
            rows += 1
            kind, at = Kind(row[0]), run + row[1]
            self.from_us, self.to_us = min(self.from_us, at), max(self.to_us, at)
            self._last[self._key] = at
            if kind == Kind.LOST:
                lost += row[2]
            elif kind == Kind.SETTINGS:
                self._names = [cls["name"] for cls in row[2]["classes"]]
            elif kind == Kind.LIST:
                self._list(at, row)
            elif kind == Kind.PROBED:
                self._put(
                    "probes",
                    node=node,
                    at_us=at,
                    server=row[2],
                    result=AttemptResult(row[3]).name,
                    wait_us=row[4],
                    report=row[5],
                )
            elif kind != Kind.END:
                self._session(kind, at, row)
        self.sources.append(Source(reading.path, node, reading.cut, reading.ended, lost, rows))

    def close(self) -> None:
        """What still stands is written as such, at its process's last row."""
        for (node, run, _), one in self._open.items():
            self._finish(one, self._last[node, run], "")
        for name in SCHEMAS:
            self._flush(name)
            self._writers[name].close()

    def _session(self, kind: Kind, at: int, row: list[Any]) -> None:
        key = (*self._key, row[2])
        one = self._open.get(key)
        if kind in (Kind.REQUEST, Kind.STANDING):
            if one is None:
                self._open[key] = self._begun(kind, at, row)
            return
        if one is None:
            return  # it came before what is kept of the journals
        told = one.row
        if kind == Kind.SEND:
            told["attempts"] += 1
            told["server"] = row[3]
            one.attempt = {
                "node": told["node"],
                "run": told["run"],
                "id": told["id"],
                "at_us": at,
                "server": row[3],
                "timeout_us": row[4],
            }
        elif kind == Kind.UP:
            told.update(connect_us=row[3], up_us=at, answer="served")
            self._attempt(one, AttemptResult.OK, row[3])
        elif kind == Kind.OUTCOME:
            self._attempt(one, AttemptResult(row[3]), row[5])
            if row[4] or told["up_us"] is not None:
                self._finish(one, at, AttemptResult(row[3]).name.lower())
                del self._open[key]
        elif kind in (Kind.REFUSE, Kind.FAIL, Kind.LEFT):
            told["answer"] = {Kind.REFUSE: "refused", Kind.FAIL: "failed", Kind.LEFT: "left"}[kind]
            if one.attempt is None:
                self._finish(one, at, told["answer"])
                del self._open[key]
        elif kind == Kind.LOAD:
            told["loads"] += 1
            one.told(at, row[3])
            self._put("loads", node=told["node"], run=told["run"], id=told["id"], at_us=at, load=row[3])
        elif kind == Kind.MOVE:
            told["moved"] = True

    def _begun(self, kind: Kind, at: int, row: list[Any]) -> _Open:
        cls = self._names[row[3]] if row[3] < len(self._names) else f"#{row[3]}"
        stood = kind == Kind.STANDING
        one = _Open(
            {
                "node": self._node,
                "run": self._run,
                "id": row[2],
                "at_us": at,
                "class": cls,
                "group": row[4],
                "wait_us": None if stood else row[5],
                "repeated": False if stood else row[6],
                "returned": False if stood else row[7],
                "stood": stood,
                "server": row[5] if stood else "",
                "attempts": 0,
                "connect_us": None,
                "up_us": at if stood else None,
                "answer": "served" if stood else "",
                "moved": False,
                "loads": 0,
            }
        )
        if stood and row[6] is not None:
            one.told(at, row[6])
        return one

    def _attempt(self, one: _Open, result: AttemptResult, wait: int) -> None:
        attempt, one.attempt = one.attempt, None
        if attempt is not None:
            self._put("attempts", **attempt, result=result.name, wait_us=wait)

    def _finish(self, one: _Open, at: int, end: str) -> None:
        self._put("connections", **one.row, end_us=at, end=end, load=one.mean(at))

    def _list(self, at: int, row: list[Any]) -> None:
        for server, zone, kind, _, state, size, started in row[3]:
            told = {"zone": zone, "kind": kind, "state": state, "size": size, "started_us": started}
            self._put(
                "lists", node=self._node, at_us=at, form=ListUpdateKind(row[2]).name, server=server, **told
            )

    def _put(self, table: str, **row: Any) -> None:
        batch = self._batches[table]
        batch.append(row)
        if len(batch) >= BATCH:
            self._flush(table)

    def _flush(self, table: str) -> None:
        batch = self._batches[table]
        self._writers[table].write_table(pa.Table.from_pylist(batch, SCHEMAS[table]))
        batch.clear()


def convert(journals: Iterable[str | Path], folder: str | Path) -> Manifest:
    """Make a trace of journals. The folder appears whole or not at all; one that is there is not touched."""
    target = Path(folder)
    if target.exists():
        raise TraceError(f"{target}: is there already")
    making = target.with_name(f".{target.name}.{os.getpid()}")
    making.mkdir(parents=True)
    try:
        converter = Converter(making)
        for path in journals:
            converter.feed(read_journal(path))
        converter.close()
        head = converter.header
        manifest = Manifest(
            VERSION,
            converter.from_us,
            converter.to_us,
            head["classes"],
            list(head["kinds"]),
            list(head["zones"]),
            list(head["fields"]),
            converter.sources,
        )
        (making / MANIFEST).write_bytes(msgspec.json.format(msgspec.json.encode(manifest)))
        making.rename(target)
    finally:
        shutil.rmtree(making, ignore_errors=True)
    return manifest


class Trace:
    """An opened trace."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        path = self.folder / MANIFEST
        try:
            version = msgspec.json.decode(path.read_bytes(), type=_Versioned).version
            if version > VERSION:
                raise TraceError(f"{path}: a trace of version {version}; this reads up to {VERSION}")
            self.manifest = msgspec.json.decode(path.read_bytes(), type=Manifest)
        except OSError as fault:
            raise TraceError(f"{path}: {fault.strerror}") from None
        except msgspec.DecodeError as fault:
            raise TraceError(f"{path}: {fault}") from None

    def table(self, name: str) -> pa.Table:
        """One table, of the schema that this version writes; columns that were added later are left out."""
        path = self.folder / f"{name}.parquet"
        try:
            found = pq.read_schema(path)
            for wanted in SCHEMAS[name]:
                if wanted.name not in found.names:
                    raise TraceError(f"{path}: a foreign schema: no column {wanted.name!r}")
                if found.field(wanted.name).type != wanted.type:
                    told = found.field(wanted.name).type
                    raise TraceError(
                        f"{path}: a foreign schema: {wanted.name!r} is {told}, not {wanted.type}"
                    )
            return pq.read_table(path, columns=SCHEMAS[name].names)
        except OSError as fault:
            raise TraceError(f"{path}: {str(fault).splitlines()[0]}") from None
        except pa.ArrowInvalid:
            raise TraceError(f"{path}: cut off, or no Parquet file") from None


class _Versioned(msgspec.Struct):
    version: int


def summary(trace: Trace) -> dict[str, Any]:
    """What is in a trace, for people and programs. Spans are in seconds, connect times in milliseconds."""
    manifest = trace.manifest
    connections = trace.table("connections")
    seconds = max(0.0, (manifest.to_us - manifest.from_us) / 1e6)
    classes = []
    for cls in manifest.classes:
        rows = connections.filter(pc.equal(connections["class"], cls["name"]))
        fresh = rows.filter(pc.invert(rows["stood"]))
        up = rows.filter(pc.is_valid(rows["up_us"]))
        whole = up.filter(pc.and_(pc.invert(up["stood"]), pc.not_equal(up["end"], "")))
        lives = pc.divide(pc.cast(pc.subtract(whole["end_us"], whole["up_us"]), pa.float64()), 1e6)
        answers = {one["values"]: one["counts"] for one in pc.value_counts(fresh["answer"]).to_pylist()}
        classes.append(
            {
                "class": cls["name"],
                "connections": len(rows),
                "stood": len(rows) - len(fresh),
                "per_s": len(fresh) / seconds if seconds else None,
                "answers": answers,
                "connect_ms": _quantiles(pc.divide(pc.cast(fresh["connect_us"], pa.float64()), 1e3)),
                "life_s": _quantiles(lives),
                "lives_censored": len(up) - len(whole),
                "load": _quantiles(rows["load"]),
                "moved": pc.sum(rows["moved"]).as_py() or 0,
            }
        )
    lists, probes = trace.table("lists"), trace.table("probes")
    return {
        "seconds": seconds,
        "nodes": sorted({source.node for source in manifest.sources}),
        "servers": len(pc.unique(lists["server"])),
        "list_rows": len(lists),
        "probes": {one["values"]: one["counts"] for one in pc.value_counts(probes["result"]).to_pylist()},
        "groups": len(pc.unique(connections["group"])),
        "classes": classes,
        "sources": [msgspec.to_builtins(source) for source in manifest.sources],
    }


def _quantiles(column: Any) -> list[float] | None:
    """The 10%, 50% and 90% points; None where there is nothing."""
    found = pc.quantile(column, q=[0.1, 0.5, 0.9]).to_pylist()
    return None if found[0] is None else found
