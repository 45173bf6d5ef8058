"""Converts journals to a trace: joins the rows of each request and session, and writes tables in batches."""

from __future__ import annotations

import os
import shutil
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from stepflow.fleet.trace.schema import MANIFEST, SCHEMAS, VERSION, Manifest, Source, TraceError
from stepflow.interface import AttemptResult, ListUpdateKind
from stepflow.traffic import Kind, Reading, read_journal

BATCH_ROWS = 50_000  # rows of each table that are held in memory until they are written
FIXED_HEADER_KEYS = ("kinds", "zones", "fields")  # must be the same in all journals of a trace
UNKNOWN_US = 1 << 62  # later than any time

# A row of a journal: kind, time, the kind's items (see `stepflow.traffic.Kind`); later versions append items.
Row = list[Any]


@dataclass(frozen=True)
class _Process:
    """A process of a node, with a recording of its own."""

    node: str
    run: int  # time at which its recording began, in Unix microseconds


class _Session:
    """An open request or session: its row of `connections`, its current attempt, and its mean load so far."""

    def __init__(self, row: dict[str, Any]) -> None:
        self.row = row
        self.attempt: dict[str, Any] | None = None
        self._load: float | None = None
        self._load_since_us = 0
        self._weighted_sum, self._span_us = 0.0, 0

    def load_reported(self, at: int, load: float | None) -> None:
        """Record a load that the session has from `at` on."""
        if self._load is not None:
            self._weighted_sum += self._load * (at - self._load_since_us)
            self._span_us += at - self._load_since_us
        self._load, self._load_since_us = load, at

    def mean_load(self, at: int) -> float | None:
        """The mean of the loads until `at`, weighted by their durations; None if no load was reported."""
        last = self._load
        self.load_reported(at, last)
        return self._weighted_sum / self._span_us if self._span_us else last


class TableWriter:
    """Writes the tables of a trace, a batch of each at a time."""

    def __init__(self, folder: Path) -> None:
        self._writers = {
            name: pq.ParquetWriter(folder / f"{name}.parquet", schema) for name, schema in SCHEMAS.items()
        }
        self._batches: dict[str, list[dict[str, Any]]] = {name: [] for name in SCHEMAS}

    def put(self, table: str, **row: Any) -> None:
        """Add a row to a table."""
        batch = self._batches[table]
        batch.append(row)
        if len(batch) >= BATCH_ROWS:
            self._flush(table)

    def close(self) -> None:
        """Write the remaining rows, and close the files."""
        for name in SCHEMAS:
            self._flush(name)
            self._writers[name].close()

    def _flush(self, table: str) -> None:
        batch = self._batches[table]
        self._writers[table].write_table(pa.Table.from_pylist(batch, SCHEMAS[table]))
        batch.clear()


