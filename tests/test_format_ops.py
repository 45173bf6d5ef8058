"""The node's output for operators: HTTP responses, metrics, and the line of counters on SIGUSR1.

Operators' dashboards depend on the names, kinds and order of the metrics, which must not change when names in
the code do. Only `known_counters` uses names of the code; the other tests read the output of a real node.
"""

from __future__ import annotations

import http.client
import re
import signal
from typing import Any

from stepflow.node.admin.metrics import Gauges, render
from stepflow.node.runtime.counters import ClassCounts, Counters
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line

COUNTER_KEYS = [
    "clients",
    "requests",
    "standing",
    "accept_failures",
    "malformed",
    "evicted",
    "table_full",
    "attempts",
    "retries",
    "served",
    "rejected",
    "failed",
    "overdue",
    "left",
    "moved",
    "broken",
    "probes",
    "probes_failed",
    "lists",
    "lists_failed",
    "reloads",
    "reloads_failed",
    "faults",
    "clock_steps",
    "late_deadlines",
    "truncated",
    "outlived",
    "probes_skipped",
]
CLASS_METRICS = ["served", "refused", "failed", "attempts"]
OTHER_METRICS = [
    ("in_flight", "g"),
    ("map_servers_known", "g"),
    ("map_servers_excluded", "g"),
    ("overdue", "c"),
    ("retries", "c"),
    ("clock_steps", "c"),
    ("late_deadlines", "c"),
    ("truncated", "c"),
    ("outlived", "c"),
    ("reloads_ok", "c"),
    ("reloads_failed", "c"),
]


def known_counters() -> tuple[bytes, str]:
    """Return the metrics and the line of counters whose values are 1, 2, 3 and so on, as in COUNTER_KEYS."""
    counters = Counters(*range(1, len(COUNTER_KEYS) + 1))
    counters.classes["view"] = ClassCounts(31, 32, 33, 34)
    counters.classes["save edge:2|x"] = ClassCounts(41, 42, 43, 44)
    return render(counters, Gauges(51, 52, 53)), str(counters)


def test_metrics_of_known_counters() -> None:
    assert known_counters()[0].decode() == (
        "edge_gw.requests.view.served:31|c\n"
        "edge_gw.requests.view.refused:32|c\n"
        "edge_gw.requests.view.failed:33|c\n"
        "edge_gw.requests.view.attempts:34|c\n"
        "edge_gw.requests.save_edge_2_x.served:41|c\n"
        "edge_gw.requests.save_edge_2_x.refused:42|c\n"
        "edge_gw.requests.save_edge_2_x.failed:43|c\n"
        "edge_gw.requests.save_edge_2_x.attempts:44|c\n"
        "edge_gw.in_flight:51|g\n"
        "edge_gw.map_servers_known:52|g\n"
        "edge_gw.map_servers_excluded:53|g\n"
        "edge_gw.overdue:13|c\n"
        "edge_gw.retries:9|c\n"
        "edge_gw.clock_steps:24|c\n"
        "edge_gw.late_deadlines:25|c\n"
        "edge_gw.truncated:26|c\n"
        "edge_gw.outlived:27|c\n"
        "edge_gw.reloads_ok:21|c\n"
        "edge_gw.reloads_failed:22|c\n"
    )


def test_line_of_known_counters() -> None:
    expected = " ".join(f"{key}={number}" for number, key in enumerate(COUNTER_KEYS, 1))
    assert known_counters()[1] == expected


def send_request(node: Node, method: str, path: str) -> tuple[int, dict[str, str], str]:
    """Send an HTTP request; return the status, the headers and the body of the response."""
    connection = http.client.HTTPConnection(*node.admin_address, timeout=TIMEOUT_S)
    connection.request(method, path)
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return response.status, headers, response.read().decode()


def plain_headers(body: str) -> dict[str, str]:
    """Return the headers of a response with this body."""
    return {
        "content-type": "text/plain; charset=utf-8",
        "content-length": str(len(body)),
        "connection": "close",
    }


