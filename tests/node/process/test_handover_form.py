"""What stands on the channel between a node's two processes, word for word: the other one may be older.

`tests/data/handover-5fd6943.json` holds what two processes of that commit have said to each other.
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
    LISTED,
    PEER_REST,
    RECORDED_PEER,
    ChannelEnd,
    Predecessor,
    Recording,
    channel_path,
    join_as_successor,
    load_recording,
    record_handover,
    with_tenants,
)
from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening

KEY, GROUP = 0x7F3A9C21E0B4D655, 0x5C0F6E1A2B3D4C59
SESSION = {
    "from_client": "M \xc3",  # each byte is one letter of latin-1
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
LEARNED_KEYS = [
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


def form(value: Any) -> Any:
    """The keys and the types of what a message holds, without its values."""
    if isinstance(value, dict):
        return {key: form(item) for key, item in value.items()}
    if isinstance(value, list):
        return [form(item) for item in value]
    return type(value).__name__


@pytest.fixture(scope="module")
def today() -> Recording:
    """A hand-over between two processes of this text."""
    return record_handover()


def test_the_state_has_these_keys_and_values(today: Recording) -> None:
    [state] = today.messages("list")
    assert json.loads(today.old[0]) == state
    assert list(state) == ["list", "learned"]
    targets = [target("s-1", "Ready"), target("s-2", "Terminating")]
    assert state["list"] == {"rev": 7, "all": True, "targets": targets}
    figures = state["learned"]
    assert list(figures) == LEARNED_KEYS
    assert [list(row) for row in figures["servers"].values()] == [SERVER_KEYS] * 2
    assert form(figures) == {
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
    assert (figures["loads_told"], figures["mean_load"], figures["class_load"]) == (1, 2.0, {"view": 2.0})
    assert figures["servers"]["s-1"]["report_age_us"] >= 0
    assert figures["servers"]["s-2"]["report_age_us"] == -1  # nobody has asked it


def test_a_session_has_these_keys_and_values(today: Recording) -> None:
    [message] = today.messages("session")
    assert list(message) == ["number", "session"] and message["number"] == 1
    session = message["session"]
    assert list(session) == SESSION_KEYS
    assert isinstance(session["client"], int) and isinstance(session["peer"], int)
    assert {key: session[key] for key in SESSION} == SESSION


def test_the_small_messages_have_these_keys_and_values(today: Recording) -> None:
    assert today.messages("taken", by="new") == [{"taken": 1, "by_other": True}]
    assert today.messages("all") == [{"all": True}]
    for by in ("old", "new"):
        told = today.messages("descriptors", by)
        assert told and all(form(message) == {"descriptors": "int"} for message in told)


def test_nothing_else_is_sent_and_descriptors_go_to_the_successor_only(today: Recording) -> None:
    said = {by: [json.loads(line) for line in getattr(today, by)] for by in ("old", "new")}
    words = {by: {key for message in messages for key in message} for by, messages in said.items()}
    assert words == {
        "old": {"list", "learned", "descriptors", "number", "session", "all"},
        "new": {"descriptors", "taken", "by_other"},
    }
    assert (today.old_descriptors, today.new_descriptors) == (3, 0)  # the listener, a client, a peer


@pytest.mark.parametrize("by", ["old", "new"])
@pytest.mark.parametrize("key", ["list", "session", "all", "taken", "descriptors"])
def test_what_is_sent_has_the_form_that_older_processes_read(today: Recording, key: str, by: str) -> None:
    before, now = (recording.messages(key, by) for recording in (load_recording(), today))
    if key == "descriptors":  # as often as there is time
        before, now = before[:1], now[:1]
    assert [form(message) for message in now] == [form(message) for message in before]
    assert [list(message) for message in now] == [list(message) for message in before]


class Replay(NamedTuple):
    """A node that an older process hands over to, and the far ends of the session that it is passed."""

    node: Node
    old: ChannelEnd
    listener: socket.socket
    client: socket.socket
    server: socket.socket
    state: dict[str, Any]  # as it was told


def connected() -> tuple[socket.socket, socket.socket]:
    """The near and the far end of a connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname(), timeout=PATIENCE)
        return listener.accept()[0], far


def read_line(sock: socket.socket) -> bytes:
    """One line as it came: it may begin amid a letter."""
    line = b""
    while not line.endswith(b"\n") and (byte := sock.recv(1)):
        line += byte
    return line


