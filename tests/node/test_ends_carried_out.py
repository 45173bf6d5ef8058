"""The mistake of test_left_waiting.py on other connections and in other phases of a process.

An end that was decided is carried out in its time: by a time-out, an answer, an overlong line, a client that
leaves, does not read, or is behind in reading, during a shutdown and after a hand-over. The process is held
up as there, or the other side is in its way.
"""

from __future__ import annotations

import errno
import time

import pytest

from standins.preload import Call, Machine
from tests.node.machine_kit import OWED_END_S, expect_end, hold_up, on, write_lines
from tests.node.race_kit import set_class
from tests.node.session_kit import (
    LAST,
    SilentPeer,
    flood,
    held_still,
    many,
    read_to_end,
    session,
    slow_session,
)
from tests.node_kit import PATIENCE, Line, Node, Peer, opening

SHORT_REQUEST_S = 0.4
SILENT_SESSION_S = 7.0  # PROTOCOL: a session that brings nothing back is ended or moved within this time
ECHOED_LINES = 100  # more than a session remembers the times of
ONCE = set_class(effect="once")
LONG_SHUTDOWN = set_class(give_up_us=3_000_000)


@pytest.mark.parametrize("answer", ["BYE", "ERR"])
def test_an_answer_counts_though_its_endpoint_goes_on_without_end(answer: str) -> None:
    """The connection is reset for it, and the client is answered when that is done."""
    with Node(peer := SilentPeer(up=None), change=ONCE) as node:
        client = node.client(opening())
        endpoint = peer.standing.get(timeout=PATIENCE)
        began = time.monotonic()
        with held_still(node):
            endpoint.send(answer, *many(110))
        client.sock.settimeout(OWED_END_S)
        assert read_to_end(client) == [answer, ""]
        expect_end(node, endpoint, began)


def test_a_request_is_tried_again_though_the_endpoint_that_rejects_it_goes_on_without_end() -> None:
    with Node(peer := SilentPeer(up=None), change=ONCE) as node:
        client = node.client(opening())
        endpoint = peer.standing.get(timeout=PATIENCE)
        began = time.monotonic()
        with held_still(node):
            endpoint.send("BUSY", *many(110))
        peer.standing.get(timeout=0.5).send("UP r1")
        assert client.read() == "UP r1"
        expect_end(node, endpoint, began)


@pytest.mark.parametrize("extra", ["", ",at=s-1"])
def test_a_request_is_answered_in_time_though_its_endpoint_writes_at_the_time_out(
    machine: Machine, extra: str
) -> None:
    wait_ms = int(SHORT_REQUEST_S * 1000)
    with on(machine, Node(peer := SilentPeer(up=None), change=ONCE)) as node:
        hold_up(machine)
        began = time.monotonic()
        client = node.client(opening(d=wait_ms, extra=extra))
        endpoint = peer.standing.get(timeout=PATIENCE)
        write_lines(endpoint, "LOAD 1", SHORT_REQUEST_S + 0.3)
        expect_end(node, endpoint, began + SHORT_REQUEST_S)
        client.sock.settimeout(0.2)
        assert client.read() in ("BUSY", "ERR")


def test_an_attempt_ends_with_its_client_though_its_endpoint_writes(machine: Machine) -> None:
    with on(machine, Node(peer := SilentPeer(up=None))) as node:
        client = node.client(opening())
        hold_up(machine)
        endpoint = peer.standing.get(timeout=PATIENCE)
        began = time.monotonic()
        client.close(reset=True)
        write_lines(endpoint, "LOAD 1")
        expect_end(node, endpoint, began)


def test_a_health_check_that_fails_ends_though_its_endpoint_writes(machine: Machine) -> None:
    class Talkative(Peer):
        """Leaves each connection to the test after its first check."""

        def serve(self, line: Line) -> None:
            line.read()
            line.send("PONG x0=0.2,x1=0.0,util=0.2")
            self.held.put(line)

    with on(machine, Node(peer := Talkative("s-1"))) as node:
        node.client(opening())
        endpoint = peer.held.get(timeout=PATIENCE)
        hold_up(machine)
        began = time.monotonic()
        write_lines(endpoint)
        expect_end(node, endpoint, began)


@pytest.mark.parametrize("reset", [False, True])
def test_an_endpoint_that_writes_as_its_client_ends_is_not_left_waiting(
    machine: Machine, reset: bool
) -> None:
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        hold_up(machine)
        began = time.monotonic()
        client.close(reset)
        write_lines(endpoint)
        expect_end(node, endpoint, began)


@pytest.mark.parametrize("by_client", [False, True])
def test_an_overlong_line_ends_both_sides_though_they_write_on(machine: Machine, by_client: bool) -> None:
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        writer, reader = (client, endpoint) if by_client else (endpoint, client)
        hold_up(machine)
        began = time.monotonic()
        writer.send("x" * 5000)
        write_lines(writer)
        expect_end(node, writer, began)
        expect_end(node, reader, began)