def parse_metrics(body: str) -> dict[str, int]:
    """Return the metrics' values by name and kind."""
    found = [re.fullmatch(r"edge_gw\.([\w.-]+):(\d+)\|([cg])", line) for line in body.splitlines()]
    assert body.endswith("\n") and all(found)
    return {f"{match[1]}|{match[3]}": int(match[2]) for match in found if match}


def counters(node: Node) -> dict[str, int]:
    """Have the node print its line of counters, and return the values."""
    node.process.send_signal(signal.SIGUSR1)
    return read_counters(node.wait_for_log(r"^counters: ").string)


def read_counters(line: str) -> dict[str, int]:
    assert re.fullmatch(r"counters: \w+=\d+( \w+=\d+)*\n", line)
    return {key: int(value) for key, value in re.findall(r"(\w+)=(\d+)", line)}


def test_node_answers_and_prints_counters_until_it_exits() -> None:
    def two_classes(config: dict[str, Any]) -> None:
        config["settings"]["classes"].append({**config["settings"]["classes"][0], "name": "save edge"})
        config["settings"]["domain"]["message_aim_us"] = [50_000.0, 50_000.0]

    names = [f"requests.{name}.{metric}|c" for name in ("view", "save_edge") for metric in CLASS_METRICS] + [
        f"{name}|{kind}" for name, kind in OTHER_METRICS
    ]
    with Node(FakeEndpoint("s-1"), FakeEndpoint("s-2"), edit_config=two_classes) as node:
        assert send_request(node, "GET", "/v1/readyz") == (200, plain_headers("ready\n"), "ready\n")
        assert send_request(node, "HEAD", "/v1/readyz") == (200, plain_headers("ready\n"), "")
        client = node.client(open_line(wait_ms=30_000))
        assert client.read() == "UP r1"
        assert node.client("HELLO").read() == "ERR malformed"
        node.reload("{")
        node.wait_for_log("reload failed, keeping the old configuration")
        node.reload()
        node.wait_for_log("event=reloaded")

        status, headers, body = send_request(node, "GET", "/v1/metrics?any=thing")
        assert (status, headers) == (200, plain_headers(body))
        values = parse_metrics(body)
        assert list(values) == names
        expected = {
            "requests.view.served|c": 1,
            "requests.view.refused|c": 0,
            "requests.view.failed|c": 0,
            "requests.save_edge.served|c": 0,
            "requests.save_edge.refused|c": 0,
            "requests.save_edge.failed|c": 0,
            "requests.save_edge.attempts|c": 0,
            "in_flight|g": 1,
            "map_servers_known|g": 2,
            "reloads_ok|c": 1,
            "reloads_failed|c": 1,
        }
        assert {name: values[name] for name in expected} == expected

        line = counters(node)
        assert list(line) == COUNTER_KEYS
        expected = {
            "clients": 2,
            "requests": 1,
            "standing": 0,
            "malformed": 1,
            "served": 1,
            "rejected": 0,
            "failed": 0,
            "moved": 0,
            "reloads": 1,
            "reloads_failed": 1,
            "faults": 0,
        }
        assert {name: line[name] for name in expected} == expected

        assert send_request(node, "GET", "/") == (404, plain_headers("no such path\n"), "no such path\n")
        refused = {**plain_headers("ask with GET\n"), "allow": "GET, HEAD"}
        assert send_request(node, "POST", "/v1/metrics") == (405, refused, "ask with GET\n")

        node.terminate()
        node.wait_for_log('event="shutdown started" connections=1')
        assert send_request(node, "GET", "/v1/readyz") == (503, plain_headers("not ready\n"), "not ready\n")
        assert client.read() == "MOVE"
        # Printed at the exit, without a signal.
        last = read_counters(node.wait_for_log(r"^counters: ").string)
        assert list(last) == COUNTER_KEYS and last["moved"] == 1
        assert node.process.wait(TIMEOUT_S) == 0
