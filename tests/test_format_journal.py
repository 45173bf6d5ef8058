"""The stored formats of the journal and of the trace made from it: bytes, rows, columns and file names.

Users keep such files, so nothing compared here may change when names in the code change. Only
`written_files` and `rows_read` use names of the code; everything else reads bytes or uses the command line.
The files in `data` were recorded by version 0.3.0; the text file beside each holds its rows, one a line.
"""

from __future__ import annotations

import json
import re
import struct
import zlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pyarrow.parquet as parquet
import pytest

from stepflow.cli import main
from stepflow.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    Event,
    FailRequest,
    HealthCheckEnded,
    MigrateSession,
    RejectRequest,
    Request,
    RequestClass,
    SessionEstablished,
    SessionReport,
    Settings,
    StartAttempt,
    TimerFired,
)
from stepflow.traffic import Recorder, read_journal
from tests.node_kit import FakeEndpoint, Node, open_line

DATA = Path(__file__).parent / "data"
JOURNAL = DATA / "traffic-v1.sft"  # every kind of row, as version 0.3.0 wrote them
LATER_JOURNAL = DATA / "traffic-v1-second.sft"  # the next file of the same process
TRACE_ROWS = DATA / "trace-v1.rows.jsonl"  # [table, value, ...], in the order of the columns
BEGAN_US = 1_700_000_000_000_000
KEY = "0123456789abcdef"


class Files:
    """A sink that keeps each file's bytes; it drops all blocks while `full`."""

    def __init__(self) -> None:
        self.files: list[bytes] = []
        self.full = False

    def put(self, data: bytes, begins: bool) -> bool:
        if self.full:
            return False
        if begins:
            self.files.append(b"")
        self.files[-1] += data
        return True


def written_files() -> list[bytes]:
    """The files that the recorder writes for one fixed script: every kind of row, in two files."""
    view = RequestClass("view", latency_objective_us=300_000, deadline_us=1_200_000, priority_weight=1.5)
    edit = RequestClass("edit", latency_objective_us=50_000, deadline_us=800_000, priority_weight=4.0)
    settings = Settings(
        balancers=3, zones=("a", "b"), kinds=("k", "j"), classes=(view,), load_report_fields=("x0", "util")
    )
    sink = Files()
    recorder = Recorder(sink, KEY, "n0", BEGAN_US, settings, 1000)
    recorder.add_endpoint(Endpoint("s-0", 1, 1, 2, 0, 0.5, 33))
    recorder.add_session(BEGAN_US + 1, Request(100, 0, 0, affinity_group=7), "s-0", 1.5)
    recorder.add_session(BEGAN_US + 2, Request(101, 0, 0), "s-0", None)

    def at(ms: int, event: Event, *actions: Action) -> None:
        recorder.take(BEGAN_US + ms * 1000, event, actions)

    def expires(ms: int) -> int:
        return BEGAN_US + ms * 1000 + 500_000

    first = Endpoint("s-1", 0, 0, 0, 0, 1.0, 0)
    second = Endpoint("s-2", 1, 0, 3, 1, 2.5, 44)
    at(1, EndpointListUpdate(2, (first,)))
    at(2, EndpointListUpdate(1, (first, second)))
    at(3, EndpointListUpdate(0, (second._replace(availability=2),)))
    at(4, EndpointListUpdate(3, ()))
    at(10, Request(1, 0, expires(10), affinity_group=77), StartAttempt(1, "s-1", 9000))
    at(11, SessionEstablished(1, 0, "s-1", 1000))
    at(12, SessionReport(1, 0, "s-1", 1, 2.5))
    at(13, SessionReport(1, 0, "s-1", 2, 40.0))
    at(14, TimerFired(1), MigrateSession(1))
    at(15, AttemptEnded(1, 0, "s-1", 0, True, 4000))
    at(20, Request(2, 0, expires(20), is_retry=True), RejectRequest(2, 250_000))
    at(21, Request(3, 0, expires(21), is_migrated=True), FailRequest(3))
    at(22, Request(4, 0, expires(22)), StartAttempt(4, "s-2", 0))
    at(23, ClientDisconnected(4))
    at(24, AttemptEnded(4, 0, "s-2", 6, True, 2000))
    at(25, Request(5, 0, expires(25)))
    at(26, ClientDisconnected(5))
    at(30, Request(6, 0, expires(30)))
    for result in range(1, 8):
        at(30 + result, TimerFired(1), StartAttempt(6, "s-2", 100))
        at(30 + result, AttemptEnded(6, result - 1, "s-2", result, result == 7, 10 * result))
    for result in range(8):
        at(40 + result, HealthCheckEnded("s-1", result, 100 + result, (0.25, 0.5) if result == 0 else ()))
    recorder.flush(BEGAN_US + 49_000)
    recorder.update_settings(BEGAN_US + 50_000, replace(settings, classes=(view, edit)))
    at(51, Request(7, 1, expires(51), affinity_group=77), StartAttempt(7, "s-1", 0))
    at(52, SessionEstablished(7, 0, "s-1", 900))
    recorder.flush(BEGAN_US + 53_000)
    sink.full = True
    at(54, SessionReport(7, 0, "s-1", 1, 3.0))
    recorder.flush(BEGAN_US + 55_000)
    sink.full = False
    recorder.end(BEGAN_US + 60_000)
    return sink.files


