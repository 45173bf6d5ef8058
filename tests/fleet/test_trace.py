"""Traces: the tables made from journals, and errors for a damaged, newer or unexpected trace."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq
import pytest

from stepflow.fleet import Trace, TraceError, convert
from stepflow.fleet.streams import stream
from stepflow.fleet.trace import SCHEMAS, summary
from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    RejectRequest,
    Request,
    SessionEstablished,
    SessionReport,
    SessionReportKind,
    StartAttempt,
)
from stepflow.traffic import Recorder
from tests.command_kit import command
from tests.traffic.recorder_kit import KEY, SERVER, SETTINGS, MemorySink

BEGAN = 10_000_000


class Script:
    """Records scripted sessions; `save` writes the journals and converts them."""

    def __init__(self, segment: int = 1 << 30) -> None:
        self.sink = MemorySink()
        self.recorder = Recorder(self.sink, KEY, "n0", BEGAN, SETTINGS, segment)
        self.feed(0, EndpointListUpdate(ListUpdateKind.FULL, (SERVER,)))

    def feed(self, ms: int, event: Event, *actions: Action) -> None:
        self.recorder.take(BEGAN + ms * 1000, event, list(actions))

    def open(self, id: int, ms: int, cls: int = 0) -> None:
        self.feed(
            ms, Request(id, cls, BEGAN + ms * 1000 + 500_000, affinity_group=3), StartAttempt(id, "s-1", 9)
        )

    def up(self, id: int, ms: int) -> None:
        self.feed(ms, SessionEstablished(id, 0, "s-1", 20_000))

    def load(self, id: int, ms: int, load: float) -> None:
        self.feed(ms, SessionReport(id, 0, "s-1", SessionReportKind.LOAD, load))

    def end(self, id: int, ms: int, result: AttemptResult = AttemptResult.OK) -> None:
        self.feed(ms, AttemptEnded(id, 0, "s-1", result, True, 5))

    def journals(self, folder: Path) -> list[Path]:
        self.recorder.end(BEGAN + 60_000_000)
        paths = [folder / f"j{number}" for number in range(len(self.sink.files))]
        for path, data in zip(paths, self.sink.files, strict=True):
            path.write_bytes(data)
        return paths

    def save(self, folder: Path) -> Trace:
        convert(self.journals(folder), folder / "trace")
        return Trace(folder / "trace")


def rows(trace: Trace, table: str = "connections") -> list[dict[str, Any]]:
    found = trace.table(table).to_pylist()
    return sorted(found, key=lambda row: row.get("id", 0))


def test_a_session_its_loads_and_its_attempts_become_rows(tmp_path: Path) -> None:
    script = Script()
    script.open(1, 100)
    script.up(1, 120)
    script.load(1, 1000, 2.0)
    script.load(1, 3000, 5.0)
    script.end(1, 4000)
    trace = script.save(tmp_path)
    (row,) = rows(trace)
    assert (row["at_us"], row["up_us"], row["end_us"]) == (10_100_000, 10_120_000, 14_000_000)
    assert (row["class"], row["server"], row["answer"], row["end"]) == ("view", "s-1", "served", "ok")
    assert (row["attempts"], row["connect_us"], row["loads"], row["load"]) == (1, 20_000, 2, 3.0)
    assert [row["load"] for row in rows(trace, "loads")] == [2.0, 5.0]
    assert [row["result"] for row in rows(trace, "attempts")] == ["OK"]


def test_all_attempts_of_a_request_belong_to_one_connection(tmp_path: Path) -> None:
    script = Script()
    script.open(1, 100)
    script.feed(200, AttemptEnded(1, 0, "s-1", AttemptResult.FULL, False, 5), StartAttempt(1, "s-2", 9))
    script.up(1, 220)
    script.open(2, 300)
    script.feed(400, AttemptEnded(2, 0, "s-1", AttemptResult.RESET, False, 5), RejectRequest(2, 70))
    trace = script.save(tmp_path)
    first, second = rows(trace)
    assert (first["attempts"], first["server"], first["end"]) == (2, "s-2", "")
    assert (second["attempts"], second["answer"], second["end"]) == (1, "refused", "refused")
    assert [row["result"] for row in rows(trace, "attempts")] == ["FULL", "OK", "RESET"]


def test_a_session_still_established_is_censored_at_the_last_row(tmp_path: Path) -> None:
    script = Script()
    script.open(1, 100)
    script.up(1, 120)
    trace = script.save(tmp_path)
    (row,) = rows(trace)
    assert row["end"] == "" and row["end_us"] == BEGAN + 60_000_000
    summarized = summary(trace)
    assert summarized["classes"][0]["lives_censored"] == 1 and summarized["classes"][0]["life_s"] is None


def test_a_session_over_several_files_is_one_row_that_stood_if_the_first_is_missing(tmp_path: Path) -> None:
    script = Script(segment=400)
    script.open(1, 0)
    script.up(1, 1)
    for second in range(1, 30):
        script.load(1, second * 1000, float(second))
        script.recorder.flush(BEGAN + second * 1_000_000)
    script.end(1, 40_000)
    paths = script.journals(tmp_path)
    assert len(paths) > 3
    convert(paths, tmp_path / "whole")
    convert(paths[2:], tmp_path / "late")
    (row,) = rows(Trace(tmp_path / "whole"))
    assert not row["stood"] and row["loads"] == 29 and row["end"] == "ok"
    (late,) = rows(Trace(tmp_path / "late"))
    assert late["stood"] and 0 < late["loads"] < 29 and late["end"] == "ok" and late["up_us"] > row["up_us"]


def test_a_class_without_connections_has_an_empty_summary(tmp_path: Path) -> None:
    summarized = summary(Script().save(tmp_path))
    (cls,) = summarized["classes"]
    assert cls["connections"] == 0 and cls["connect_ms"] is None and cls["answers"] == {}


def test_the_manifest_says_where_a_journal_was_cut_off(tmp_path: Path) -> None:
    script = Script()
    script.open(1, 0)
    (path,) = script.journals(tmp_path)
    path.write_bytes(path.read_bytes()[:-3])
    manifest = convert([path], tmp_path / "trace")
    assert "cut off within a block" in manifest.sources[0].cut and not manifest.sources[0].ended


def test_an_existing_folder_is_an_error_and_a_failed_conversion_leaves_no_files(tmp_path: Path) -> None:
    path = tmp_path / "j"
    path.write_bytes(b"nonsense")
    done = command("fleet", "convert", str(path), "-o", str(tmp_path / "trace"))
    assert done.returncode == 2 and done.stderr.endswith(f"stepflow: {path}: not a journal of traffic\n")
    assert [one.name for one in tmp_path.iterdir()] == ["j"]
    (tmp_path / "trace").mkdir()
    with pytest.raises(TraceError, match=": already exists"):
        convert([path], tmp_path / "trace")


@pytest.mark.parametrize(
    ("file", "damage", "message"),
    [
        ("trace.json", lambda data: data.replace(b'"version": 1', b'"version": 9'), "a trace of version 9"),
        ("trace.json", lambda data: data[:-5], "trace.json: Input data was truncated"),
        ("trace.json", lambda data: b"{}", "missing required field `version`"),
        ("connections.parquet", lambda data: data[:-9], "cut off, or not a Parquet file"),
        ("connections.parquet", lambda data: b"", "cut off, or not a Parquet file"),
    ],
)
def test_a_damaged_trace_is_an_error_of_one_line(
    tmp_path: Path, file: str, damage: Any, message: str
) -> None:
    path = Script().save(tmp_path).folder / file
    path.write_bytes(damage(path.read_bytes()))
    done = command("fleet", "inspect", str(tmp_path / "trace"))
    assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize(("name", "type_"), [("load", pa.int64()), ("other", pa.float64())])
def test_an_unexpected_schema_is_an_error_that_names_the_column(
    tmp_path: Path, name: str, type_: Any
) -> None:
    trace = Script().save(tmp_path)
    schema = pa.schema(
        [
            (name if f.name == "load" else f.name, type_ if f.name == "load" else f.type)
            for f in SCHEMAS["connections"]
        ]
    )
    pq.write_table(schema.empty_table(), trace.folder / "connections.parquet")
    with pytest.raises(TraceError, match="connections.parquet: unexpected schema: .*load"):
        trace.table("connections")


def test_inspect_prints_a_summary_as_text_and_as_json(tmp_path: Path) -> None:
    script = Script()
    script.open(1, 100)
    script.up(1, 120)
    script.end(1, 4000)
    script.save(tmp_path)
    plain = command("fleet", "inspect", str(tmp_path / "trace"))
    assert plain.returncode == 0 and "view" in plain.stdout and "answers served 1" in plain.stdout
    summarized = json.loads(command("fleet", "inspect", "--json", str(tmp_path / "trace")).stdout)
    assert summarized["servers"] == 1 and summarized["classes"][0]["life_s"] == [3.88, 3.88, 3.88]


def test_a_random_stream_depends_on_its_seed_and_names_only() -> None:
    draws = [
        stream(seed, *names).random()
        for seed, *names in ((1, "a"), (1, "a"), (1, "b"), (2, "a"), (1, "a", 0))
    ]
    assert draws[0] == draws[1] and len(set(draws)) == 4
