"""What operators read of a node: the calls' answers, the figures, and the line of counters at SIGUSR1.

Their names, kinds and order stand in operators' dashboards: none may change where names in the code do.
`known_counters` alone speaks of the names in the code; the rest is a real node's.
"""

from __future__ import annotations

import http.client
import re
import signal
from typing import Any

from stepflow.node.admin.metrics import Gauges, render
from stepflow.node.runtime.counters import ClassCounts, Counters
from tests.node_kit import PATIENCE, Node, Peer, opening

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
]
CLASS_FIGURES = ["served", "refused", "failed", "attempts"]
OTHER_FIGURES = [
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
    """The figures and the line of counters that are 1, 2, 3 and so on in the order of COUNTER_KEYS."""
    counters = Counters(*range(1, len(COUNTER_KEYS) + 1))
    counters.classes["view"] = ClassCounts(31, 32, 33, 34)
    counters.classes["save edge:2|x"] = ClassCounts(41, 42, 43, 44)
    return render(counters, Gauges(51, 52, 53)), str(counters)


def test_known_counters_make_the_literal_figures() -> None:
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


def test_known_counters_make_the_literal_line() -> None:
    expected = " ".join(f"{key}={number}" for number, key in enumerate(COUNTER_KEYS, 1))
    assert known_counters()[1] == expected


def call(node: Node, method: str, path: str) -> tuple[int, dict[str, str], str]:
    """One call: its status, its headers and its body."""
    connection = http.client.HTTPConnection(*node.ops_address, timeout=PATIENCE)
    connection.request(method, path)
    answer = connection.getresponse()
    headers = {name.lower(): value for name, value in answer.getheaders()}
    return answer.status, headers, answer.read().decode()


def plain(body: str) -> dict[str, str]:
    """The headers of each answer."""
    return {
        "content-type": "text/plain; charset=utf-8",
        "content-length": str(len(body)),
        "connection": "close",
    }


def figures(body: str) -> dict[str, int]:
    """What the figures say, by name and kind."""
    found = [re.fullmatch(r"edge_gw\.([\w.-]+):(\d+)\|([cg])", line) for line in body.splitlines()]
    assert body.endswith("\n") and all(found)
    return {f"{one[1]}|{one[3]}": int(one[2]) for one in found if one}


def counters(node: Node) -> dict[str, int]:
    """What the line says that the node prints now."""
    node.process.send_signal(signal.SIGUSR1)
    return read_counters(node.wait_log(r"^counters: ").string)


def read_counters(line: str) -> dict[str, int]:
    assert re.fullmatch(r"counters: \w+=\d+( \w+=\d+)*\n", line)
    return {key: int(value) for key, value in re.findall(r"(\w+)=(\d+)", line)}


def test_a_node_tells_all_of_it_while_it_lives() -> None:
    def two_classes(config: dict[str, Any]) -> None:
        config["settings"]["classes"].append({**config["settings"]["classes"][0], "name": "save edge"})
        config["settings"]["domain"]["message_aim_us"] = [50_000.0, 50_000.0]

    names = [f"requests.{name}.{figure}|c" for name in ("view", "save_edge") for figure in CLASS_FIGURES] + [
        f"{name}|{kind}" for name, kind in OTHER_FIGURES
    ]
    with Node(Peer("s-1"), Peer("s-2"), change=two_classes) as node:
        assert call(node, "GET", "/v1/readyz") == (200, plain("ready\n"), "ready\n")
        assert call(node, "HEAD", "/v1/readyz") == (200, plain("ready\n"), "")
        client = node.client(opening(d=30_000))
        assert client.read() == "UP r1"
        assert node.client("HELLO").read() == "ERR malformed"
        node.reload("{")
        node.wait_log("reload turned down")
        node.reload()
        node.wait_log("event=reloaded")

        status, headers, body = call(node, "GET", "/v1/metrics?any=thing")
        assert (status, headers) == (200, plain(body))
        told = figures(body)
        assert list(told) == names
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
        assert {name: told[name] for name in expected} == expected

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

        assert call(node, "GET", "/") == (404, plain("no such path\n"), "no such path\n")
        refused = {**plain("ask with GET\n"), "allow": "GET, HEAD"}
        assert call(node, "POST", "/v1/metrics") == (405, refused, "ask with GET\n")

        node.terminate()
        node.wait_log("event=leaves connections=1")
        assert call(node, "GET", "/v1/readyz") == (503, plain("not ready\n"), "not ready\n")
        assert client.read() == "MOVE"
        last = read_counters(node.wait_log(r"^counters: ").string)  # at the exit, without being asked
        assert list(last) == COUNTER_KEYS and last["moved"] == 1
        assert node.process.wait(PATIENCE) == 0
