"""Transient errors of system calls, with real processes: every accepted client is answered."""

from __future__ import annotations

import errno
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from standins.preload import Call, Machine
from stepflow.node.process import run as run_module
from stepflow.node.process import start
from stepflow.node.process.shutdown_schedule import CLIENT_LINGER
from tests.node.machine_kit import with_faults
from tests.node.race_kit import expect_silence
from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line

EMPTY = '{"rev":1,"all":false,"targets":[]}'


def heal_after(machine: Machine, seconds: float) -> threading.Timer:
    timer = threading.Timer(seconds, machine.heal)
    timer.start()
    return timer


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_clients_wait_while_accept_lacks_resources(machine: Machine, error: int) -> None:
    """Regression: on EMFILE, all waiting clients were accepted and closed without an answer."""
    with with_faults(machine, Node(FakeEndpoint("s-1"))) as node:
        machine.fail(Call.ACCEPT, 1.0, [error])
        clients = [node.client(open_line(number)) for number in range(20)]
        expect_silence(0.1, *clients)
        machine.fail(Call.ACCEPT, 0.5, [error])  # the next call may succeed
        time.sleep(0.2)
        machine.heal()
        assert [client.read() for client in clients] == ["UP r1"] * 20
        node.terminate()
        assert "Traceback" not in node.wait_exit()


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH])
def test_error_of_one_connection_does_not_stop_accepting(machine: Machine, error: int) -> None:
    with with_faults(machine, Node(FakeEndpoint("s-1"))) as node:
        machine.fail(Call.ACCEPT, 0.5, [error])
        assert [node.client(open_line(number)).read() for number in range(10)] == ["UP r1"] * 10
        node.terminate()
        assert "Traceback" not in node.wait_exit()


def test_clients_waiting_when_the_listener_closes_are_answered_though_accept_fails(machine: Machine) -> None:
    """Regression: waiting clients were reset when the listener closed."""
    with with_faults(machine, Node(FakeEndpoint("s-1"))) as node:
        node.terminate()
        node.wait_for_log('event="shutdown started"')
        machine.fail(Call.ACCEPT, 1.0, [errno.ENFILE])
        waiting = [node.client(open_line(number)) for number in range(20)]
        expect_silence(CLIENT_LINGER.total_seconds() + 0.6, *waiting)
        machine.heal()
        assert [(line.read(), line.read()) for line in waiting] == [("BUSY", "")] * 20
        assert node.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("call", [Call.SOCKET, Call.CONNECT])
def test_attempt_waits_while_no_local_connection_can_be_made(machine: Machine, call: Call) -> None:
    """Regression: a request used up its attempts within a millisecond, and endpoints counted as failing."""
    with with_faults(machine, Node(FakeEndpoint("s-1"), FakeEndpoint("s-2"))) as node:
        machine.fail(call, 1.0)
        heal_after(machine, 0.1)
        client = node.client(open_line(wait_ms=1000))
        assert client.read() == "UP r1"
        node.wait_for_counter("retries", 0)


def test_node_becomes_ready_though_files_and_sockets_fail_at_the_start(
    machine: Machine, tmp_path: Path
) -> None:
    """Regression: the process exited with code 1 or 2."""
    node = with_faults(machine, Node(FakeEndpoint("s-1")))
    machine.env["STANDIN_FOLDER"] = node.temp_dir
    node.env.update(machine.env)
    machine.fail(Call.OPEN, 1.0)
    machine.fail(Call.SOCKET, 1.0)
    heal_after(machine, 1.5)
    with node:
        assert node.client(open_line()).read() == "UP r1"


def test_reload_reads_an_unreadable_configuration_again(machine: Machine) -> None:
    """Regression: the reload failed, and the node kept its old discovery address."""
    node = with_faults(machine, Node(FakeEndpoint("s-1")))
    machine.env["STANDIN_FOLDER"] = node.temp_dir
    node.env.update(machine.env)
    with node:
        moved = Discovery()
        machine.fail(Call.OPEN, 1.0, [errno.EIO])
        node.reload(discovery=moved.address)
        time.sleep(0.3)
        machine.heal()
        assert moved.watch_paths.get(timeout=TIMEOUT_S)
        node.wait_for_counter("reloads", 1)
        node.wait_for_counter("reloads_failed", 0)
        moved.close()


