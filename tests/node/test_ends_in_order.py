"""The failure of test_last_lines.py on other connections and in other phases of a process.

A connection's end becomes known by a failing write, a hang-up while reading is paused, a FIN of one
direction, an overlong line, a migration or a shutdown. In each case the data sent before it is delivered
first.
"""

from __future__ import annotations

import errno
import socket
import time
from contextlib import closing
from pathlib import Path

import pytest

from standins.preload import Call, Machine
from tests.node.machine_kit import with_faults
from tests.node.race_kit import set_class
from tests.node.session_kit import (
    LAST_LINES,
    SilentEndpoint,
    expected_end,
    flood,
    kilobyte_lines,
    read_to_end,
    session,
    small_buffer_session,
    suspended,
)
from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line

TRANSFERS = [Call.RECV_ACCEPTED, Call.SEND_ACCEPTED, Call.RECV_DIALLED, Call.SEND_DIALLED]
TRANSIENT_ERRNOS = [errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EAGAIN]


def truncated_metric(node: Node) -> str:
    """The metric of connections that were closed with bytes for them dropped."""
    _, metrics = node.call_admin("/v1/metrics")
    return next(line for line in metrics.splitlines() if line.startswith("edge_gw.truncated:"))


@pytest.mark.parametrize("reset", [False, True])
def test_data_beyond_one_read_reaches_the_client_although_a_write_fails(reset: bool) -> None:
    """The client's line is written to an endpoint that has closed, while half of its data is still unread."""
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        with suspended(node):
            client.send("M 1")
            endpoint.send(*kilobyte_lines(110))
            endpoint.close(reset)
        read = read_to_end(client)
        assert read[:-1] == kilobyte_lines(110)
        assert read[-1] in ("", "RESET")  # depends on the order of events within the turn


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_reads_late_receives_all_data_before_the_end(reset: bool) -> None:
    """The client's full buffer pauses its endpoint, whose end becomes known while reading is paused."""
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = small_buffer_session(node, fake_endpoint)
        endpoint.send(*kilobyte_lines(90))
        endpoint.close(reset)
        time.sleep(0.3)
        assert read_to_end(client) == [*kilobyte_lines(90), expected_end(reset)]
        assert truncated_metric(node) == "edge_gw.truncated:0|c"


def test_data_that_a_client_never_reads_is_counted_as_dropped() -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = small_buffer_session(node, fake_endpoint)
        flood(endpoint)
        endpoint.close(reset=True)
        node.wait_for_log("session data dropped.* to=client")
        assert truncated_metric(node) == "edge_gw.truncated:1|c"
        client.close()


def test_a_client_that_half_closes_still_receives_data() -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        client.send("LAST words")
        client.sock.shutdown(socket.SHUT_WR)
        assert read_to_end(endpoint) == ["LAST words", ""]
        endpoint.send(*LAST_LINES)
        endpoint.close()
        assert read_to_end(client) == [*LAST_LINES, ""]


def test_an_endpoint_that_half_closes_still_receives_data() -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        with suspended(node):
            client.send("LAST words")
            endpoint.send(*LAST_LINES)
            endpoint.sock.shutdown(socket.SHUT_WR)
        assert read_to_end(client) == [*LAST_LINES, ""]
        client.close()
        assert read_to_end(endpoint) == ["LAST words", ""]


@pytest.mark.parametrize("by_client", [False, True])
def test_lines_before_an_overlong_line_are_relayed(by_client: bool) -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        writer, reader = (client, endpoint) if by_client else (endpoint, client)
        with suspended(node):
            writer.send(*LAST_LINES, "x" * 5000)
        assert read_to_end(reader)[: len(LAST_LINES)] == LAST_LINES


def test_lines_unread_at_a_migration_are_relayed_before_move() -> None:
    """The data exceeds what the node reads from one connection in a turn."""
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        node.terminate()
        node.wait_for_log("stopped accepting clients")
        with suspended(node):
            endpoint.send(*kilobyte_lines(110))
            time.sleep(0.9)  # the time of the migration passes
        assert read_to_end(client) == [*kilobyte_lines(110), "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_last_lines_reach_both_sides_during_a_shutdown(reset: bool) -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        (client, endpoint), (other, other_endpoint) = (
            session(node, fake_endpoint),
            session(node, fake_endpoint, 2),
        )
        node.terminate()
        node.wait_for_log("shutdown started")
        with suspended(node):
            endpoint.send(*LAST_LINES)
            endpoint.close(reset)
            other.send(*LAST_LINES)
            other.close(reset)
        assert read_to_end(client) == [*LAST_LINES, expected_end(reset)]
        assert read_to_end(other_endpoint) == [*LAST_LINES, expected_end(reset)]


