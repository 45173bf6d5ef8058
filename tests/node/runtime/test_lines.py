"""Splitting a stream into lines."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepflow.node.runtime.lines import MAX_LINE_BYTES, LineBlocks, LineScanner


@settings(derandomize=True, deadline=None)
@given(st.lists(st.text(alphabet="ab\r\n", max_size=6)), st.lists(st.integers(1, 5)))
def test_lines_are_the_same_however_the_stream_is_cut(texts: list[str], cuts: list[int]) -> None:
    stream = "".join(text + "\r\n" for text in texts).encode() + b"half"
    scanner, found, position = LineScanner(), [], 0
    for size in [*cuts, len(stream)]:
        scanner.feed(stream[position : position + size])
        position += size
        while (line := scanner.next_line()) is not None:
            found.append(bytes(line))
    assert found == stream.split(b"\r\n")[:-1]
    assert not scanner.between_lines and scanner.rest() == b"half" and scanner.between_lines


@pytest.mark.parametrize(("size", "overlong"), [(4094, False), (4095, True)])
def test_a_line_may_have_4_kib_including_its_delimiter(size: int, overlong: bool) -> None:
    scanner = LineScanner()
    scanner.feed(b"x" * size + b"\r\n")
    assert (scanner.next_line() is None) == overlong == scanner.overlong


LINES = st.lists(
    st.one_of(
        st.text(alphabet="ab\r\n", max_size=4).map(str.encode),
        st.integers(MAX_LINE_BYTES - 4, MAX_LINE_BYTES).map(lambda size: b"x" * size),
    ),
    max_size=6,
)


@settings(derandomize=True, deadline=None)
@given(LINES, st.lists(st.integers(1, 6000)))
def test_blocks_have_the_lines_that_a_scan_finds_one_by_one(lines: list[bytes], sizes: list[int]) -> None:
    """Guards against lines lost, doubled or taken for too long where a piece is counted as a whole."""
    stream = b"".join(line + b"\r\n" for line in lines) + b"half"
    scanner, blocks, position = LineScanner(), LineBlocks(), 0
    for size in [*sizes, len(stream)]:
        piece = stream[position : position + size]
        position += size
        scanner.feed(piece)
        found = [bytes(line) for line in iter(scanner.next_line, None)]
        assert blocks.feed(piece).split(b"\r\n")[:-1] == found
        assert blocks.overlong == scanner.overlong
        if scanner.overlong:
            return
        assert blocks.half_line == scanner.half_line