def rows_read(path: Path) -> tuple[object, list[list[Any]], bool, str]:
    """What the reader returns for a journal: header, rows, `ended` and `cut`."""
    reading = read_journal(path)
    rows = list(reading.rows())
    return reading.header, rows, reading.ended, reading.cut


def literal_rows(path: Path) -> list[list[Any]]:
    """The rows in the text file beside a recorded file."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def raw_rows(data: bytes) -> list[list[Any]]:
    """A journal's rows with its header, decoded by docs/traffic-format.md without the code's reader."""
    assert data[:8] == b"SFTRAF\x01\x00"
    rows, at = [], 8
    while at < len(data):
        length, checksum = struct.unpack_from("<II", data, at)
        payload = data[at + 8 : at + 8 + length]
        assert zlib.crc32(payload) == checksum
        rows += msgspec.msgpack.decode(payload)
        at += 8 + length
    return rows


def test_the_recorded_files_hold_every_kind_of_row_and_every_result() -> None:
    rows = [row for path in (JOURNAL, LATER_JOURNAL) for row in raw_rows(path.read_bytes())]
    assert {row[0] for row in rows} == set(range(17))
    assert {row[3] for row in rows if row[0] in (4, 12)} == set(range(8))
    assert {row[2] for row in rows if row[0] == 11} == {0, 1, 2, 3}


def test_the_recorder_writes_the_recorded_bytes() -> None:
    expected = [JOURNAL.read_bytes(), LATER_JOURNAL.read_bytes()]
    written = written_files()
    # The rows are compared before the bytes, since a difference between rows is easier to read.
    assert [raw_rows(data) for data in written] == [raw_rows(data) for data in expected]
    assert written == expected


@pytest.mark.parametrize(("path", "ended"), [(JOURNAL, False), (LATER_JOURNAL, True)])
def test_a_recorded_file_is_read_as_the_rows_of_its_text_file(path: Path, ended: bool) -> None:
    header, *rows = literal_rows(path.with_suffix(".rows.jsonl"))
    assert rows_read(path) == (header[1], rows, ended, "")


def test_a_node_writes_a_journal_with_the_expected_name_and_header(tmp_path: Path) -> None:
    conf = tmp_path / "stepflow.conf"
    conf.write_text(f"record {{\n folder {tmp_path}/traffic\n key {KEY}\n segment 64K\n}}\n")
    node = Node(FakeEndpoint("s-1"))
    node.env["STEPFLOW_CONF"] = str(conf)
    with node:
        assert node.client(open_line(wait_ms=30_000)).read() == "UP r1"
        node.terminate()
        node.wait_for_log("counters: ")
        process = node.process.pid
    (path,) = (tmp_path / "traffic").iterdir()
    assert re.fullmatch(rf"traffic-\d{{16}}-00001-{process:04d}\.sft", path.name)
    rows = raw_rows(path.read_bytes())
    assert rows[0][1].pop("began_us") > BEGAN_US
    assert rows[0] == [
        0,
        {
            "version": 1,
            "node": "n0",
            "zones": ["a"],
            "kinds": ["k"],
            "fields": ["x0", "x1", "util"],
            "balancers": 1,
            "classes": [{"name": "view", "aim_us": 300_000, "deadline_us": 1_200_000, "worth": 1.0}],
        },
    ]
    assert {0, 1, 2, 3, 11, 16} <= {row[0] for row in rows}


COLUMNS = {
    "connections": [
        ("node", "string"),
        ("run", "int64"),
        ("id", "int64"),
        ("at_us", "int64"),
        ("class", "string"),
        ("group", "int64"),
        ("wait_us", "int64"),
        ("repeated", "bool"),
        ("returned", "bool"),
        ("stood", "bool"),
        ("server", "string"),
        ("attempts", "int64"),
        ("connect_us", "int64"),
        ("up_us", "int64"),
        ("answer", "string"),
        ("end_us", "int64"),
        ("end", "string"),
        ("moved", "bool"),
        ("load", "double"),
        ("loads", "int64"),
    ],
    "attempts": [
        ("node", "string"),
        ("run", "int64"),
        ("id", "int64"),
        ("at_us", "int64"),
        ("server", "string"),
        ("timeout_us", "int64"),
        ("result", "string"),
        ("wait_us", "int64"),
    ],
    "loads": [("node", "string"), ("run", "int64"), ("id", "int64"), ("at_us", "int64"), ("load", "double")],
    "lists": [
        ("node", "string"),
        ("at_us", "int64"),
        ("form", "string"),
        ("server", "string"),
        ("zone", "int64"),
        ("kind", "int64"),
        ("state", "int64"),
        ("size", "double"),
        ("started_us", "int64"),
    ],
    "probes": [
        ("node", "string"),
        ("at_us", "int64"),
        ("server", "string"),
        ("result", "string"),
        ("wait_us", "int64"),
        ("report", "list<double>"),
    ],
}


@pytest.fixture(scope="module")
def trace(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The trace of the recorded files, made by `stepflow fleet convert`."""
    folder = tmp_path_factory.mktemp("trace") / "made"
    assert main(["fleet", "convert", str(JOURNAL), str(LATER_JOURNAL), "-o", str(folder)]) == 0
    return folder