@pytest.mark.parametrize("by_client", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_last_lines_are_relayed_after_a_hand_over(reset: bool, by_client: bool) -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        with node.successor() as successor:
            node.terminate()
            node.process.wait(TIMEOUT_S)
            writer, reader = (client, endpoint) if by_client else (endpoint, client)
            with suspended(successor):
                writer.send(*LAST_LINES)
                writer.close(reset)
            assert read_to_end(reader) == [*LAST_LINES, expected_end(reset)]


@pytest.mark.parametrize("by_client", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_last_lines_are_relayed_during_a_hand_over(reset: bool, by_client: bool) -> None:
    """They arrive while the connections are passed between the processes and neither process reads them."""
    with Node(fake_endpoint := SilentEndpoint(), edit_config=set_class(give_up_us=3_000_000)) as node:
        client, endpoint = session(node, fake_endpoint)
        with node.successor() as successor:
            time.sleep(0.3)  # until the successor has announced that it serves
            with suspended(successor):
                node.terminate()
                node.wait_for_log("stopped accepting clients")
                time.sleep(0.1)  # until the session is offered
                writer, reader = (client, endpoint) if by_client else (endpoint, client)
                writer.send(*LAST_LINES)
                writer.close(reset)
            assert read_to_end(reader) == [*LAST_LINES, expected_end(reset)]


def test_sessions_offered_by_a_process_that_is_killed_are_adopted() -> None:
    """The successor reads their messages later; only its first answer shows that the sender is gone."""
    with Node(FakeEndpoint("s-1"), edit_config=set_class(give_up_us=3_000_000)) as node:
        clients = [node.client(open_line(number)) for number in range(8)]
        assert [client.read() for client in clients] == ["UP r1"] * 8
        with node.successor() as successor:
            time.sleep(0.3)  # until the successor has announced that it serves
            with suspended(successor):
                node.terminate()
                node.wait_for_log("stopped accepting clients")
                time.sleep(0.1)  # until the sessions are offered
                node.process.kill()
                node.process.wait(TIMEOUT_S)
            for client in clients:
                client.send("M 1")
            assert [client.read() for client in clients] == ["M 1"] * 8


def test_a_rejection_followed_by_a_reset_counts_as_a_rejection() -> None:
    """The close resets the connection. After a reset alone, a non-idempotent request would be failed."""
    with Node(fake_endpoint := SilentEndpoint(up=None), edit_config=set_class(effect="once")) as node:
        client = node.client(open_line())
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        with suspended(node):
            endpoint.send("BUSY")
            endpoint.close(reset=True)
        attempts = [fake_endpoint.connections.get(timeout=TIMEOUT_S)]  # a rejected request is retried
        attempts[0].send("UP r1")
        assert client.read() == "UP r1"


@pytest.mark.parametrize("error", TRANSIENT_ERRNOS)
@pytest.mark.parametrize(
    "call", [Call.RECV_ACCEPTED, Call.SEND_ACCEPTED, Call.RECV_DIALLED, Call.SEND_DIALLED]
)
def test_a_session_survives_transient_errors_of_recv_and_send(tmp_path: Path, call: Call, error: int) -> None:
    machine = Machine(tmp_path)
    with with_faults(machine, Node(endpoint := FakeEndpoint("s-1"))) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        machine.fail(call, 0.6, [error])
        for number in range(10):
            client.send(f"M {number}")
            assert client.read() == f"M {number}"
        assert machine.injected(call) > 0
        machine.heal()
        endpoint.connections.get(timeout=TIMEOUT_S).send(*LAST_LINES)
        assert [client.read() for _ in LAST_LINES] == LAST_LINES


@pytest.mark.parametrize("call", [Call.RECV_ACCEPTED, Call.RECV_DIALLED])
def test_last_lines_are_read_although_recv_fails_with_enomem(tmp_path: Path, call: Call) -> None:
    machine = Machine(tmp_path)
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        client, endpoint = session(node, fake_endpoint)
        writer, reader = (client, endpoint) if call is Call.RECV_ACCEPTED else (endpoint, client)
        machine.fail(call, 0.8, [errno.ENOMEM])
        with suspended(node):
            reader.send("M 1")
            writer.send(*kilobyte_lines(60))
            writer.close(reset=True)
        assert read_to_end(reader)[:-1] == kilobyte_lines(60)


def test_a_list_update_followed_by_a_reset_is_applied() -> None:
    """Data that discovery wrote before the reset counts as received."""
    discovery = Discovery()
    first, second = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    with Node(first, discovery=discovery) as node, closing(second):
        discovery.watch_paths.get(timeout=TIMEOUT_S)
        with suspended(node):
            discovery.send_update(second.list_entry(), first.list_entry("Gone"))
            discovery.updates.put(Discovery.RESET)
            time.sleep(0.1)
        client = node.client(open_line())
        assert client.read() == "UP r1"
        assert second.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