@contextmanager
def replayed(learned: dict[str, Any] | None = None, discovery: Discovery | None = None) -> Iterator[Replay]:
    """Play the recording to a process of this text, which knows no servers but those that it is told.

    `learned` is told in place of the recorded figures.
    """
    peer = Peer("s-1")
    told, *rest = (line.replace(RECORDED_PEER, peer.address) for line in load_recording().old)
    state = json.loads(told)
    if learned is not None:
        state["learned"] = learned
        told = json.dumps(state)
    listener = socket.create_server(("127.0.0.1", 0))
    (near_client, client), (near_server, server) = connected(), connected()
    node = Node(discovery=discovery or Discovery(LISTED), change=with_tenants)
    predecessor = Predecessor(channel_path(node), told, listener)
    with node:
        old = predecessor.end()
        for line in rest:
            if "session" not in json.loads(line):
                old.send(line)
                continue
            old.send(line, near_client.fileno(), near_server.fileno())
            assert old.read_kind("taken") == {"taken": 1, "by_other": True}
        node.wait_log("has all sessions.* sessions=1|sessions=1.*has all sessions")
        yield Replay(node, old, listener, client, server, state)
    old.close()
    for sock in (near_client, near_server, client, server, listener):
        sock.close()
    peer.close()


def logged_above_info(node: Node) -> list[str]:
    """The warnings and errors that a node has logged from its start on; it is killed."""
    node.process.kill()
    assert node.process.stderr is not None
    log = node.seen + node.process.stderr.read()
    assert re.search(r'level["=: ]+info', log)
    return re.findall(r'.*(?:level["=: ]+(?:warning|error|critical)|Traceback).*', log)


def test_an_older_process_hands_over_and_its_session_goes_on() -> None:
    discovery = Discovery(LISTED)
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
        # The list, its version, and the listener are the older process's as well.
        assert discovery.calls.get(timeout=PATIENCE) == "/v1/servers?watch=1&from=7"
        address = replay.listener.getsockname()
        with socket.create_connection(address, timeout=PATIENCE) as fresh:
            fresh.sendall(opening(2).encode() + b"\r\n")
            assert read_line(fresh) == b"UP r1\r\n"
        assert logged_above_info(replay.node) == []


def test_what_an_older_process_has_told_is_told_to_the_next_one() -> None:
    """Each figure comes out under the key that it went in by; s-2 drains, so no step moves its own."""
    drained = {
        "cost": 0.09,
        "health": 0.5,
        "weight": 1.25,
        "error_sum": 0.125,
        "last_error": -0.25,
        "report_age_us": 5_000_000,
    }
    usual = {**drained, "cost": 0.07, "weight": 0.75, "report_age_us": 400_000}
    learned = {
        "loads_told": 12,
        "mean_load": 3.0,
        "class_load": {"view": 3.5},
        "cost_in_means": {"0": 0.07},
        "servers": {"s-1": usual, "s-2": drained},
        "wait_us": 140_000.5,
        "probe_wait_us": 700.25,
    }
    with replayed(learned) as replay:
        replay.old.close()
        next_one = join_as_successor(channel_path(replay.node))
        state = next_one.read()
        next_one.send('{"descriptors": 36}')
        replay.node.terminate()
        message = next_one.read_kind("session")
        assert message == {"number": 1, "session": message["session"]}
        assert {key: message["session"][key] for key in SESSION} == SESSION
        passed = [socket.socket(fileno=os.dup(descriptor)) for descriptor in next_one.descriptors]
        assert passed[0].getsockname() == replay.listener.getsockname()
        assert [sock.getpeername() for sock in passed[1:]] == [
            sock.getsockname() for sock in (replay.client, replay.server)
        ]
        next_one.send('{"taken": 1, "by_other": true}')
        assert next_one.read_kind("all") == {"all": True}
        for sock in passed:
            sock.close()
        assert replay.node.process.wait(PATIENCE) == 0  # it holds nothing of the session any more
        next_one.close()
        assert logged_above_info(replay.node) == []
    assert state["list"] == replay.state["list"]
    figures = state["learned"]
    age = figures["servers"]["s-2"].pop("report_age_us")
    assert 5_000_000 <= age < 5_000_000 + PATIENCE * 1_000_000
    assert figures["servers"]["s-2"] == {key: drained[key] for key in SERVER_KEYS[:-1]}
    for key in set(LEARNED_KEYS) - {"servers"}:
        assert figures[key] == learned[key], key


def test_a_session_that_is_not_taken_is_told_so() -> None:
    """Its class is unknown here; the older process keeps it."""
    with replayed() as replay:
        [line] = [line for line in load_recording().old if "session" in json.loads(line)]
        other = line.replace('"view"', '"look"').replace('"number": 1', '"number": 2')
        replay.old.send(other, replay.client.fileno(), replay.server.fileno())
        assert replay.old.read_kind("taken") == {"taken": 2, "by_other": False}
