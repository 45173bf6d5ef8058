"""The failure of test_left_waiting.py on other connections and in other phases of a process.

A connection that the node has decided to close is closed in time: after a timeout, an answer, an overlong
line, or a client that leaves, does not read or reads too slowly; also during a shutdown and after a
hand-over. The process is delayed as in that file, or the other side's data or full buffer delays the close.
"""

from __future__ import annotations

import errno
import time

import pytest

from standins.preload import Call, Machine
from tests.node.machine_kit import END_DEADLINE_S, delay_event_loop, expect_end, with_faults, write_lines
from tests.node.race_kit import set_class
from tests.node.session_kit import (
    LAST_LINES,
    SilentEndpoint,
    flood,
    kilobyte_lines,
    read_to_end,
    session,
    small_buffer_session,
    suspended,
)
from tests.node_kit import TIMEOUT_S, FakeEndpoint, LineConnection, Node, open_line

SHORT_REQUEST_S = 0.4
STALLED_SESSION_END_S = 7.0  # PROTOCOL: a session without echoes is ended or migrated within this time
ECHOED_LINES = 100  # more than the number of lines that a session times
EFFECT_ONCE = set_class(effect="once")
LONG_SHUTDOWN = set_class(give_up_us=3_000_000)


@pytest.mark.parametrize("answer", ["BYE", "ERR"])
def test_an_answer_is_relayed_although_its_endpoint_keeps_sending(answer: str) -> None:
    """The node resets the endpoint's connection and answers the client after that."""
    with Node(fake_endpoint := SilentEndpoint(up=None), edit_config=EFFECT_ONCE) as node:
        client = node.client(open_line())
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        began = time.monotonic()
        with suspended(node):
            endpoint.send(answer, *kilobyte_lines(110))
        client.sock.settimeout(END_DEADLINE_S)
        assert read_to_end(client) == [answer, ""]
        expect_end(node, endpoint, began)


def test_a_rejected_request_is_retried_although_its_endpoint_keeps_sending() -> None:
    with Node(fake_endpoint := SilentEndpoint(up=None), edit_config=EFFECT_ONCE) as node:
        client = node.client(open_line())
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        began = time.monotonic()
        with suspended(node):
            endpoint.send("BUSY", *kilobyte_lines(110))
        fake_endpoint.connections.get(timeout=0.5).send("UP r1")
        assert client.read() == "UP r1"
        expect_end(node, endpoint, began)


@pytest.mark.parametrize("extra", ["", ",at=s-1"])
def test_a_request_is_answered_in_time_although_its_endpoint_writes_at_the_timeout(
    machine: Machine, extra: str
) -> None:
    wait_ms = int(SHORT_REQUEST_S * 1000)
    with with_faults(
        machine, Node(fake_endpoint := SilentEndpoint(up=None), edit_config=EFFECT_ONCE)
    ) as node:
        delay_event_loop(machine)
        began = time.monotonic()
        client = node.client(open_line(wait_ms=wait_ms, extra_fields=extra))
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        write_lines(endpoint, "LOAD 1", SHORT_REQUEST_S + 0.3)
        expect_end(node, endpoint, began + SHORT_REQUEST_S)
        client.sock.settimeout(0.2)
        assert client.read() in ("BUSY", "ERR")


def test_an_attempt_ends_when_its_client_leaves_although_its_endpoint_writes(machine: Machine) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint(up=None))) as node:
        client = node.client(open_line())
        delay_event_loop(machine)
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        began = time.monotonic()
        client.close(reset=True)
        write_lines(endpoint, "LOAD 1")
        expect_end(node, endpoint, began)


def test_a_failed_health_check_is_closed_although_its_endpoint_writes(machine: Machine) -> None:
    class HealthCheckEndpoint(FakeEndpoint):
        """Answers one health check on each connection, then leaves the connection to the test."""

        def serve(self, line: LineConnection) -> None:
            line.read()
            line.send("PONG x0=0.2,x1=0.0,util=0.2")
            self.unanswered.put(line)

    with with_faults(machine, Node(fake_endpoint := HealthCheckEndpoint("s-1"))) as node:
        node.client(open_line())
        endpoint = fake_endpoint.unanswered.get(timeout=TIMEOUT_S)
        delay_event_loop(machine)
        began = time.monotonic()
        write_lines(endpoint)
        expect_end(node, endpoint, began)


@pytest.mark.parametrize("reset", [False, True])
def test_an_endpoint_that_writes_as_its_client_ends_is_closed_in_time(machine: Machine, reset: bool) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        client, endpoint = session(node, fake_endpoint)
        delay_event_loop(machine)
        began = time.monotonic()
        client.close(reset)
        write_lines(endpoint)
        expect_end(node, endpoint, began)


@pytest.mark.parametrize("by_client", [False, True])
def test_an_overlong_line_ends_both_sides_although_its_sender_keeps_writing(
    machine: Machine, by_client: bool
) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        client, endpoint = session(node, fake_endpoint)
        writer, reader = (client, endpoint) if by_client else (endpoint, client)
        delay_event_loop(machine)
        began = time.monotonic()
        writer.send("x" * 5000)
        write_lines(writer)
        expect_end(node, writer, began)
        expect_end(node, reader, began)


