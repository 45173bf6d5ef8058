"""Malformed and late first lines of client connections, over loopback."""

from __future__ import annotations

import signal
from contextlib import suppress

import pytest

from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line


@pytest.mark.parametrize(
    "line",
    [
        "HELLO",
        "OPEN",
        open_line().replace("c=view", "c=chat"),
        open_line(extra_fields=",c=view"),
        open_line().replace("d=1000", "d=soon"),
        open_line().replace("7f3a9c21e0b4d655", "key"),
        open_line().replace("OPEN 0", "OPEN +"),
        open_line().replace("OPEN 00", "OPEN 0_"),
        open_line().replace("7f3a9c21e0b4d655", "0x7f"),
        open_line().replace("7f3a9c21e0b4d655", "f" * 400),
        open_line(extra_fields=",\x00=1"),
        open_line(extra_fields=",h=nan"),
        open_line(extra_fields=",h=inf"),
        open_line(extra_fields=",h=-1"),
        open_line(extra_fields=",h=1e999"),
        open_line(wait_ms=-1),
        open_line(wait_ms=999_999_999),
        open_line().replace(",g=", ",g=-"),
        open_line(extra_fields="," + "x" * 5000 + "=1"),
        open_line(9) + "\r\n" + open_line(8),  # a client must wait for its answer after its line
        open_line(9) + "\r\nM 1",
        "PING\r\n" * 300,
        "x" * 3_000_000,  # a reset must not overtake the answer
    ],
)
def test_malformed_first_line_is_answered_and_reaches_no_endpoint(line: str) -> None:
    with Node(endpoint := FakeEndpoint("s-1")) as node:
        client = node.client()
        with suppress(OSError):  # the node may stop reading
            client.send(line)
        assert client.read() == "ERR malformed"
        assert node.client(open_line()).read() == "UP r1"  # the node still serves
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN 0000000000000001 ")


def test_id_of_another_open_request_is_malformed() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        assert node.client(open_line()).read() == "ERR malformed"
        client.send("M 1 unharmed")
        assert client.read() == "M 1 unharmed"


def test_data_before_the_answer_cancels_the_request() -> None:
    with Node(endpoint := FakeEndpoint("s-1", OPEN=None)) as node:
        client = node.client(open_line(wait_ms=30_000))
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
        client.send("M 1")
        assert client.read() == "ERR malformed"
        node.process.send_signal(signal.SIGUSR1)
        node.wait_for_log("counters: .* malformed=1 .* left=1 ")


@pytest.mark.parametrize("part", ["", "OPEN 00", "PING\r\n"])
def test_client_without_a_complete_open_line_times_out(part: str) -> None:
    with Node(FakeEndpoint("s-1")) as node:
        client = node.client()
        client.sock.sendall(part.encode())
        assert client.read() == ("PONG" if "PING" in part else "ERR too slow")
        if "PING" in part:
            assert client.read() == "ERR too slow"
        assert client.read() == ""
