"""Sessions through a real node over loopback: from OPEN to their ends, and endpoints that misbehave."""

from __future__ import annotations

from datetime import timedelta

import pytest

from stepflow.node.relay import ECHO_TIMEOUT
from tests.node_kit import TIMEOUT_S, FakeEndpoint, LineConnection, Node, open_line


def test_session_from_open_to_bye() -> None:
    with Node(endpoint := FakeEndpoint("s-1")) as node:
        client = node.client("PING")
        assert client.read() == "PONG"
        client.send(open_line(extra_fields=",x9=odd"))
        assert client.read() == "UP r1"
        head, _, pairs = endpoint.received_lines.get(timeout=TIMEOUT_S).rpartition(" ")
        received = dict(item.split("=") for item in pairs.split(","))
        assert head == open_line().rpartition(" ")[0]
        assert 0 < int(received.pop("d")) < 1000  # the attempt's own timeout, not the client's
        assert received == {"c": "view", "x9": "odd", "g": "5c0f6e1a2b3d4c59"}
        client.send("M 1 hello")
        assert client.read() == "M 1 hello"
        endpoint.connections.get(timeout=TIMEOUT_S).send("LOAD 12.5", "BYE")
        assert [client.read(), client.read()] == ["LOAD 12.5", "BYE"]


def test_session_from_before_the_start_returns_to_its_endpoint() -> None:
    with Node(FakeEndpoint("s-1", OPEN="BUSY"), FakeEndpoint("s-2")) as node:
        assert node.client(open_line(extra_fields=",at=s-2", wait_ms=4_294_967)).read() == "UP r1"
        assert node.client(open_line(2, extra_fields=",at=s-1")).read() == "ERR"
        assert node.client(open_line(3, extra_fields=",at=s-9")).read() == "ERR"  # not in the endpoint list


def test_session_from_before_the_start_is_retried_at_its_full_endpoint() -> None:
    with Node(endpoint := FakeEndpoint("s-1", OPEN="BUSY")) as node:
        client = node.client(open_line(extra_fields=",at=s-1"))
        assert (
            endpoint.received_lines.get(timeout=TIMEOUT_S) and endpoint.answers.update(OPEN="UP r1") is None
        )
        assert client.read() == "UP r1"


def test_overlong_line_ends_the_session() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        client.send("M " + "x" * 5000)
        assert client.read() == "RESET"


@pytest.mark.parametrize("answer", ["BUSY", "ERR", "FIN", "RESET", "garbage", None])
def test_request_is_retried_after_an_endpoint_that_does_not_accept_it(answer: str | None) -> None:
    """With None the endpoint does not answer: its attempt is cancelled before the next one starts."""
    with Node(bad := FakeEndpoint("s-1", OPEN=answer), FakeEndpoint("s-2")) as node:
        for number in range(8):
            assert node.client(open_line(number, wait_ms=5000, group=number + 1)).read() == "UP r1"
        assert bad.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")  # it was tried


@pytest.mark.parametrize("nonsense", ["UP r1\r\nUP r2", "BUSY\r\nBUSY", "ERR\r\nUP r9", "x" * 9000])
def test_duplicate_or_overlong_answer_does_not_affect_other_requests(nonsense: str) -> None:
    with Node(bad := FakeEndpoint("s-1", OPEN=nonsense), FakeEndpoint("s-2")) as node:
        for number in range(6):
            answer = node.client(open_line(number, wait_ms=5000, group=number + 1)).read()
            assert answer in ("UP r1",)
        assert bad.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")


def test_incomplete_answer_before_a_close_is_not_an_answer() -> None:
    class IncompleteAnswerEndpoint(FakeEndpoint):
        def serve(self, line: LineConnection) -> None:
            while line.read() == "STATS":
                line.send(str(self.ANSWERS["STATS"]))
            self.received_lines.put("OPEN")
            line.sock.sendall(b"UP r")
            line.close()

    with Node(incomplete := IncompleteAnswerEndpoint("s-1"), FakeEndpoint("s-2")) as node:
        for number in range(6):
            assert node.client(open_line(number, wait_ms=5000, group=number + 1)).read() == "UP r1"
        assert incomplete.received_lines.get(timeout=TIMEOUT_S)


def test_sessions_of_a_hung_endpoint_are_migrated() -> None:
    """A hung endpoint sends no FIN, and may continue to report loads."""
    with Node(endpoint := FakeEndpoint("s-1", echo=False)) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        client.send("M 1 anyone there")
        endpoint.connections.get(timeout=TIMEOUT_S).send("LOAD 3")
        assert [client.read(), client.read(), client.read()] == ["LOAD 3", "MOVE", ""]


def test_one_stalled_session_among_live_ones_is_migrated_in_time() -> None:
    """Other sessions at the endpoint have echoes, so the session's own echo timeout applies."""
    assert ECHO_TIMEOUT + timedelta(seconds=2) < timedelta(seconds=7)  # clients send a line every 2 s
    with Node(FakeEndpoint("s-1", X=None)) as node:
        silent, other = node.client(open_line()), node.client(open_line(2))
        assert [silent.read(), other.read()] == ["UP r1"] * 2
        silent.send("X 1 anyone there")
        while not silent.is_readable_within(0.1):
            other.send("M 1")
            assert other.read() == "M 1"
        assert silent.read() == "MOVE"