def test_sighup_during_the_start_reloads_the_files(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: the signal was lost, and the node served with the older file."""
    seen: list[Any] = []

    def load(environ: object, before: object = None) -> object:
        os.kill(os.getpid(), signal.SIGHUP)
        return object()

    def run(config: object, operators: object, reread: object, reloads: object) -> int:
        seen.append(reloads)
        return 0

    before = signal.getsignal(signal.SIGHUP)
    monkeypatch.setattr(start, "load_config", load)
    monkeypatch.setattr(run_module, "run", run)
    try:
        assert start.start() == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert seen == [[signal.SIGHUP]]


def test_discovery_is_called_again_after_a_refused_connection() -> None:
    """Regression: an exception hid the end of the call, and the node never called again."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = taken.getsockname()

    def closed(config: dict[str, Any]) -> None:
        config["discovery"] = f"{address[0]}:{address[1]}"

    with Node(FakeEndpoint("s-1"), edit_config=closed) as node:
        node.wait_for_counter("lists_failed", 1)
        with socket.create_server(address) as opened:
            opened.settimeout(6)
            opened.accept()[0].close()


def test_no_attempt_starts_for_a_client_whose_end_is_unread(machine: Machine) -> None:
    """The client's end is read late, after many other events of the same reactor turn."""
    with with_faults(machine, Node(endpoint := FakeEndpoint("s-1", OPEN="BUSY"))) as node:
        client = node.client(open_line(wait_ms=1000))
        assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN")
        machine.fail(Call.RECV_ACCEPTED, 1.0, [errno.EAGAIN])  # what clients send is read late
        client.close()
        time.sleep(0.1)
        while not endpoint.received_lines.empty():
            endpoint.received_lines.get()
        time.sleep(0.6)  # a refused attempt is followed by another within 0.4 s
        assert endpoint.received_lines.empty()
        machine.heal()
        node.wait_for_counter("left", 1)


@pytest.mark.parametrize(
    ("error", "answer"),
    [(errno.ETIMEDOUT, "MOVE"), (errno.EHOSTUNREACH, "MOVE"), (errno.ECONNRESET, "RESET")],
)
def test_session_is_migrated_when_its_network_path_breaks(machine: Machine, error: int, answer: str) -> None:
    """Regression: the client got no MOVE, though others were answered. A reset comes from the endpoint."""
    with with_faults(machine, Node(FakeEndpoint("s-1"))) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        machine.fail(Call.RECV_DIALLED, 1.0, [error])
        client.send("M 1")
        assert client.read() == answer
        machine.heal()
        assert node.client(open_line(2)).read() == "UP r1"


def test_exit_code_is_0_though_signals_come_until_the_end() -> None:
    """Regression: the interpreter restores default handlers as it exits, and a SIGHUP killed the process."""
    with Node(FakeEndpoint("s-1")) as node:
        node.terminate()
        while node.process.poll() is None:
            node.process.send_signal(signal.SIGHUP)
            time.sleep(0.0005)
        assert node.process.returncode == 0


def test_node_serves_and_shuts_down_gracefully_with_an_unwritable_log() -> None:
    """Regression: the process exited at the first line of the log."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    node = Node(FakeEndpoint("s-1"))
    node.config["listen"] = f"{address[0]}:{address[1]}"
    node.write_config()
    with open("/dev/full", "w") as full:
        process = subprocess.Popen(
            [sys.executable, "-m", "stepflow"],
            env={**os.environ, "GW_CONFIG": node.config_path, **node.env},
            stderr=full,
        )
    try:
        until = time.monotonic() + TIMEOUT_S
        while True:
            try:
                node.port = address[1]
                client = node.client(open_line())
                break
            except ConnectionRefusedError:
                assert process.poll() is None and time.monotonic() < until
                time.sleep(0.05)
        assert client.read() == "UP r1"
        process.terminate()
        assert client.read() == "MOVE"
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