def test_a_trace_has_the_expected_files(trace: Path) -> None:
    assert {path.name for path in trace.iterdir()} == {"trace.json", *(f"{name}.parquet" for name in COLUMNS)}


@pytest.mark.parametrize("table", COLUMNS)
def test_each_table_of_a_trace_has_the_expected_columns_and_rows(trace: Path, table: str) -> None:
    found = parquet.read_table(trace / f"{table}.parquet")
    types = [(field.name, re.sub(r"<\w+: ", "<", str(field.type))) for field in found.schema]
    assert types == COLUMNS[table]
    rows = [list(row.values()) for row in found.to_pylist()]
    assert rows == [row[1:] for row in literal_rows(TRACE_ROWS) if row[0] == table]


def sources() -> list[dict[str, object]]:
    """The manifest's entries for the recorded files."""
    common = {"node": "n0", "cut": ""}
    return [
        {"path": str(JOURNAL), "ended": False, "lost": 0, "rows": 53, **common},
        {"path": str(LATER_JOURNAL), "ended": True, "lost": 1, "rows": 6, **common},
    ]


def test_the_manifest_of_a_trace_has_the_expected_keys_and_values(trace: Path) -> None:
    assert json.loads((trace / "trace.json").read_text()) == {
        "version": 1,
        "from_us": BEGAN_US + 1,
        "to_us": BEGAN_US + 60_000,
        "classes": [{"name": "view", "aim_us": 300_000, "deadline_us": 1_200_000, "worth": 1.5}],
        "kinds": ["k", "j"],
        "zones": ["a", "b"],
        "fields": ["x0", "util"],
        "sources": sources(),
    }


def test_inspect_json_has_the_expected_keys(trace: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["fleet", "inspect", "--json", str(trace)]) == 0
    results = ("OK", "ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "NOT_SENT")
    assert json.loads(capsys.readouterr().out) == {
        "seconds": 0.059999,
        "nodes": ["n0"],
        "servers": 3,
        "list_rows": 6,
        "probes": dict.fromkeys(results, 1),
        "groups": 3,
        "classes": [
            {
                "class": "view",
                "connections": 8,
                "stood": 2,
                "per_s": pytest.approx(100.0016666944449),
                "answers": {"served": 1, "refused": 1, "failed": 1, "left": 2, "": 1},
                "connect_ms": [1.0, 1.0, 1.0],
                "life_s": [0.004, 0.004, 0.004],
                "lives_censored": 2,
                "load": [1.6, 2.0, 2.4],
                "moved": 1,
            }
        ],
        "sources": sources(),
    }
