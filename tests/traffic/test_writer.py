"""The recorder's files: their number, names and order, and disk errors."""

from __future__ import annotations

import os
from pathlib import Path

from stepflow.traffic import Writer
from stepflow.traffic.writer import MAX_PENDING_BYTES, journals
from tests.node_kit import TIMEOUT_S


def test_the_writer_keeps_max_files_files_and_drops_blocks_after_a_permanent_error(tmp_path: Path) -> None:
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


def test_pending_bytes_are_bounded_while_the_disk_hangs(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "hang")
    writer = Writer(str(tmp_path), 3, lambda: 0)
    writer._begin_file = lambda: setattr(writer, "_file", os.open(tmp_path / "hang", os.O_RDWR))  # type: ignore[method-assign]
    taken = sum(writer.put(bytes(1 << 20), number == 0) for number in range(20))
    assert taken <= MAX_PENDING_BYTES // (1 << 20) + 2


def test_the_newest_file_is_kept_though_the_wall_clock_was_set_back_between_processes(tmp_path: Path) -> None:
    """Guards against a newest file whose name has an earlier time, and which is removed as the oldest."""
    for stamp, data in ((9_000_000, b"old"), (5_000_000, b"new")):
        writer = Writer(str(tmp_path), 2, lambda stamp=stamp: stamp)  # type: ignore[misc]
        for number in range(2):
            assert writer.put(data + b"%d" % number, True)
        writer.close(TIMEOUT_S)
    assert [Path(name).read_bytes() for name in journals(str(tmp_path))] == [b"new0", b"new1"]
