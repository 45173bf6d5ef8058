"""The recorder of traffic: its format under cuts, its bounds, and what a node writes while it serves."""

from __future__ import annotations

import errno
import os
import signal
import time
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.preload import Call, Machine
from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
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
from stepflow.traffic import JournalError, Kind, Recorder, Writer, read_journal
from stepflow.traffic import journal as form
from stepflow.traffic.writer import MAX_PENDING_BYTES, journals
from tests.node_kit import PATIENCE, Node, Peer, opening

KEY = "0123456789abcdef"
SETTINGS = Settings(classes=(RequestClass("view"),), load_report_fields=("x0",))
SERVER = Endpoint("s-1", 0, 0, 0, 0, 1.0, 0)


class Kept:
    """A sink that keeps each file's bytes; it takes nothing while `full`."""

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


def recorded(sessions: int, segment: int = 1 << 30, flush_each: bool = True) -> Kept:
    """So many sessions, each up, told a load of, and ended."""
    sink = Kept()
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


def kinds(path: Path) -> Counter[str]:
    return Counter(Kind(row[0]).name for row in read_journal(path).rows())


def test_what_was_recorded_is_read_and_groups_are_never_raw(tmp_path: Path) -> None:
    path = tmp_path / "j"
    path.write_bytes(recorded(4).files[0])
    reading = read_journal(path)
    rows = list(reading.rows())
    assert reading.header["classes"][0]["name"] == "view" and reading.header["began_us"] == 1_000_000
    assert reading.ended and not reading.cut
    requests = [row for row in rows if row[0] == Kind.REQUEST]
    assert [row[1:4] for row in requests] == [[0, 0, 0], [10, 1, 0], [20, 2, 0], [30, 3, 0]]
    assert len({row[4] for row in requests}) == 1 and requests[0][4] not in (0, 77)
    assert [row[5] for row in requests] == [500_000] * 4


def test_a_cut_at_any_byte_leaves_what_is_whole_and_is_told(tmp_path: Path) -> None:
    whole, path = bytes(recorded(6).files[0]), tmp_path / "j"
    path.write_bytes(whole)
    full = list(read_journal(path).rows())
    seen: set[int] = set()
    for end in range(len(whole)):
        path.write_bytes(whole[:end])
        try:
            reading = read_journal(path)
        except JournalError as fault:
            assert str(fault).startswith(f"{path}: ") and not seen
            continue
        rows = list(reading.rows())
        assert rows == full[: len(rows)] and not reading.ended
        seen.add(len(rows))
        if not reading.cut:  # right behind a block: nothing shows but the missing end
            assert end in _block_ends(whole)
    assert len(seen) > 5 and max(seen) == len(full) - 1  # but for END, whose block holds it alone


def _block_ends(data: bytes) -> set[int]:
    at, ends = form.FILE_HEAD.size, set()
    while at < len(data):
        at += form.BLOCK_HEAD.size + form.BLOCK_HEAD.unpack_from(data, at)[0]
        ends.add(at)
    return ends


@settings(max_examples=150)
@given(st.integers(min_value=0), st.integers(min_value=1, max_value=255))
def test_a_flipped_byte_is_never_read_as_something_else(at: int, by: int) -> None:
    whole = bytearray(recorded(3).files[0])
    path = Path(os.environ.get("TMPDIR", "/tmp")) / f"stepflow-flip-{os.getpid()}"
    path.write_bytes(whole)
    full = list(read_journal(path).rows())
    whole[at % len(whole)] ^= by
    path.write_bytes(whole)
    try:
        reading = read_journal(path)
        rows = list(reading.rows())
        assert reading.cut and rows == full[: len(rows)]
    except JournalError as fault:
        assert "\n" not in str(fault)
    finally:
        path.unlink()


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"", "not a journal"),
        (b"PAR1 and more", "not a journal"),
        (form.FILE_HEAD.pack(form.MAGIC, 0) + b"x" * 20, "not a journal"),
        (form.FILE_HEAD.pack(form.MAGIC, 2) + b"x" * 20, "written in version 2; this reads up to 1"),
        (form.encode_file_head() + form.encode_block(b"\x93\x01\x02\x03", 1), "its first row is no header"),
        (form.encode_file_head() + form.BLOCK_HEAD.pack(1 << 31, 0), "cut off before its header was whole"),
    ],
)
def test_what_is_no_journal_is_turned_down_in_one_line(tmp_path: Path, data: bytes, said: str) -> None:
    path = tmp_path / "j"
    path.write_bytes(data)
    with pytest.raises(JournalError, match=said):
        read_journal(path)


def test_rows_of_later_kinds_pass_and_foreign_ones_end_the_reading(tmp_path: Path) -> None:
    begin, path = bytes(recorded(0).files[0]), tmp_path / "j"
    later = form.encode_block(form.encode_row([99, 1, "new"]) + form.encode_row([Kind.LEFT, 5, 7, "more"]), 2)
    foreign = form.encode_block(form.encode_row([Kind.LEFT, 5]), 1)
    path.write_bytes(begin + later + foreign + later)
    reading = read_journal(path)
    assert [row for row in reading.rows() if row[0] == Kind.LEFT] == [[Kind.LEFT, 5, 7, "more"]]
    assert "kind LEFT with 2 items" in reading.cut


def test_a_later_file_begins_with_the_list_and_what_stands(tmp_path: Path) -> None:
    files = recorded(200, segment=3000).files
    assert len(files) > 3 and all(len(file) < 3000 + 8000 for file in files)
    path = tmp_path / "j"
    path.write_bytes(files[-1])
    rows = list(read_journal(path).rows())
    assert rows[0][0] == Kind.LIST and rows[0][3][0][0] == "s-1"
    stood = [row for row in rows if row[0] == Kind.STANDING]
    assert stood and all(row[2] % 2 == 0 and row[5:] == ["s-1", 2.5] for row in stood)


