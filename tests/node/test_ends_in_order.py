"""The mistake of test_last_lines.py on other connections and in other phases of a process.

An end is told by a failing write, by a hang-up while reading is paused, by a FIN of one direction, by an
overlong line, by a migration or by a shutdown; each comes behind the bytes that were sent before it.
"""

from __future__ import annotations

import errno
import socket
import time
from contextlib import closing
from pathlib import Path

import pytest

from standins.preload import Call, Machine
from tests.node.machine_kit import on
from tests.node.race_kit import set_class
from tests.node.session_kit import (
    LAST,
    SilentPeer,
    end_of,
    flood,
    held_still,
    many,
    read_to_end,
    session,
    slow_session,
)
from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening

TRANSFERS = [Call.RECV_ACCEPTED, Call.SEND_ACCEPTED, Call.RECV_DIALLED, Call.SEND_DIALLED]
SHORTAGES = [errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EAGAIN]


def drops(node: Node) -> str:
    """The metric that counts connections which were closed with bytes for them dropped."""
    _, told = node.ops("/v1/metrics")
    return next(line for line in told.splitlines() if line.startswith("edge_gw.truncated:"))


@pytest.mark.parametrize("reset", [False, True])
def test_more_than_one_read_holds_reaches_its_client_though_a_write_fails(reset: bool) -> None:
    """The client's line goes out to an endpoint that has ended, while half of what that wrote is unread."""
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        with held_still(node):
            client.send("M 1")
            endpoint.send(*many(110))
            endpoint.close(reset)
        read = read_to_end(client)
        assert read[:-1] == many(110)
        assert read[-1] in ("", "RESET")  # which of the two, the order of the turn decides


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_reads_late_gets_everything_ahead_of_the_end(reset: bool) -> None:
    """Its endpoint stops at the client's full buffer: the end is told while reading is paused."""
    with Node(peer := SilentPeer()) as node:
        client, endpoint = slow_session(node, peer)
        endpoint.send(*many(90))
        endpoint.close(reset)
        time.sleep(0.3)
        assert read_to_end(client) == [*many(90), end_of(reset)]
        assert drops(node) == "edge_gw.truncated:0|c"


def test_what_a_client_never_reads_is_counted_as_dropped() -> None:
    with Node(peer := SilentPeer()) as node:
        client, endpoint = slow_session(node, peer)
        flood(endpoint)
        endpoint.close(reset=True)
        node.wait_log("bytes of a session were dropped.* to=client")
        assert drops(node) == "edge_gw.truncated:1|c"
        client.close()


def test_a_client_that_has_ended_its_sending_reads_on() -> None:
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        client.send("LAST words")
        client.sock.shutdown(socket.SHUT_WR)
        assert read_to_end(endpoint) == ["LAST words", ""]
        endpoint.send(*LAST)
        endpoint.close()
        assert read_to_end(client) == [*LAST, ""]


def test_an_endpoint_that_has_ended_its_sending_reads_on() -> None:
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        with held_still(node):
            client.send("LAST words")
            endpoint.send(*LAST)
            endpoint.sock.shutdown(socket.SHUT_WR)
        assert read_to_end(client) == [*LAST, ""]
        client.close()
        assert read_to_end(endpoint) == ["LAST words", ""]


@pytest.mark.parametrize("by_client", [False, True])
def test_lines_ahead_of_an_overlong_one_are_passed_on(by_client: bool) -> None:
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        writer, reader = (client, endpoint) if by_client else (endpoint, client)
        with held_still(node):
            writer.send(*LAST, "x" * 5000)
        assert read_to_end(reader)[: len(LAST)] == LAST


