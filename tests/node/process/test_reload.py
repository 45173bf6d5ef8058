"""Reload on SIGHUP: new settings, and files that are refused."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from stepflow.settings import merge_settings, parse_node_settings
from tests.node_kit import SETTINGS, TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line

Change = Callable[[Any], object]


def changed(change: Change) -> Any:
    """A copy of the settings with a change applied."""
    settings = json.loads(json.dumps(SETTINGS))
    change(settings)
    return settings


def test_reload_replaces_a_class_while_sessions_go_on() -> None:
    """Regression: the settings did not change, and clients of the new class got ERR."""

    def rename(settings: Any) -> None:
        settings["classes"][0]["name"] = "look"

    with Node(FakeEndpoint("s-1")) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        node.reload(settings=changed(rename))
        node.wait_for_log("settings updated.* classes=look")
        node.wait_for_log("event=reloaded")
        assert node.client(open_line(2)).read() == "ERR malformed"
        assert node.client(open_line(3).replace("c=view", "c=look")).read() == "UP r1"
        client.send("M 1 unharmed")
        assert client.read() == "M 1 unharmed"
        metrics = node.call_admin("/v1/metrics")[1].split()
        assert "edge_gw.requests.view.served:1|c" in metrics and "edge_gw.requests.look.served:1|c" in metrics
        assert "edge_gw.reloads_ok:1|c" in metrics


def test_reload_changes_the_attempt_limit_of_new_requests_only() -> None:
    def once(settings: Any) -> None:
        settings["policy_limits"]["most_tries"] = 1
        settings["classes"][0]["effect"] = "once"

    with Node(endpoint := FakeEndpoint("s-1", OPEN=None)) as node:
        client = node.client(open_line(1, wait_ms=8000))
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN 0000000000000001 ")
        node.reload(settings=changed(once))
        node.wait_for_log("event=reloaded")
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN 0000000000000001 ")
        client.close()
        # The request may have run, and now must not run twice; after another attempt it would say BUSY.
        assert node.client(open_line(2, wait_ms=600)).read() == "ERR"
        received = [endpoint.received_lines.get() for _ in range(endpoint.received_lines.qsize())]
        assert len([line for line in received if line.startswith("OPEN 0000000000000002 ")]) == 1


def parent_of(tree: Any, path: tuple[str, ...]) -> Any:
    """The object that holds the last key of a path; a list on the way stands for its first entry."""
    for key in path[:-1]:
        tree = tree[0][key] if isinstance(tree, list) else tree[key]
    return tree[0] if isinstance(tree, list) else tree


def drop(*path: str) -> Change:
    """A change that removes a key."""
    return lambda tree: parent_of(tree, path).pop(path[-1])


def put(value: object, *path: str) -> Change:
    """A change that sets a key to a value."""
    return lambda tree: parent_of(tree, path).update({path[-1]: value})


@pytest.mark.parametrize(
    "change",
    [
        drop("settings"),
        drop("discovery"),
        drop("limits", "sockets"),
        drop("settings", "classes"),
        drop("settings", "policy_limits", "most_tries"),
        drop("settings", "classes", "give_up_us"),
        drop("settings", "classes", "name"),
        put(None, "settings", "classes", "give_up_us"),
        put(0, "settings", "classes", "give_up_us"),
        put(-5, "settings", "classes", "give_up_us"),
        put(0, "settings", "policy_limits", "most_tries"),
        put([], "settings", "classes"),
        put({}, "settings", "classes"),
        put(2 * SETTINGS["classes"], "settings", "classes"),
    ],
)
def test_reload_of_a_bad_file_changes_nothing(change: Change) -> None:
    """Regression: defaults replaced missing keys, and the rest of the file was applied."""
    second = Discovery()
    with Node(FakeEndpoint("s-1"), discovery=(discovery := Discovery())) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        tree = {**json.loads(json.dumps(node.config)), "discovery": second.address}
        tree["settings"]["policy_limits"]["most_tries"] = 2
        change(tree)
        node.reload(json.dumps(tree))
        node.wait_for_log("reload failed, keeping the old configuration")
        assert node.client(open_line()).read() == "UP r1"
        metrics = node.call_admin("/v1/metrics")[1].split()
        assert "edge_gw.reloads_ok:0|c" in metrics and "edge_gw.reloads_failed:1|c" in metrics
        assert second.watch_paths.empty()


def test_changed_class_gets_a_new_index_and_a_restored_one_its_old_index() -> None:
    first = parse_node_settings(SETTINGS).policy
    altered = parse_node_settings(changed(put(9_000_000, "classes", "give_up_us"))).policy
    table = merge_settings(first, altered)
    assert [cls.deadline_us for cls in table.classes] == [1_200_000, 9_000_000]
    assert merge_settings(table, first).classes == table.classes
