"""Health-check connections leave descriptors for clients, however many endpoints there are.

Regression: nothing limited their number, and idle ones were taken off the descriptors of clients. The node of
a large fleet closed accepted clients without an answer. The tests list one fake endpoint under many ids.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

from stepflow.node.upstreams.health_check import HEALTH_CHECK_TIMEOUT
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line

ConfigEdit = Callable[[dict[str, Any]], None]


def list_copies(count: int, sockets: int) -> ConfigEdit:
    """Return an edit that lists the endpoint under `count` ids and sets the limit of descriptors."""

    def edit(config: dict[str, Any]) -> None:
        (entry,) = config["known"]["targets"]
        config["known"]["targets"] = [{**entry, "uid": f"s-{number}"} for number in range(count)]
        config["limits"]["sockets"] = sockets

    return edit


def open_descriptors(node: Node) -> int:
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


def check_endpoints(node: Node, descriptors: int) -> None:
    """Let the node check its endpoints, as it does once a second while it has traffic.

    Returns once the process holds this number of descriptors.
    """
    assert node.client(open_line(1000)).read() == "UP r1"
    deadline = time.monotonic() + TIMEOUT_S
    while open_descriptors(node) < descriptors:
        assert time.monotonic() < deadline, f"{open_descriptors(node)} descriptors"
        time.sleep(0.05)


def expect_answers(node: Node, count: int) -> None:
    """Connect clients that send their OPEN lines at once, and expect an answer for each.

    The policy may answer BUSY, since all of the listed endpoints are one.
    """
    clients = [node.client(open_line(number, group=number)) for number in range(1, count + 1)]
    answers = {client.read().split(" ")[0] for client in clients}
    assert "UP" in answers and not answers - {"UP", "BUSY"}


def test_idle_health_checks_of_a_large_fleet_give_way_to_clients() -> None:
    """Guards against accepted clients being closed because idle health checks hold the descriptors."""
    with Node(FakeEndpoint("s-1"), edit_config=list_copies(90, sockets=128)) as node:
        check_endpoints(node, descriptors=50)
        time.sleep(2 * HEALTH_CHECK_TIMEOUT.total_seconds())  # until few of the connections are in use
        expect_answers(node, 22)
        assert open_descriptors(node) <= 128
        node.terminate()
        assert " table_full=0 " in node.wait_exit()


def test_health_checks_in_progress_leave_descriptors_for_clients() -> None:
    """Guards against checks of hung endpoints, which can't be closed as idle ones can, taking everything."""
    hung = FakeEndpoint("s-1", STATS=None)
    with Node(hung, edit_config=list_copies(400, sockets=128)) as node:
        check_endpoints(node, descriptors=50)
        expect_answers(node, 15)
        node.terminate()
        log = node.wait_exit()
        assert " table_full=0 " in log and not log.rstrip().endswith("probes_skipped=0")


def test_idle_health_checks_of_the_predecessor_give_way_to_clients_of_the_successor() -> None:
    """Guards against a hand-over in which the old process keeps the descriptors that the two share."""
    with Node(FakeEndpoint("s-1"), edit_config=list_copies(120, sockets=200)) as old:
        check_endpoints(old, descriptors=80)
        unopened = old.client("PING")
        assert unopened.read() == "PONG"  # the old process has accepted it, and stays until it ends
        with old.successor() as new:
            old.terminate()
            old.wait_for_log("stopped accepting clients")
            expect_answers(old, 25)
            assert open_descriptors(old) + open_descriptors(new) <= 200
            new.terminate()
            assert " table_full=0 " in new.wait_exit()
