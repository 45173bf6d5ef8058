"""An id runs once: while it is open, after its client has left, and at the other process of an upgrade."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from stepflow.node.clients.request_ids import GENERATION_SIZE, RequestIds
from tests.node.race_kit import set_class
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line

LONG_WAIT_MS = 30_000  # outlasts the start of a successor on a busy machine
ONCE: Callable[[dict[str, Any]], None] = set_class(effect="once", give_up_us=LONG_WAIT_MS * 1000)


def expect_refused(node: Node, endpoint: FakeEndpoint) -> None:
    """Request the id again: it has to be refused, and must not reach the endpoint."""
    again = node.client(open_line(wait_ms=3000))
    assert (again.read(), again.read()) == ("ERR malformed", "")
    assert endpoint.received_lines.empty()


@pytest.mark.parametrize("is_established", [False, True])
def test_id_that_may_have_run_does_not_run_again_after_its_client_left(is_established: bool) -> None:
    """Guards against an id that is forgotten with its client's connection, and runs twice."""
    endpoint = FakeEndpoint("s-1", OPEN="UP r1" if is_established else None)
    with Node(endpoint, edit_config=ONCE) as node:
        client = node.client(open_line(wait_ms=3000))
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
        if is_established:
            assert client.read() == "UP r1"
        client.close(reset=True)  # so that no side waits for the other one's end
        node.wait_for_counter("served" if is_established else "left", 1)
        assert endpoint.session_ends.get(timeout=TIMEOUT_S) == "RESET"
        expect_refused(node, endpoint)


def test_id_that_was_turned_away_can_come_again() -> None:
    """Guards against a client that is told to come again, and then refused for its id."""
    with Node(endpoint := FakeEndpoint("s-1", OPEN="BUSY"), edit_config=ONCE) as node:
        assert node.client(open_line()).read().startswith("BUSY")
        endpoint.answers["OPEN"] = "UP r1"
        node.wait_for_counter("rejected", 1)
        assert node.client(open_line()).read() == "UP r1"


@pytest.mark.parametrize("leaves_first", [False, True])
def test_id_that_may_have_run_does_not_run_again_at_the_successor(leaves_first: bool) -> None:
    """Guards against a second process that does not know what ran in the first one."""
    with Node(endpoint := FakeEndpoint("s-1", OPEN=None), edit_config=ONCE) as old:
        client = old.client(open_line(wait_ms=LONG_WAIT_MS))
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
        if leaves_first:
            client.close()
            old.wait_for_counter("left", 1)
        with old.successor() as new:
            if not leaves_first:
                client.close()
                old.wait_for_counter("left", 1)
            old.terminate()
            assert old.process.wait(TIMEOUT_S) == 0
            expect_refused(new, endpoint)


def test_the_latest_ids_are_remembered_and_their_number_is_bounded() -> None:
    """Guards against memory that grows with ever new ids."""
    ids = RequestIds()
    for id in range(5 * GENERATION_SIZE):
        assert ids.open(id)
        ids.close(id, may_have_run=True)
    assert len(ids.remembered()) <= 2 * GENERATION_SIZE
    latest = range(4 * GENERATION_SIZE, 5 * GENERATION_SIZE)
    assert not any(ids.open(id) for id in latest)
    assert set(latest) <= set(ids.remembered())
