"""Sessions that send small lines without a pause: what a piece of the stream costs, and what others notice.

Regression: the relay handled each line on its own, a second for one read of 32,000 empty lines.
"""

from __future__ import annotations

import threading
import time
from contextlib import suppress
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.interface import AttemptResult
from stepflow.node.relay.endpoint_words import MAX_LOADS, read_words
from stepflow.node.relay.pending_echoes import MAX_TIMED_LINES, PendingEchoes
from tests.node_kit import FakeEndpoint, LineConnection, Node, open_line

FLOODS = 8
FLOOD_S = 3.0
MAX_HELD_S = 1.05  # "if a line is held back for more than a second", and 50 ms


class SinkEndpoint(FakeEndpoint):
    """An endpoint that reads all that a session sends, in large pieces, and answers nothing."""

    def serve(self, line: LineConnection) -> None:
        while (text := line.read()) not in ("", "RESET"):
            if text.startswith("OPEN "):
                line.send("UP r1")
                while line.sock.recv(1 << 16):
                    pass
                return
            line.send("PONG x0=0.2,x1=0.0,util=0.2")


class LoadEndpoint(FakeEndpoint):
    """An endpoint that reports loads without a pause."""

    def serve(self, line: LineConnection) -> None:
        while (text := line.read()) not in ("", "RESET"):
            if text.startswith("OPEN "):
                line.send("UP r1")
                while True:
                    line.sock.sendall(b"LOAD 1\r\n" * 8000)
            line.send("PONG x0=0.2,x1=0.0,util=0.2")


def send_until(line: LineConnection, data: bytes, until: float) -> None:
    """Send `data` again and again, and read what comes, until the time is over or the session ends."""
    reader = threading.Thread(target=read_all, args=[line], daemon=True)
    reader.start()
    with suppress(OSError):
        while time.monotonic() < until:
            line.sock.sendall(data)


def read_all(line: LineConnection) -> None:
    with suppress(OSError, ValueError):
        while line.sock.recv(1 << 16):
            pass


@pytest.mark.parametrize("data", [b"\r\n" * 32_000, b"M 1\r\n" * 13_000, b""])
def test_lines_of_others_are_not_held_back_while_sessions_flood(data: bytes) -> None:
    """Guards against a client, or an endpoint that reports loads, whose small lines hold up all sessions."""
    flooded = SinkEndpoint("s-2") if data else LoadEndpoint("s-2")
    with Node(FakeEndpoint("s-1"), flooded) as node:
        other = node.client(open_line(99, ",at=s-1"))
        assert other.read() == "UP r1"
        floods = [node.client(open_line(number, ",at=s-2")) for number in range(1, FLOODS + 1)]
        assert [flood.sock.recv(7) for flood in floods] == [b"UP r1\r\n"] * FLOODS
        until = time.monotonic() + FLOOD_S
        for flood in floods:
            arguments = (flood, data, until) if data else (flood,)
            threading.Thread(target=send_until if data else read_all, args=arguments, daemon=True).start()
        longest = 0.0
        while time.monotonic() < until:
            sent_at = time.monotonic()
            other.send("M 1 quiet")
            assert other.read() == "M 1 quiet"
            longest = max(longest, time.monotonic() - sent_at)
            time.sleep(0.02)
        assert longest < MAX_HELD_S
        for flood in floods:
            flood.close()


ENDPOINT_LINES = st.lists(
    st.sampled_from(
        [
            b"",
            b"M 1",
            b"LOAD 1.5",
            b"LOAD 2",
            b"LOAD x",
            b"LOAD ",
            b"LOAD",
            b"BYE",
            b"BYE ",
            b"BYE x",
            b"MOVE",
            b"MOVE ",
        ]
    ),
    max_size=30,
)


@given(ENDPOINT_LINES)
def test_words_are_those_that_a_scan_finds_line_by_line(lines: list[bytes]) -> None:
    """Guards against words that are missed, or found within a line, where a block is searched as a whole."""
    values: list[float] = []
    result, others = None, 0
    for line in lines:
        if line[:5] == b"LOAD ":
            with suppress(ValueError):
                values.append(float(line[5:]))
        elif line in (b"BYE", b"BYE "):
            result = AttemptResult.OK
        elif line == b"MOVE":
            result = AttemptResult.CANCELLED
        else:
            others += 1
    words = read_words(b"".join(line + b"\r\n" for line in lines))
    assert (words.result, words.other_lines) == (result, others)
    assert list(words.loads) == values[len(values) - len(words.loads) :]
    if sum(line.startswith(b"LOAD ") for line in lines) <= MAX_LOADS:
        assert list(words.loads) == values


@given(
    st.lists(st.tuples(st.integers(0, 2 * MAX_TIMED_LINES), st.integers(0, 3 * MAX_TIMED_LINES)), max_size=5)
)
def test_echoes_that_come_together_count_as_one_by_one(steps: list[tuple[int, int]]) -> None:
    """Guards against a line without an echo that is forgotten, or one with an echo that stays."""
    together, singly, now = PendingEchoes(), PendingEchoes(), timedelta(0)
    for sent, echoed in steps:
        now += timedelta(seconds=1)
        together.add(now, sent)
        singly.add(now, sent)
        now += timedelta(seconds=1)
        found = together.echo(now, echoed)
        each = [singly.echo(now) for _ in range(echoed)]
        assert found.lines == sum(echo.lines for echo in each)
        assert found.latency_sum == sum((echo.latency_sum for echo in each), timedelta(0))
        assert (len(together), together.oldest) == (len(singly), singly.oldest)
