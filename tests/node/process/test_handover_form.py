"""The exact messages between two processes of a node, of which the other one may run an older version.

`tests/data/handover-5fd6943.json` holds the messages between two processes of that commit.
"""

from __future__ import annotations

import json
import os
import re
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import pytest

from tests.handover_kit import (
    CLIENT_REST,
    EMPTY_LIST_UPDATE,
    PEER_REST,
    RECORDED_PEER,
    ChannelEnd,
    Predecessor,
    Recording,
    channel_path,
    join_as_successor,
    load_recording,
    record_handover,
    use_recorded_settings,
)
from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line

KEY, GROUP = 0x7F3A9C21E0B4D655, 0x5C0F6E1A2B3D4C59
SESSION = {
    "from_client": "M \xc3",  # each byte is one character of latin-1
    "from_peer": "M \xe2",
    "owed": 1,
    "id": 0x1D,
    "class": "view",
    "tenant": "gold",
    "load": 2.5,
    "key": KEY,
    "group": GROUP,
    "at": "s-1",
}
SESSION_KEYS = [
    "client",
    "peer",
    "from_client",
    "from_peer",
    "owed",
    "id",
    "class",
    "tenant",
    "load",
    "key",
    "group",
    "at",
]
SNAPSHOT_KEYS = [
    "loads_told",
    "mean_load",
    "class_load",
    "cost_in_means",
    "servers",
    "wait_us",
    "probe_wait_us",
]
SERVER_KEYS = ["cost", "health", "weight", "error_sum", "last_error", "report_age_us"]


def target(uid: str, state: str, endpoint: str = RECORDED_PEER) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": "a",
        "model": "k",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def schema(value: Any) -> Any:
    """The keys of a message and the types of its values."""
    if isinstance(value, dict):
        return {key: schema(item) for key, item in value.items()}
    if isinstance(value, list):
        return [schema(item) for item in value]
    return type(value).__name__


@pytest.fixture(scope="module")
def current() -> Recording:
    """A hand-over between two processes of the current code."""
    return record_handover()


def test_state_message_has_its_fixed_keys_order_and_types(current: Recording) -> None:
    [state] = current.messages("list")
    assert json.loads(current.old[0]) == state
    assert list(state) == ["list", "learned"]
    targets = [target("s-1", "Ready"), target("s-2", "Terminating")]
    assert state["list"] == {"rev": 7, "all": True, "targets": targets}
    snapshot = state["learned"]
    assert list(snapshot) == SNAPSHOT_KEYS
    assert [list(row) for row in snapshot["servers"].values()] == [SERVER_KEYS] * 2
    assert schema(snapshot) == {
        "loads_told": "int",
        "mean_load": "float",
        "class_load": {"view": "float"},
        "cost_in_means": {"0": "float"},
        "servers": {
            uid: {**dict.fromkeys(SERVER_KEYS, "float"), "report_age_us": "int"} for uid in ("s-1", "s-2")
        },
        "wait_us": "float",
        "probe_wait_us": "float",
    }
    assert (snapshot["loads_told"], snapshot["mean_load"], snapshot["class_load"]) == (1, 2.0, {"view": 2.0})
    assert snapshot["servers"]["s-1"]["report_age_us"] >= 0
    assert snapshot["servers"]["s-2"]["report_age_us"] == -1  # it was never checked


def test_session_message_has_its_fixed_keys_and_order(current: Recording) -> None:
    [message] = current.messages("session")
    assert list(message) == ["number", "session"] and message["number"] == 1
    session = message["session"]
    assert list(session) == SESSION_KEYS
    assert isinstance(session["client"], int) and isinstance(session["peer"], int)
    assert {key: session[key] for key in SESSION} == SESSION


def test_small_messages_have_their_fixed_keys_and_types(current: Recording) -> None:
    assert current.messages("taken", by="new") == [{"taken": 1, "by_other": True}]
    assert current.messages("all") == [{"all": True}]
    for by in ("old", "new"):
        sent = current.messages("descriptors", by)
        assert sent and all(schema(message) == {"descriptors": "int"} for message in sent)


def test_no_other_messages_are_sent_and_descriptors_go_to_the_successor_only(current: Recording) -> None:
    sent_by = {by: [json.loads(line) for line in getattr(current, by)] for by in ("old", "new")}
    keys = {by: {key for message in messages for key in message} for by, messages in sent_by.items()}
    assert keys == {
        "old": {"list", "learned", "descriptors", "number", "session", "all"},
        "new": {"descriptors", "taken", "by_other"},
    }
    assert (current.old_descriptors, current.new_descriptors) == (3, 0)  # the listener, a client, an endpoint


@pytest.mark.parametrize("by", ["old", "new"])
@pytest.mark.parametrize("key", ["list", "session", "all", "taken", "descriptors"])
def test_messages_have_the_same_keys_and_types_as_recorded(current: Recording, key: str, by: str) -> None:
    before, now = (recording.messages(key, by) for recording in (load_recording(), current))
    if key == "descriptors":  # repeated while the process serves
        before, now = before[:1], now[:1]
    assert [schema(message) for message in now] == [schema(message) for message in before]
    assert [list(message) for message in now] == [list(message) for message in before]


class Replay(NamedTuple):
    """A node that takes over from an older process, and the remote ends of the session passed to it."""

    node: Node
    old: ChannelEnd
    listener: socket.socket
    client: socket.socket
    server: socket.socket
    state: dict[str, Any]  # as sent to the node