def test_rows_that_the_disk_does_not_take_are_counted(tmp_path: Path) -> None:
    sink = Kept()
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


def test_the_writer_keeps_a_number_of_files_and_ends_at_an_error(tmp_path: Path) -> None:
    stamps = iter(range(100))
    writer = Writer(str(tmp_path / "t"), 3, lambda: next(stamps))
    for number in range(6):
        assert writer.put(b"%d" % number, True) and writer.put(b"+", False)
    writer.close()
    assert [Path(name).read_bytes() for name in journals(str(tmp_path / "t"))] == [b"3+", b"4+", b"5+"]
    (tmp_path / "file").write_bytes(b"")
    blocked = Writer(str(tmp_path / "file"), 3, lambda: 0)
    assert blocked.put(b"x", True)
    blocked.close()
    assert "file" in blocked.failure and not blocked.put(b"x", True)


def test_the_writer_s_memory_is_bounded_while_the_disk_hangs(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "hang")
    writer = Writer(str(tmp_path), 3, lambda: 0)
    writer._begin_file = lambda: setattr(writer, "_file", os.open(tmp_path / "hang", os.O_RDWR))  # type: ignore[method-assign]
    taken = sum(writer.put(bytes(1 << 20), number == 0) for number in range(20))
    assert taken <= MAX_PENDING_BYTES // (1 << 20) + 2


def record_file(tmp_path: Path, folder: str) -> str:
    path = tmp_path / "op.conf"
    path.write_text(f"record {{\n folder {folder}\n key {KEY}\n segment 64K\n}}\n")
    return str(path)


def test_a_node_records_what_it_serves_and_ends_in_order(tmp_path: Path) -> None:
    node = Node(peer := Peer("s-1"))
    node.env["STEPFLOW_CONF"] = record_file(tmp_path, str(tmp_path / "t"))
    with node:
        for number in range(3):
            client = node.client(opening(number + 1))
            assert client.read() == "UP r1"
            at_peer = peer.standing.get(timeout=PATIENCE)
            at_peer.send("LOAD 12.5")
            assert client.read() == "LOAD 12.5"
            client.close()
        node.terminate()
        node.wait_log("counters: ")
    (path,) = journals(str(tmp_path / "t"))
    found = kinds(Path(path))
    assert [found[name] for name in ("REQUEST", "UP", "LOAD", "OUTCOME", "END")] == [3, 3, 3, 3, 1]
    assert found["LIST"] >= 1 and b"5c0f6e1a2b3d4c59" not in Path(path).read_bytes()


def test_what_the_disk_refuses_for_a_moment_is_written_once_it_takes_it(tmp_path: Path) -> None:
    """The recording had ended for good, with half a block at its end."""
    machine = Machine(tmp_path)
    node = Node(Peer("s-1"))
    node.env.update(machine.env, STEPFLOW_CONF=record_file(tmp_path, str(tmp_path / "t")))
    with node:
        machine.fail(Call.WRITE, 0.7)
        machine.fail(Call.OPEN, 0.7, [errno.ENOSPC, errno.EIO])
        machine.fail(Call.SHORT_WRITE, 0.7)
        answers: Counter[str] = Counter()
        for number in range(40):
            client = node.client(opening(number + 1))
            answers[client.read().split()[0]] += 1
            client.close()
            time.sleep(0.03)
        node.terminate()
        time.sleep(0.4)
        machine.heal()
        node.wait_log("counters: ")
    assert machine.injected(Call.WRITE) + machine.injected(Call.OPEN) > 0
    found = sum((Counter(kinds(Path(path))) for path in journals(str(tmp_path / "t"))), Counter())
    assert (found["REQUEST"], found["LOST"], found["END"]) == (40, 0, 1)
    assert answers == Counter({"UP": found["UP"], "BUSY": found["REFUSE"]})


def test_the_newest_file_stays_though_the_wall_clock_was_set_back_between_two_processes(
    tmp_path: Path,
) -> None:
    """Named by a time before the others', it was removed as the oldest."""
    for stamp, data in ((9_000_000, b"old"), (5_000_000, b"new")):
        writer = Writer(str(tmp_path), 2, lambda stamp=stamp: stamp)  # type: ignore[misc]
        for number in range(2):
            assert writer.put(data + b"%d" % number, True)
        writer.close(PATIENCE)
    assert [Path(name).read_bytes() for name in journals(str(tmp_path))] == [b"new0", b"new1"]


def test_a_full_disk_ends_the_recording_and_not_the_node(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")  # in the folder's place
    node = Node(Peer("s-1"))
    node.env["STEPFLOW_CONF"] = record_file(tmp_path, str(tmp_path / "file"))
    with node:
        node.wait_log("the recording ends, the node goes on")
        assert node.client(opening()).read() == "UP r1"


def test_recording_begins_and_ends_at_a_reload_and_tells_what_stood(tmp_path: Path) -> None:
    path = tmp_path / "op.conf"
    path.write_text("")
    node = Node(Peer("s-1"))
    node.env["STEPFLOW_CONF"] = str(path)
    with node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        record_file(tmp_path, str(tmp_path / "t"))
        node.process.send_signal(signal.SIGHUP)
        node.wait_log("records traffic")
        node.wait_log("event=reloaded")
        path.write_text("")
        node.process.send_signal(signal.SIGHUP)
        node.wait_log("event=reloaded")
        (found,) = journals(str(tmp_path / "t"))
        assert kinds(Path(found))["STANDING"] >= 1 and kinds(Path(found))["END"] == 1
        client.send("M 1")
        assert client.read() == "M 1"
