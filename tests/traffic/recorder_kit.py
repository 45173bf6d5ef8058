"""Records scripted sessions in memory, and counts the rows of a journal."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    ListUpdateKind,
    Request,
    RequestClass,
    SessionEstablished,
    SessionReport,
    SessionReportKind,
    Settings,
    StartAttempt,
)
from stepflow.traffic import Kind, Recorder, read_journal

KEY = "0123456789abcdef"
SETTINGS = Settings(classes=(RequestClass("view"),), load_report_fields=("x0",))
SERVER = Endpoint("s-1", 0, 0, 0, 0, 1.0, 0)


class MemorySink:
    """A sink that keeps each file's bytes; it drops all blocks while `full`."""

    def __init__(self) -> None:
        self.files: list[bytearray] = []
        self.full = False

    def put(self, data: bytes, begins: bool) -> bool:
        if self.full:
            return False
        if begins:
            self.files.append(bytearray())
        self.files[-1] += data
        return True


def record_sessions(sessions: int, segment: int = 1 << 30, flush_each: bool = True) -> MemorySink:
    """Record `sessions` sessions, each established and with a reported load; every second one ends."""
    sink = MemorySink()
    recorder = Recorder(sink, KEY, "n0", 1_000_000, SETTINGS, segment)
    recorder.take(1_000_000, EndpointListUpdate(ListUpdateKind.FULL, (SERVER,)), [])
    for id in range(sessions):
        now = 1_000_000 + id * 10
        request = Request(id, 0, now + 500_000, affinity_group=77)
        recorder.take(now, request, [StartAttempt(id, "s-1", 9)])
        recorder.take(now + 1, SessionEstablished(id, 0, "s-1", 1), [])
        recorder.take(now + 2, SessionReport(id, 0, "s-1", SessionReportKind.LOAD, 2.5), [])
        if id % 2:
            recorder.take(now + 3, AttemptEnded(id, 0, "s-1", AttemptResult.OK, True, 3), [])
        if flush_each:
            recorder.flush(now + 4)
    recorder.end(1_000_000 + sessions * 10)
    return sink


def count_kinds(path: Path) -> Counter[str]:
    """Count a journal's rows of each kind."""
    return Counter(Kind(row[0]).name for row in read_journal(path).rows())
