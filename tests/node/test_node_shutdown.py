"""Graceful shutdown on SIGTERM over loopback: what is still answered, migrated and relayed."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from shutil import rmtree
from typing import Any

import pytest

from stepflow.node.process.shutdown_schedule import CLIENT_LINGER, KILL_AFTER, MAX_DEADLINE_COUNTED
from tests.node.crowd_kit import CLIENTS_PER_PROCESS, Crowd
from tests.node.race_kit import SilentListener, expect_silence, set_class
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line


def test_sigterm_migrates_sessions_and_prints_the_counters() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        sessions = [node.client(open_line(number)) for number in range(3)]
        assert [client.read() for client in sessions] == ["UP r1"] * 3
        node.terminate()
        node.wait_for_log('event="shutdown started" connections=3')
        sessions.append(node.client(open_line(9)))
        assert sessions[-1].read() == "UP r1"  # clients keep connecting for a while
        assert [client.read() for client in sessions] == ["MOVE"] * 4
        node.wait_for_log("counters: .* requests=4 .* served=4 .* moved=4 ")
        assert node.process.wait(TIMEOUT_S) == 0


def test_sigterm_serves_a_session_while_there_is_time() -> None:
    """In a rolling restart, a session migrated at once would reach a node that is shutting down as well."""

    def set_longest_deadline(config: dict[str, Any]) -> None:
        config["settings"]["classes"][0]["give_up_us"] = 60_000_000

    with Node(FakeEndpoint("s-1"), edit_config=set_longest_deadline) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        node.terminate()
        node.wait_for_log("stopped accepting clients")
        client.send("M 1 still here")
        assert [client.read(), client.read()] == ["M 1 still here", "MOVE"]
        client.close()
        assert node.process.wait(TIMEOUT_S) == 0


def test_sigterm_answers_requests_in_the_accept_queue() -> None:
    """The kernel resets connections in the queue of a listener that is closed."""
    with Node(FakeEndpoint("s-1")) as node:
        node.terminate()
        node.wait_for_log('event="shutdown started"')
        node.suspend()
        waiting = [node.client(open_line(number)) for number in range(60)]
        expect_silence(CLIENT_LINGER.total_seconds() + 0.05, *waiting)  # the listener is due to close
        node.resume()
        assert [(line.read(), line.read()) for line in waiting] == [("BUSY", "")] * 60
        assert node.process.wait(TIMEOUT_S) == 0


def test_sigterm_in_a_crowd_of_half_lines_moves_each_session_before_the_kill() -> None:
    """Guards against a restart that works off the queue of a crowd and serves no session until the kill."""
    processes = 4
    with Node(FakeEndpoint("s-1"), edit_config=set_class(give_up_us=3_000_000)) as node:
        sessions = [node.client(open_line(number, group=number)) for number in range(10)]
        assert [client.read() for client in sessions] == ["UP r1"] * 10
        crowd = Crowd(node.port, processes)
        signalled = time.monotonic()
        node.terminate()
        node.wait_for_log('event="shutdown started"')
        crowd.connect()
        try:
            assert [client.read() for client in sessions] == ["MOVE"] * 10
            for client in sessions:
                client.close()
            assert node.process.wait(TIMEOUT_S) == 0
            assert time.monotonic() - signalled < (MAX_DEADLINE_COUNTED + KILL_AFTER).total_seconds()
            assert crowd.answers() == processes * CLIENTS_PER_PROCESS
        finally:
            crowd.close()


@pytest.mark.parametrize("effect", ["once", "by_key"])
def test_sigterm_does_not_reject_a_request_that_may_have_taken_effect(effect: str) -> None:
    """BUSY says that a retry is safe, but the endpoint may have the request."""
    change = set_class(effect=effect, key_scope="cell", key_ttl_us=5_000_000, give_up_us=3_000_000)
    with Node(endpoint := FakeEndpoint("s-1", OPEN=None), edit_config=change) as node:
        taken, left = node.client(open_line(1, wait_ms=3000)), node.client(open_line(2, wait_ms=3000))
        held = [endpoint.unanswered.get(timeout=TIMEOUT_S) for _ in range(2)]
        first = endpoint.received_lines.get(timeout=TIMEOUT_S).split(" ")[1]
        node.terminate()
        node.wait_for_log("stopped accepting clients")
        held[0].send("UP r7")
        served, other = (taken, left) if first == f"{1:016x}" else (left, taken)
        assert [served.read(), served.read()] == ["UP r7", "MOVE"]
        assert [other.read(), other.read()] == ["ERR", ""]
        assert node.process.wait(TIMEOUT_S) == 0


def test_sigterm_rejects_an_idempotent_request_and_cancels_its_attempt() -> None:
    with Node(
        endpoint := FakeEndpoint("s-1", OPEN=None), edit_config=set_class(give_up_us=3_000_000)
    ) as node:
        client = node.client(open_line(wait_ms=3000))
        endpoint.unanswered.get(timeout=TIMEOUT_S)
        node.terminate()
        assert [client.read(), client.read()] == ["BUSY", ""]
        assert node.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("part", ["", "PING\r\n", "OPEN 00"])
def test_sigterm_answers_unopened_clients_without_a_reset(part: str) -> None:
    """A request may be in transit when the process exits."""
    with Node(FakeEndpoint("s-1")) as node:
        unopened = node.client()
        unopened.sock.sendall(part.encode())
        if "PING" in part:
            assert unopened.read() == "PONG"
        node.terminate()
        assert unopened.read() == "BUSY"
        unopened.send(open_line()[len(part) if "OPEN" in part else 0 :])
        assert unopened.read() in ("", "RESET")  # and no attempt is made
        assert node.process.wait(TIMEOUT_S) == 0 and node.endpoints[0].received_lines.empty()


def test_sigterm_migrates_a_session_at_the_end_of_its_line() -> None:
    with Node(fake_endpoint := FakeEndpoint("s-1", X=None)) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        endpoint.sock.sendall(b"X ha")
        assert client.sock.recv(4) == b"X ha"
        node.terminate()
        node.wait_for_log("stopped accepting clients")
        expect_silence(0.9, client)  # the last migrations are over, the exit is not due yet
        endpoint.sock.sendall(b"lf\r\n")
        assert [client.read(), client.read(), client.read()] == ["lf", "MOVE", ""]
        assert node.process.wait(TIMEOUT_S) == 0


def test_sigterm_exits_before_the_kill_with_short_deadlines() -> None:
    """At 200 ms, SIGKILL may come after 0.9 s; a client that does not read must not delay the exit."""
    with Node(FakeEndpoint("s-1"), edit_config=set_class(give_up_us=200_000)) as node:
        client = node.client(open_line(wait_ms=2000))
        assert client.read() == "UP r1"
        node.terminate()
        assert node.process.wait(0.9) == 0  # the client keeps its side open
        assert client.read() == "MOVE"


def test_repeated_signals_end_the_process_once() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            node.process.send_signal(number)
        assert [client.read(), client.read()] == ["MOVE", ""]
        assert node.process.wait(TIMEOUT_S) == 0
        assert node.process.stderr is not None and " faults=0" in node.process.stderr.read()


def test_sigterm_before_listening_exits_at_once() -> None:
    """The agent never answers, so the node does not listen for the first half second."""
    agent = SilentListener()
    node = Node(edit_config=lambda config: config["settings"].update(discovery="pushed"))
    node.write_config(json.dumps({**node.config, "discovery": agent.address}))
    with subprocess.Popen(
        [sys.executable, "-m", "stepflow"],
        env={**os.environ, "GW_CONFIG": node.config_path, **node.env},
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        agent.called.get(timeout=TIMEOUT_S)
        process.send_signal(signal.SIGTERM)
        log = process.communicate(timeout=TIMEOUT_S)[1]
    assert process.returncode == 0 and "listening address" not in log and " faults=0" in log
    agent.close()
    rmtree(node.temp_dir)