def test_lines_that_lie_unread_at_a_migration_come_ahead_of_move() -> None:
    """More than the node reads of one connection in a turn."""
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        node.terminate()
        node.wait_log("listens no more")
        with held_still(node):
            endpoint.send(*many(110))
            time.sleep(0.9)  # the time of the migration comes and goes
        assert read_to_end(client) == [*many(110), "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_last_lines_reach_both_sides_during_a_shutdown(reset: bool) -> None:
    with Node(peer := SilentPeer()) as node:
        (client, endpoint), (other, other_endpoint) = session(node, peer), session(node, peer, 2)
        node.terminate()
        node.wait_log("leaves")
        with held_still(node):
            endpoint.send(*LAST)
            endpoint.close(reset)
            other.send(*LAST)
            other.close(reset)
        assert read_to_end(client) == [*LAST, end_of(reset)]
        assert read_to_end(other_endpoint) == [*LAST, end_of(reset)]


@pytest.mark.parametrize("by_client", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_last_lines_of_a_session_that_was_handed_over(reset: bool, by_client: bool) -> None:
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        with node.successor() as successor:
            node.terminate()
            node.process.wait(PATIENCE)
            writer, reader = (client, endpoint) if by_client else (endpoint, client)
            with held_still(successor):
                writer.send(*LAST)
                writer.close(reset)
            assert read_to_end(reader) == [*LAST, end_of(reset)]


@pytest.mark.parametrize("by_client", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_last_lines_of_a_session_that_is_being_handed_over(reset: bool, by_client: bool) -> None:
    """They come while its connections are on their way between the processes, and nobody reads them."""
    with Node(peer := SilentPeer(), change=set_class(give_up_us=3_000_000)) as node:
        client, endpoint = session(node, peer)
        with node.successor() as successor:
            time.sleep(0.3)  # until it has told that it serves
            with held_still(successor):
                node.terminate()
                node.wait_log("listens no more")
                time.sleep(0.1)  # until it is offered
                writer, reader = (client, endpoint) if by_client else (endpoint, client)
                writer.send(*LAST)
                writer.close(reset)
            assert read_to_end(reader) == [*LAST, end_of(reset)]


def test_sessions_passed_by_a_process_that_was_killed_go_on() -> None:
    """Their messages lie unread, and the first answer to one shows that nobody is there."""
    with Node(Peer("s-1"), change=set_class(give_up_us=3_000_000)) as node:
        clients = [node.client(opening(number)) for number in range(8)]
        assert [client.read() for client in clients] == ["UP r1"] * 8
        with node.successor() as successor:
            time.sleep(0.3)  # until it has told that it serves
            with held_still(successor):
                node.terminate()
                node.wait_log("listens no more")
                time.sleep(0.1)  # until they are offered
                node.process.kill()
                node.process.wait(PATIENCE)
            for client in clients:
                client.send("M 1")
            assert [client.read() for client in clients] == ["M 1"] * 8


def test_an_endpoint_that_rejects_and_closes_over_the_request_has_rejected_it() -> None:
    """Its close resets the connection. For a reset alone, what must not run twice would be failed."""
    with Node(peer := SilentPeer(up=None), change=set_class(effect="once")) as node:
        client = node.client(opening())
        endpoint = peer.standing.get(timeout=PATIENCE)
        with held_still(node):
            endpoint.send("BUSY")
            endpoint.close(reset=True)
        attempts = [peer.standing.get(timeout=PATIENCE)]  # a rejected request is tried again
        attempts[0].send("UP r1")
        assert client.read() == "UP r1"


@pytest.mark.parametrize("error", SHORTAGES)
@pytest.mark.parametrize(
    "call", [Call.RECV_ACCEPTED, Call.SEND_ACCEPTED, Call.RECV_DIALLED, Call.SEND_DIALLED]
)
def test_a_session_outlasts_shortages_of_its_machine(tmp_path: Path, call: Call, error: int) -> None:
    machine = Machine(tmp_path)
    with on(machine, Node(peer := Peer("s-1"))) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        machine.fail(call, 0.6, [error])
        for number in range(10):
            client.send(f"M {number}")
            assert client.read() == f"M {number}"
        assert machine.injected(call) > 0
        machine.heal()
        peer.standing.get(timeout=PATIENCE).send(*LAST)
        assert [client.read() for _ in LAST] == LAST


@pytest.mark.parametrize("call", [Call.RECV_ACCEPTED, Call.RECV_DIALLED])
def test_last_lines_are_read_though_memory_is_short(tmp_path: Path, call: Call) -> None:
    machine = Machine(tmp_path)
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        writer, reader = (client, endpoint) if call is Call.RECV_ACCEPTED else (endpoint, client)
        machine.fail(call, 0.8, [errno.ENOMEM])
        with held_still(node):
            reader.send("M 1")
            writer.send(*many(60))
            writer.close(reset=True)
        assert read_to_end(reader)[:-1] == many(60)


def test_a_list_whose_call_is_reset_at_once_is_taken() -> None:
    """What discovery has written counts as told."""
    discovery = Discovery()
    first, second = Peer("s-1"), Peer("s-2")
    with Node(first, discovery=discovery) as node, closing(second):
        discovery.calls.get(timeout=PATIENCE)
        with held_still(node):
            discovery.tell(second.entry(), first.entry("Gone"))
            discovery.told.put(Discovery.RESET)
            time.sleep(0.1)
        client = node.client(opening())
        assert client.read() == "UP r1"
        assert second.lines.get(timeout=PATIENCE).startswith("OPEN ")