def test_a_session_that_neither_side_reads_is_ended() -> None:
    """Both directions are full."""
    with Node(peer := SilentPeer()) as node:
        client, endpoint = slow_session(node, peer)
        began = time.monotonic()
        flood(client)
        flood(endpoint)
        time.sleep(began + SILENT_SESSION_S - time.monotonic())
        for line in (client, endpoint):
            expect_end(node, line, time.monotonic())


def test_a_client_that_is_behind_in_reading_is_ended_with_its_endpoint(machine: Machine) -> None:
    """The process still holds lines for it, too few to stop the endpoint.

    Seen: it stayed for good. The last resort counts what is dropped before it closes, and asked the kernel
    about the endpoint's socket, which was closed: `a timer's call failed`, with ValueError for descriptor -1.
    """
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        machine.fail(Call.SEND_ACCEPTED, 1.0, [errno.EAGAIN])  # as its full buffer does
        began = time.monotonic()
        endpoint.send(*LAST)
        endpoint.close(reset=True)
        expect_end(node, client, began)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_takes_nothing_is_ended_within_a_second_of_its_endpoint(
    machine: Machine, reset: bool
) -> None:
    """Seen: up to 2.5 s. Reading of the endpoint is paused meanwhile, and with it the news of its end."""
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        machine.fail(Call.SEND_ACCEPTED, 1.0, [errno.EAGAIN])  # as its full buffer does
        endpoint.send(*many(110))
        time.sleep(0.3)
        endpoint.close(reset)
        time.sleep(OWED_END_S)
        node.wait_counted("broken", 1)
        node.wait_counted("outlived", 0)
        assert read_to_end(client) == ["RESET"]  # what it never took is dropped


def test_a_client_that_writes_as_its_endpoint_ends_during_a_shutdown(machine: Machine) -> None:
    with on(machine, Node(peer := SilentPeer(), change=LONG_SHUTDOWN)) as node:
        client, endpoint = session(node, peer)
        node.terminate()
        node.wait_log("listens no more")
        hold_up(machine)
        began = time.monotonic()
        endpoint.close(reset=True)
        write_lines(client)
        client.sock.settimeout(began + OWED_END_S - time.monotonic())
        assert read_to_end(client)[-1] in ("", "RESET")


def test_a_client_that_writes_as_its_endpoint_ends_after_a_hand_over(machine: Machine) -> None:
    with on(machine, Node(peer := SilentPeer(), change=LONG_SHUTDOWN)) as node:
        client, endpoint = session(node, peer)
        with node.successor() as successor:
            node.terminate()
            node.process.wait(PATIENCE)
            hold_up(machine)
            began = time.monotonic()
            endpoint.close(reset=True)
            write_lines(client)
            expect_end(successor, client, began)


def test_a_client_that_has_its_answer_and_writes_on_is_ended(machine: Machine) -> None:
    with on(machine, Node()) as node:
        hold_up(machine)
        client = node.client("nonsense")
        began = time.monotonic()
        write_lines(client, "x" * 3000, seconds=OWED_END_S)
        expect_end(node, client, began)


def test_a_session_ends_whose_endpoint_stops_amid_many_lines_without_an_echo() -> None:
    """Seen: its client, which waited for the rest of its echoes, was left to wait.

    Of the lines without an echo only the newest 64 were remembered, so that 64 echoes settled any number of
    them, and nothing was timed any more.
    """
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        client.send(*["M 1"] * 3 * ECHOED_LINES)
        for _ in range(ECHOED_LINES):
            endpoint.send(endpoint.read())
        client.sock.settimeout(SILENT_SESSION_S)
        assert read_to_end(client) == [*["M 1"] * ECHOED_LINES, "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_an_endpoint_ends_while_its_session_is_offered_to_a_process_that_is_halted(reset: bool) -> None:
    """Seen: the client waited for that process, or for the last moves of the old one."""
    with Node(peer := SilentPeer(), change=LONG_SHUTDOWN) as node:
        client, endpoint = session(node, peer)
        with node.successor() as successor:
            time.sleep(0.3)  # until it has told that it serves
            with held_still(successor):
                node.terminate()
                node.wait_log("listens no more")
                time.sleep(0.1)  # until it is offered
                began = time.monotonic()
                endpoint.close(reset)
                client.sock.settimeout(OWED_END_S)
                assert read_to_end(client)[-1] in ("", "RESET")
                assert time.monotonic() - began < OWED_END_S
            node.process.wait(PATIENCE)
            time.sleep(0.3)  # until the other has found that it is over
            assert "in_flight:0" in successor.ops("/v1/metrics")[1]