def connected() -> tuple[socket.socket, socket.socket]:
    """The local and the remote end of a connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        remote = socket.create_connection(listener.getsockname(), timeout=TIMEOUT_S)
        return listener.accept()[0], remote


def read_line(sock: socket.socket) -> bytes:
    """One line as bytes: it may start in the middle of a character."""
    line = b""
    while not line.endswith(b"\n") and (byte := sock.recv(1)):
        line += byte
    return line


@contextmanager
def replayed(learned: dict[str, Any] | None = None, discovery: Discovery | None = None) -> Iterator[Replay]:
    """Replay the recording to a process of the current code, which knows only the endpoints that it is sent.

    `learned` replaces the recorded snapshot.
    """
    endpoint = FakeEndpoint("s-1")
    sent, *rest = (line.replace(RECORDED_PEER, endpoint.address) for line in load_recording().old)
    state = json.loads(sent)
    if learned is not None:
        state["learned"] = learned
        sent = json.dumps(state)
    listener = socket.create_server(("127.0.0.1", 0))
    (local_client, client), (local_server, server) = connected(), connected()
    node = Node(discovery=discovery or Discovery(EMPTY_LIST_UPDATE), edit_config=use_recorded_settings)
    predecessor = Predecessor(channel_path(node), sent, listener)
    with node:
        old = predecessor.end()
        for line in rest:
            if "session" not in json.loads(line):
                old.send(line)
                continue
            old.send(line, local_client.fileno(), local_server.fileno())
            assert old.read_kind("taken") == {"taken": 1, "by_other": True}
        node.wait_for_log("all sessions received.* sessions=1|sessions=1.*all sessions received")
        yield Replay(node, old, listener, client, server, state)
    old.close()
    for sock in (local_client, local_server, client, server, listener):
        sock.close()
    endpoint.close()


def logged_above_info(node: Node) -> list[str]:
    """Kill the node, and return the warnings and errors that it has logged since its start."""
    node.process.kill()
    assert node.process.stderr is not None
    log = node.log_text + node.process.stderr.read()
    assert re.search(r'level["=: ]+info', log)
    return re.findall(r'.*(?:level["=: ]+(?:warning|error|critical)|Traceback).*', log)


def test_session_passed_by_an_older_process_continues() -> None:
    discovery = Discovery(EMPTY_LIST_UPDATE)
    with replayed(discovery=discovery) as replay:
        client, server = replay.client, replay.server
        client.sendall(CLIENT_REST)
        assert read_line(server) == CLIENT_REST
        server.sendall(PEER_REST)
        assert read_line(client) == PEER_REST
        client.sendall(b"M 1 goes on\r\n")
        assert read_line(server) == b"M 1 goes on\r\n"
        server.sendall(b"M 1 goes on\r\n")
        assert read_line(client) == b"M 1 goes on\r\n"
        # The endpoint list, its revision and the listener were taken over as well.
        assert discovery.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=7"
        address = replay.listener.getsockname()
        with socket.create_connection(address, timeout=TIMEOUT_S) as fresh:
            fresh.sendall(open_line(2).encode() + b"\r\n")
            assert read_line(fresh) == b"UP r1\r\n"
        assert logged_above_info(replay.node) == []


def test_state_of_an_older_process_is_passed_on_unchanged() -> None:
    """Each value keeps its key; s-2 is draining, so no controller step changes its values."""
    draining = {
        "cost": 0.09,
        "health": 0.5,
        "weight": 1.25,
        "error_sum": 0.125,
        "last_error": -0.25,
        "report_age_us": 5_000_000,
    }
    ready = {**draining, "cost": 0.07, "weight": 0.75, "report_age_us": 400_000}
    learned = {
        "loads_told": 12,
        "mean_load": 3.0,
        "class_load": {"view": 3.5},
        "cost_in_means": {"0": 0.07},
        "servers": {"s-1": ready, "s-2": draining},
        "wait_us": 140_000.5,
        "probe_wait_us": 700.25,
    }
    with replayed(learned) as replay:
        replay.old.close()
        successor = join_as_successor(channel_path(replay.node))
        state = successor.read()
        successor.send('{"descriptors": 36}')
        replay.node.terminate()
        message = successor.read_kind("session")
        assert message == {"number": 1, "session": message["session"]}
        assert {key: message["session"][key] for key in SESSION} == SESSION
        passed = [socket.socket(fileno=os.dup(descriptor)) for descriptor in successor.descriptors]
        assert passed[0].getsockname() == replay.listener.getsockname()
        assert [sock.getpeername() for sock in passed[1:]] == [
            sock.getsockname() for sock in (replay.client, replay.server)
        ]
        successor.send('{"taken": 1, "by_other": true}')
        assert successor.read_kind("all") == {"all": True}
        for sock in passed:
            sock.close()
        assert replay.node.process.wait(TIMEOUT_S) == 0  # it holds no part of the session any more
        successor.close()
        assert logged_above_info(replay.node) == []
    assert state["list"] == replay.state["list"]
    snapshot = state["learned"]
    age = snapshot["servers"]["s-2"].pop("report_age_us")
    assert 5_000_000 <= age < 5_000_000 + TIMEOUT_S * 1_000_000
    assert snapshot["servers"]["s-2"] == {key: draining[key] for key in SERVER_KEYS[:-1]}
    for key in set(SNAPSHOT_KEYS) - {"servers"}:
        assert snapshot[key] == learned[key], key


def test_session_of_an_unknown_class_is_refused() -> None:
    """The node doesn't know the class of the session, which the older process keeps."""
    with replayed() as replay:
        [line] = [line for line in load_recording().old if "session" in json.loads(line)]
        other = line.replace('"view"', '"look"').replace('"number": 1', '"number": 2')
        replay.old.send(other, replay.client.fileno(), replay.server.fileno())
        assert replay.old.read_kind("taken") == {"taken": 2, "by_other": False}
