"""The admin HTTP server for operators."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any

import pytest

from stepflow.node.admin.metrics import Gauges, render
from stepflow.node.admin.site import MAX_ADMIN_CONNECTIONS
from stepflow.node.runtime.counters import Counters
from tests.node_kit import TIMEOUT_S, FakeEndpoint, LineConnection, Node, open_line


def test_readyz_reports_whether_the_node_serves_until_it_exits() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        assert node.call_admin("/v1/readyz") == (200, "ready\n")
        node.terminate()
        node.wait_for_log('event="shutdown started" connections=1')
        assert node.call_admin("/v1/readyz") == (503, "not ready\n")
        assert client.read() == "MOVE"
        assert node.call_admin("/v1/metrics")[0] == 200  # metrics are available until the process exits


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/", 404), ("GET", "/v1/readyz/x", 404), ("POST", "/v1/metrics", 405)],
)
def test_unknown_paths_and_methods_are_refused(method: str, path: str, status: int) -> None:
    with Node(FakeEndpoint("s-1")) as node:
        assert node.call_admin(path, method)[0] == status


@pytest.mark.parametrize("part", [b"", b"GET /v1/metrics HT", b"GET /v1/metrics HTTP/1.1\r\nx: "])
def test_incomplete_requests_do_not_block_other_connections(part: bytes) -> None:
    """Incomplete requests are closed after a time limit, and take no descriptors from the node's clients."""
    with Node(FakeEndpoint("s-1")) as node:
        held = [
            LineConnection(socket.create_connection(node.admin_address))
            for _ in range(3 * MAX_ADMIN_CONNECTIONS)
        ]
        for line in held:
            with suppress(ConnectionError):  # a later connection may have replaced it already
                line.sock.sendall(part)
        assert node.call_admin("/v1/readyz")[0] == 200
        assert node.client(open_line()).read() == "UP r1"
        assert {line.read() for line in held} <= {"", "RESET"}  # closed, though none of them has sent a FIN


@pytest.mark.parametrize(
    ("answer", "client_line", "counts"),
    [
        ("UP r1", "UP r1", "served:1 refused:0 failed:0 attempts:1"),
        ("BYE", "BYE", "served:1 refused:0 failed:0 attempts:1"),
        (None, "BUSY", "served:0 refused:1 failed:0 attempts:1"),
    ],
)
def test_metrics_count_each_request_by_its_answer(answer: str | None, client_line: str, counts: str) -> None:
    def try_once(config: dict[str, Any]) -> None:
        config["settings"]["policy_limits"]["most_tries"] = 1

    with Node(endpoint := FakeEndpoint("s-1", OPEN=answer), edit_config=try_once) as node:
        client = node.client(open_line(wait_ms=600))
        assert client.read().split(" ")[0] == client_line.split(" ")[0]
        assert endpoint.received_lines.get(timeout=TIMEOUT_S)
        lines = node.call_admin("/v1/metrics")[1].split("\n")
        assert lines[:4] == [f"edge_gw.requests.view.{count}|c" for count in counts.split(" ")]
        in_flight = int(answer == "UP r1")
        assert f"edge_gw.in_flight:{in_flight}|g" in lines and "edge_gw.map_servers_known:1|g" in lines


def test_request_rejected_during_shutdown_counts_as_refused() -> None:
    """Regression: the policy gets no requests during the shutdown, and the metrics did not count them."""
    with Node(FakeEndpoint("s-1")) as node:
        client, late = node.client(open_line()), node.client()
        assert client.read() == "UP r1"
        node.terminate()
        node.wait_for_log("stopped accepting clients")
        late.send(open_line(2))
        assert late.read() == "BUSY"
        assert "edge_gw.requests.view.refused:1|c" in node.call_admin("/v1/metrics")[1].split("\n")


def test_metric_names_contain_no_separators() -> None:
    counters = Counters()
    counters.for_class("a:b|c").served = 7
    assert render(counters, Gauges(0, 0, 0)).startswith(b"edge_gw.requests.a_b_c.served:7|c\n")
