"""A session is migrated between two lines, however its endpoint divides its lines into pieces.

Regression: a migration looked for the end of a line at the ends of the pieces only. An endpoint whose pieces
end within a line never came to one, and its client got a FIN without MOVE.
"""

from __future__ import annotations

import threading
import time
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.node.relay.closing import LINGER_TIMEOUT
from stepflow.node.relay.endpoint_lines import EndpointLines
from stepflow.node.runtime.lines import LineScanner
from tests.node.race_kit import set_class
from tests.node.session_kit import SilentEndpoint, hang_within_a_line, read_to_end, session
from tests.node_kit import FakeEndpoint, LineConnection, Node

LINE = b"LOAD 1.5\r\n"


class PieceWriter:
    """Writes LINE again and again, in pieces that end within a line, until the connection ends."""

    def __init__(self, endpoint: LineConnection, interval_s: float, split: int) -> None:
        self._endpoint, self._interval_s = endpoint, interval_s
        self._piece = LINE[split:] + LINE[:split]
        endpoint.sock.sendall(LINE[:split])
        threading.Thread(target=self._write, daemon=True).start()

    def _write(self) -> None:
        try:
            while True:
                time.sleep(self._interval_s)
                self._endpoint.sock.sendall(self._piece)
        except OSError:
            return


def expect_whole_lines_and_move(client: LineConnection) -> None:
    """Read up to the end: each line has to be whole, and MOVE the last one before a FIN."""
    *lines, move, end = read_to_end(client)
    assert (move, end) == ("MOVE", "") and set(lines) == {LINE.decode().rstrip()}


@pytest.mark.parametrize("split", [1, 5, len(LINE) - 1])
def test_sigterm_moves_sessions_whose_endpoints_write_pieces_that_end_within_a_line(split: int) -> None:
    """Guards against a shutdown that cuts such sessions off without MOVE."""
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        PieceWriter(endpoint, 0.1, split)
        assert client.read() == LINE.decode().rstrip()
        node.terminate()
        expect_whole_lines_and_move(client)
        assert "session cut within a line" not in node.wait_exit()


def test_sigterm_moves_a_session_whose_endpoint_seldom_completes_a_line() -> None:
    """Guards against a wait for the line's end that is shorter than the time between two pieces."""
    interval_s = 1.6 * LINGER_TIMEOUT.total_seconds()
    with Node(fake_endpoint := SilentEndpoint(), edit_config=set_class(give_up_us=3_000_000)) as node:
        client, endpoint = session(node, fake_endpoint)
        PieceWriter(endpoint, interval_s, 4)
        assert client.read() == LINE.decode().rstrip()
        node.terminate()
        expect_whole_lines_and_move(client)


def test_session_of_a_hung_endpoint_is_moved_though_its_last_piece_ends_within_a_line() -> None:
    """Guards against a stalled session that is cut off since the next line has begun in the same piece."""
    with Node(endpoint := FakeEndpoint("s-1", X=None)) as node:
        first, pieces = hang_within_a_line(node, endpoint)
        pieces.sock.sendall(b"one there\r\nX 2 half")
        assert read_to_end(first) == ["X 1 anyone there", "MOVE", ""]


def test_held_half_line_is_forwarded_when_the_endpoint_ends_before_the_move() -> None:
    """Guards against bytes that are held back for a move and then lost with another end."""
    with Node(fake_endpoint := SilentEndpoint(), edit_config=set_class(give_up_us=3_000_000)) as node:
        client, endpoint = session(node, fake_endpoint)
        node.terminate()
        node.wait_for_log("shutdown started")
        endpoint.sock.sendall(b"LOAD 1\r\nM ha")
        assert client.read() == "LOAD 1"
        endpoint.close()
        assert read_to_end(client) == ["M ha", ""]


@given(
    st.lists(st.text("ab", max_size=4).map(lambda text: f"{text}\r\n".encode()), max_size=6).map(b"".join),
    st.lists(st.integers(0, 40), max_size=8),
    st.integers(0, 8),
)
def test_forwarded_bytes_are_a_prefix_that_ends_with_a_line_once_one_has_ended(
    stream: bytes, cuts: list[int], holds_from: int
) -> None:
    """Guards against lost, doubled or reordered bytes, whatever the pieces are."""
    borders = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    lines, forwarded, ended_while_holding = EndpointLines(), b"", False
    for number, (start, end) in enumerate(pairwise(borders)):
        if number == holds_from:
            lines.hold_half_lines()
        completed = lines.feed(stream[start:end])
        forwarded += lines.take_forwardable()
        ended_while_holding = ended_while_holding or (bool(completed) and number >= holds_from)
        assert stream.startswith(forwarded)
        assert lines.client_is_between_lines == (not forwarded or forwarded.endswith(b"\r\n"))
        assert lines.client_is_between_lines or not ended_while_holding
    assert forwarded + lines.take_held() == stream


def test_lines_that_are_unread_when_the_next_buffer_comes_are_kept() -> None:
    """Guards against lines lost to the scan when a line's handler feeds the next buffer."""
    scanner = LineScanner()
    scanner.feed(b"1\r\n2\r\n3")
    assert bytes(scanner.next_line() or b"") == b"1"
    scanner.feed(b"3\r\n")
    assert [bytes(line) for line in iter(scanner.next_line, None)] == [b"2", b"33"]