def test_a_session_that_neither_side_reads_is_ended() -> None:
    """The buffers of both directions are full."""
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = small_buffer_session(node, fake_endpoint)
        began = time.monotonic()
        flood(client)
        flood(endpoint)
        time.sleep(began + STALLED_SESSION_END_S - time.monotonic())
        for line in (client, endpoint):
            expect_end(node, line, time.monotonic())


def test_a_client_with_unsent_data_is_closed_in_time_after_its_endpoint_resets(machine: Machine) -> None:
    """The process still buffers lines for the client, too few to pause the endpoint.

    Seen: the connection stayed open forever. Before the forced close the node counts the dropped bytes, and
    it queried the endpoint's closed socket: `timer callback failed`, with ValueError for descriptor -1.
    """
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        client, endpoint = session(node, fake_endpoint)
        machine.fail(Call.SEND_ACCEPTED, 1.0, [errno.EAGAIN])  # as with a full receive buffer
        began = time.monotonic()
        endpoint.send(*LAST_LINES)
        endpoint.close(reset=True)
        expect_end(node, client, began)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_reads_nothing_is_closed_within_a_second_of_its_endpoint(
    machine: Machine, reset: bool
) -> None:
    """Seen: up to 2.5 s. Reading from the endpoint is paused meanwhile, so its end was not detected."""
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        client, endpoint = session(node, fake_endpoint)
        machine.fail(Call.SEND_ACCEPTED, 1.0, [errno.EAGAIN])  # as with a full receive buffer
        endpoint.send(*kilobyte_lines(110))
        time.sleep(0.3)
        endpoint.close(reset)
        time.sleep(END_DEADLINE_S)
        node.wait_for_counter("broken", 1)
        node.wait_for_counter("outlived", 0)
        assert read_to_end(client) == ["RESET"]  # the data that the client never received is dropped


def test_a_client_that_writes_as_its_endpoint_ends_is_closed_during_a_shutdown(machine: Machine) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint(), edit_config=LONG_SHUTDOWN)) as node:
        client, endpoint = session(node, fake_endpoint)
        node.terminate()
        node.wait_for_log("stopped accepting clients")
        delay_event_loop(machine)
        began = time.monotonic()
        endpoint.close(reset=True)
        write_lines(client)
        client.sock.settimeout(began + END_DEADLINE_S - time.monotonic())
        assert read_to_end(client)[-1] in ("", "RESET")


def test_a_client_that_writes_as_its_endpoint_ends_is_closed_after_a_hand_over(machine: Machine) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint(), edit_config=LONG_SHUTDOWN)) as node:
        client, endpoint = session(node, fake_endpoint)
        with node.successor() as successor:
            node.terminate()
            node.process.wait(TIMEOUT_S)
            delay_event_loop(machine)
            began = time.monotonic()
            endpoint.close(reset=True)
            write_lines(client)
            expect_end(successor, client, began)


def test_a_client_that_keeps_writing_after_its_answer_is_closed(machine: Machine) -> None:
    with with_faults(machine, Node()) as node:
        delay_event_loop(machine)
        client = node.client("nonsense")
        began = time.monotonic()
        write_lines(client, "x" * 3000, seconds=END_DEADLINE_S)
        expect_end(node, client, began)


def test_a_session_with_many_pending_lines_is_migrated_when_its_endpoint_stops_echoing() -> None:
    """Seen: the client waited forever for the rest of its echoes.

    Only the newest 64 lines without an echo were recorded, so that 64 echoes cleared any number of them, and
    no line was timed any more.
    """
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        client.send(*["M 1"] * 3 * ECHOED_LINES)
        for _ in range(ECHOED_LINES):
            endpoint.send(endpoint.read())
        client.sock.settimeout(STALLED_SESSION_END_S)
        assert read_to_end(client) == [*["M 1"] * ECHOED_LINES, "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_is_closed_when_its_endpoint_ends_while_a_frozen_process_is_offered_the_session(
    reset: bool,
) -> None:
    """Seen: the client waited for the suspended successor, or for the final migrations of its predecessor."""
    with Node(fake_endpoint := SilentEndpoint(), edit_config=LONG_SHUTDOWN) as node:
        client, endpoint = session(node, fake_endpoint)
        with node.successor() as successor:
            time.sleep(0.3)  # until the successor has announced that it serves
            with suspended(successor):
                node.terminate()
                node.wait_for_log("stopped accepting clients")
                time.sleep(0.1)  # until the session is offered
                began = time.monotonic()
                endpoint.close(reset)
                client.sock.settimeout(END_DEADLINE_S)
                assert read_to_end(client)[-1] in ("", "RESET")
                assert time.monotonic() - began < END_DEADLINE_S
            node.process.wait(TIMEOUT_S)
            time.sleep(0.3)  # until the successor has detected the end of the session
            assert "in_flight:0" in successor.call_admin("/v1/metrics")[1]