class Converter:
    """Reads journals and writes tables; holds the open requests and sessions, and one batch of each table."""

    def __init__(self, folder: Path) -> None:
        self._tables = TableWriter(folder)
        self._open: dict[tuple[_Process, int], _Session] = {}
        self._process = _Process("", 0)
        self._class_names: list[str] = []
        self._last_row_us: dict[_Process, int] = {}
        self._lost_rows = 0
        self.from_us, self.to_us = UNKNOWN_US, 0
        self.header: dict[str, Any] = {}
        self.sources: list[Source] = []
        self._handlers: dict[Kind, Callable[[int, Row], None]] = {
            Kind.LOST: self._rows_lost,
            Kind.SETTINGS: self._settings_changed,
            Kind.LIST: self._list_updated,
            Kind.PROBED: self._health_checked,
            Kind.REQUEST: self._request_received,
            Kind.STANDING: self._session_adopted,
        }
        self._session_handlers: dict[Kind, Callable[[_Session, int, Row], None]] = {
            Kind.SEND: self._attempt_started,
            Kind.UP: self._session_established,
            Kind.OUTCOME: self._attempt_ended,
            Kind.REFUSE: self._request_answered,
            Kind.FAIL: self._request_answered,
            Kind.LEFT: self._request_answered,
            Kind.LOAD: self._load_reported,
            Kind.MOVE: self._session_migrated,
        }

    def feed(self, reading: Reading) -> None:
        """Convert one journal; a process's journals must be passed in the order of writing."""
        self._take_header(reading)
        self._lost_rows = count = 0
        for row in reading.rows():
            count += 1
            kind, at = Kind(row[0]), self._process.run + row[1]
            self.from_us, self.to_us = min(self.from_us, at), max(self.to_us, at)
            self._last_row_us[self._process] = at
            if kind in self._handlers:
                self._handlers[kind](at, row)
            elif kind in self._session_handlers:
                # A request that is not open began in a journal that was not kept; its rows are skipped.
                session = self._open.get((self._process, row[2]))
                if session is not None:
                    self._session_handlers[kind](session, at, row)
        self.sources.append(
            Source(reading.path, self._process.node, reading.cut, reading.ended, self._lost_rows, count)
        )

    def close(self) -> None:
        """Write the requests and sessions that are still open, and close the tables.

        They get an empty `end`, and as `end_us` the time of their process's last row.
        """
        for (process, _), session in self._open.items():
            self._write_connection(session, self._last_row_us[process], "")
        self._tables.close()

    def _take_header(self, reading: Reading) -> None:
        journal_header = reading.header
        if not self.header:
            self.header = journal_header
        elif any(journal_header.get(key) != self.header.get(key) for key in FIXED_HEADER_KEYS):
            raise TraceError(
                f"{reading.path}: kinds, zones or fields differ from those of the other journals"
            )
        self._process = _Process(str(journal_header["node"]), int(journal_header["began_us"]))
        self._class_names = [cls["name"] for cls in journal_header["classes"]]

    def _rows_lost(self, at: int, row: Row) -> None:
        self._lost_rows += row[2]

    def _settings_changed(self, at: int, row: Row) -> None:
        self._class_names = [cls["name"] for cls in row[2]["classes"]]

    def _list_updated(self, at: int, row: Row) -> None:
        form = ListUpdateKind(row[2]).name
        for server, zone, kind, _, state, size, started in row[3]:
            self._tables.put(
                "lists",
                node=self._process.node,
                at_us=at,
                form=form,
                server=server,
                zone=zone,
                kind=kind,
                state=state,
                size=size,
                started_us=started,
            )

    def _health_checked(self, at: int, row: Row) -> None:
        result = AttemptResult(row[3]).name
        columns = {"server": row[2], "result": result, "wait_us": row[4], "report": row[5]}
        self._tables.put("probes", node=self._process.node, at_us=at, **columns)

    def _request_received(self, at: int, row: Row) -> None:
        id, class_index, group, wait_us, is_retry, is_migrated = row[2:8]
        columns = {"wait_us": wait_us, "repeated": is_retry, "returned": is_migrated}
        self._begin(at, id, class_index, group=group, **columns)

    def _session_adopted(self, at: int, row: Row) -> None:
        id, class_index, group, server, load = row[2:7]
        columns = {"stood": True, "server": server, "up_us": at, "answer": "served"}
        session = self._begin(at, id, class_index, group=group, **columns)
        if session is not None and load is not None:
            session.load_reported(at, load)

    def _begin(self, at: int, id: int, class_index: int, **columns: Any) -> _Session | None:
        """Open a request, unless it is open already: each file repeats the established sessions."""
        key = (self._process, id)
        if key in self._open:
            return None
        names = self._class_names
        row = {
            "node": self._process.node,
            "run": self._process.run,
            "id": id,
            "at_us": at,
            "class": names[class_index] if class_index < len(names) else f"#{class_index}",
            "wait_us": None,
            "repeated": False,
            "returned": False,
            "stood": False,
            "server": "",
            "attempts": 0,
            "connect_us": None,
            "up_us": None,
            "answer": "",
            "moved": False,
            "loads": 0,
        }
        session = self._open[key] = _Session(row | columns)
        return session

    def _attempt_started(self, session: _Session, at: int, row: Row) -> None:
        session.row["attempts"] += 1
        session.row["server"] = row[3]
        session.attempt = {"at_us": at, "server": row[3], "timeout_us": row[4]}

    def _session_established(self, session: _Session, at: int, row: Row) -> None:
        session.row.update(connect_us=row[3], up_us=at, answer="served")
        self._write_attempt(session, AttemptResult.OK, row[3])

    def _attempt_ended(self, session: _Session, at: int, row: Row) -> None:
        code, is_final, latency_us = row[3:6]
        result = AttemptResult(code)
        self._write_attempt(session, result, latency_us)
        if is_final or session.row["up_us"] is not None:
            self._end(session, at, result.name.lower())

    def _request_answered(self, session: _Session, at: int, row: Row) -> None:
        answers = {Kind.REFUSE: "refused", Kind.FAIL: "failed", Kind.LEFT: "left"}
        answer = session.row["answer"] = answers[Kind(row[0])]
        if session.attempt is None:
            self._end(session, at, answer)

    def _load_reported(self, session: _Session, at: int, row: Row) -> None:
        session.row["loads"] += 1
        session.load_reported(at, row[3])
        self._tables.put("loads", **_identity(session), at_us=at, load=row[3])

    def _session_migrated(self, session: _Session, at: int, row: Row) -> None:
        session.row["moved"] = True

    def _end(self, session: _Session, at: int, end: str) -> None:
        self._write_connection(session, at, end)
        del self._open[self._process, session.row["id"]]

    def _write_attempt(self, session: _Session, result: AttemptResult, latency_us: int) -> None:
        attempt, session.attempt = session.attempt, None
        if attempt is not None:
            self._tables.put(
                "attempts", **_identity(session), **attempt, result=result.name, wait_us=latency_us
            )

    def _write_connection(self, session: _Session, at: int, end: str) -> None:
        self._tables.put("connections", **session.row, end_us=at, end=end, load=session.mean_load(at))


def _identity(session: _Session) -> dict[str, Any]:
    """The columns that identify a request in several tables."""
    return {name: session.row[name] for name in ("node", "run", "id")}


def convert(journals: Iterable[str | Path], folder: str | Path) -> Manifest:
    """Convert journals to a trace, in a new folder that is created whole or not at all.

    Raises:
        TraceError: The folder exists (it is left as it is), or the journals differ in their kinds, zones or
            load report fields.
        JournalError: A file can't be read as a journal.
    """
    target = Path(folder)
    if target.exists():
        raise TraceError(f"{target}: already exists")
    temporary = target.with_name(f".{target.name}.{os.getpid()}")
    temporary.mkdir(parents=True)
    try:
        converter = Converter(temporary)
        for path in journals:
            converter.feed(read_journal(path))
        converter.close()
        manifest = _manifest_of(converter)
        (temporary / MANIFEST).write_bytes(msgspec.json.format(msgspec.json.encode(manifest)))
        temporary.rename(target)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    return manifest


def _manifest_of(converter: Converter) -> Manifest:
    journal_header = converter.header
    return Manifest(
        VERSION,
        converter.from_us,
        converter.to_us,
        journal_header["classes"],
        list(journal_header["kinds"]),
        list(journal_header["zones"]),
        list(journal_header["fields"]),
        converter.sources,
    )
