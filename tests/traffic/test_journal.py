"""Reading journals that are whole, cut off, damaged or malformed."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepflow.traffic import JournalError, Kind, read_journal
from stepflow.traffic import journal as form
from tests.traffic.recorder_kit import record_sessions


def test_a_journal_is_read_back_with_its_affinity_groups_hashed(tmp_path: Path) -> None:
    path = tmp_path / "j"
    path.write_bytes(record_sessions(4).files[0])
    reading = read_journal(path)
    rows = list(reading.rows())
    assert reading.header["classes"][0]["name"] == "view" and reading.header["began_us"] == 1_000_000
    assert reading.ended and not reading.cut
    requests = [row for row in rows if row[0] == Kind.REQUEST]
    assert [row[1:4] for row in requests] == [[0, 0, 0], [10, 1, 0], [20, 2, 0], [30, 3, 0]]
    assert len({row[4] for row in requests}) == 1 and requests[0][4] not in (0, 77)
    assert [row[5] for row in requests] == [500_000] * 4


def test_a_journal_cut_at_any_byte_is_read_up_to_its_last_complete_block(tmp_path: Path) -> None:
    whole, path = bytes(record_sessions(6).files[0]), tmp_path / "j"
    path.write_bytes(whole)
    all_rows = list(read_journal(path).rows())
    row_counts: set[int] = set()
    for end in range(len(whole)):
        path.write_bytes(whole[:end])
        try:
            reading = read_journal(path)
        except JournalError as fault:
            assert str(fault).startswith(f"{path}: ") and not row_counts
            continue
        rows = list(reading.rows())
        assert rows == all_rows[: len(rows)] and not reading.ended
        row_counts.add(len(rows))
        if not reading.cut:  # cut between two blocks: only the missing END row shows it
            assert end in _block_ends(whole)
    assert len(row_counts) > 5 and max(row_counts) == len(all_rows) - 1  # all but END, in its own block


def _block_ends(data: bytes) -> set[int]:
    at, ends = form.FILE_HEAD.size, set()
    while at < len(data):
        at += form.BLOCK_HEAD.size + form.BLOCK_HEAD.unpack_from(data, at)[0]
        ends.add(at)
    return ends


@settings(max_examples=150)
@given(st.integers(min_value=0), st.integers(min_value=1, max_value=255))
def test_a_journal_with_a_flipped_byte_is_read_up_to_the_damaged_block(at: int, by: int) -> None:
    whole = bytearray(record_sessions(3).files[0])
    path = Path(os.environ.get("TMPDIR", "/tmp")) / f"stepflow-flip-{os.getpid()}"
    path.write_bytes(whole)
    all_rows = list(read_journal(path).rows())
    whole[at % len(whole)] ^= by
    path.write_bytes(whole)
    try:
        reading = read_journal(path)
        rows = list(reading.rows())
        assert reading.cut and rows == all_rows[: len(rows)]
    except JournalError as fault:
        assert "\n" not in str(fault)
    finally:
        path.unlink()


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"", "not a journal"),
        (b"PAR1 and more", "not a journal"),
        (form.FILE_HEAD.pack(form.MAGIC, 0) + b"x" * 20, "not a journal"),
        (form.FILE_HEAD.pack(form.MAGIC, 2) + b"x" * 20, "written in version 2; this program reads up to 1"),
        (
            form.encode_file_head() + form.encode_block(b"\x93\x01\x02\x03", 1),
            "its first row is not a header",
        ),
        (form.encode_file_head() + form.BLOCK_HEAD.pack(1 << 31, 0), "its header is incomplete or damaged"),
    ],
)
def test_a_file_that_is_not_a_journal_raises_a_journal_error(
    tmp_path: Path, data: bytes, message: str
) -> None:
    path = tmp_path / "j"
    path.write_bytes(data)
    with pytest.raises(JournalError, match=message):
        read_journal(path)


def test_rows_of_unknown_kinds_are_skipped_and_a_malformed_row_ends_the_reading(tmp_path: Path) -> None:
    begin, path = bytes(record_sessions(0).files[0]), tmp_path / "j"
    unknown = form.encode_block(
        form.encode_row([99, 1, "new"]) + form.encode_row([Kind.LEFT, 5, 7, "more"]), 2
    )
    malformed = form.encode_block(form.encode_row([Kind.LEFT, 5]), 1)
    path.write_bytes(begin + unknown + malformed + unknown)
    reading = read_journal(path)
    assert [row for row in reading.rows() if row[0] == Kind.LEFT] == [[Kind.LEFT, 5, 7, "more"]]
    assert "kind LEFT with 2 items" in reading.cut
