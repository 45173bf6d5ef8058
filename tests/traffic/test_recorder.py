"""The first rows of the recorder's files, and its count of dropped rows."""

from __future__ import annotations

from pathlib import Path

from stepflow.interface import ClientDisconnected
from stepflow.traffic import Kind, Recorder, read_journal
from tests.traffic.recorder_kit import KEY, SETTINGS, MemorySink, record_sessions


def test_each_later_file_begins_with_the_list_and_the_established_sessions(tmp_path: Path) -> None:
    files = record_sessions(200, segment=3000).files
    assert len(files) > 3 and all(len(file) < 3000 + 8000 for file in files)
    path = tmp_path / "j"
    path.write_bytes(files[-1])
    rows = list(read_journal(path).rows())
    assert rows[0][0] == Kind.LIST and rows[0][3][0][0] == "s-1"
    sessions = [row for row in rows if row[0] == Kind.STANDING]
    assert sessions and all(row[2] % 2 == 0 and row[5:] == ["s-1", 2.5] for row in sessions)


def test_a_lost_row_counts_the_rows_of_dropped_blocks(tmp_path: Path) -> None:
    sink = MemorySink()
    recorder = Recorder(sink, KEY, "n0", 0, SETTINGS, 1 << 30)
    sink.full = True
    for id in range(5):
        recorder.take(id, ClientDisconnected(id), [])
        recorder.flush(id)
    sink.full = False
    recorder.end(9)
    path = tmp_path / "j"
    path.write_bytes(sink.files[0])
    assert [row[2] for row in read_journal(path).rows() if row[0] == Kind.LOST] == [5]
