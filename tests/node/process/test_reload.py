"""Stories of new settings at SIGHUP."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from stepflow.settings import merge_settings, parse_node_settings
from tests.node_kit import PATIENCE, SETTINGS, Discovery, Node, Peer, opening


def changed(change: Callable[[Any], object]) -> Any:
    """The settings with this done to them."""
    settings = json.loads(json.dumps(SETTINGS))
    change(settings)
    return settings


def test_a_class_comes_and_another_goes_while_sessions_stand() -> None:
    """All settings were left as they were, and the clients of a new class got ERR."""

    def rename(settings: Any) -> None:
        settings["classes"][0]["name"] = "look"

    with Node(Peer("s-1")) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        node.reload(settings=changed(rename))
        node.wait_log("takes settings.* classes=look")
        node.wait_log("event=reloaded")
        assert node.client(opening(2)).read() == "ERR malformed"
        assert node.client(opening(3).replace("c=view", "c=look")).read() == "UP r1"
        client.send("M 1 unharmed")
        assert client.read() == "M 1 unharmed"
        figures = node.ops("/v1/metrics")[1].split()
        assert "edge_gw.requests.view.served:1|c" in figures and "edge_gw.requests.look.served:1|c" in figures
        assert "edge_gw.reloads_ok:1|c" in figures


def test_what_is_open_keeps_its_limit_of_attempts_and_what_comes_has_the_new_one() -> None:
    def once(settings: Any) -> None:
        settings["policy_limits"]["most_tries"] = 1
        settings["classes"][0]["effect"] = "once"

    with Node(peer := Peer("s-1", OPEN=None)) as node:
        client = node.client(opening(1, d=8000))
        assert peer.lines.get(timeout=PATIENCE).startswith("OPEN 0000000000000001 ")
        node.reload(settings=changed(once))
        node.wait_log("event=reloaded")
        assert peer.lines.get(timeout=PATIENCE).startswith("OPEN 0000000000000001 ")
        client.close()
        # It may have run, and now must not run twice; one attempt more would say BUSY.
        assert node.client(opening(2, d=600)).read() == "ERR"
        seen = [peer.lines.get() for _ in range(peer.lines.qsize())]
        assert len([line for line in seen if line.startswith("OPEN 0000000000000002 ")]) == 1


def drop(*path: str) -> Callable[[Any], object]:
    def change(tree: Any) -> None:
        for key in path[:-1]:
            tree = tree[0][key] if isinstance(tree, list) else tree[key]
        (tree[0] if isinstance(tree, list) else tree).pop(path[-1])

    return change


def put(value: object, *path: str) -> Callable[[Any], object]:
    def change(tree: Any) -> None:
        for key in path[:-1]:
            tree = tree[0][key] if isinstance(tree, list) else tree[key]
        (tree[0] if isinstance(tree, list) else tree)[path[-1]] = value

    return change


@pytest.mark.parametrize(
    "spoil",
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
def test_a_broken_file_changes_nothing_at_all(spoil: Callable[[Any], object]) -> None:
    """Defaults filled what a file was short of, and its other half was taken."""
    second = Discovery()
    with Node(Peer("s-1"), discovery=(discovery := Discovery())) as node:
        assert discovery.calls.get(timeout=PATIENCE)
        tree = {**json.loads(json.dumps(node.config)), "discovery": second.address}
        tree["settings"]["policy_limits"]["most_tries"] = 2
        spoil(tree)
        node.reload(json.dumps(tree))
        node.wait_log("the old configuration goes on")
        assert node.client(opening()).read() == "UP r1"
        figures = node.ops("/v1/metrics")[1].split()
        assert "edge_gw.reloads_ok:0|c" in figures and "edge_gw.reloads_failed:1|c" in figures
        assert second.calls.empty()


def test_an_altered_class_gets_a_new_number_and_an_old_one_its_own_again() -> None:
    first = parse_node_settings(SETTINGS).policy
    altered = parse_node_settings(changed(put(9_000_000, "classes", "give_up_us"))).policy
    table = merge_settings(first, altered)
    assert [cls.deadline_us for cls in table.classes] == [1_200_000, 9_000_000]
    assert merge_settings(table, first).classes == table.classes
