"""System calls that fail for a moment, under real processes: what was accepted gets its answer."""

from __future__ import annotations

import errno
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.preload import Call, Machine
from stepflow.node.process import run as run_module
from stepflow.node.process import start
from stepflow.node.process.shutdown_schedule import CLIENT_LINGER
from tests.node.race_kit import expect_silence
from tests.node.test_wall_clock import on
from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening

EMPTY = '{"rev":1,"all":false,"targets":[]}'


@pytest.fixture
def machine(tmp_path: Path) -> Iterator[Machine]:
    yield Machine(tmp_path)


def healed_after(machine: Machine, seconds: float) -> threading.Timer:
    timer = threading.Timer(seconds, machine.heal)
    timer.start()
    return timer


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_clients_wait_while_accept_fails_for_want_of_something(machine: Machine, error: int) -> None:
    """At EMFILE all who waited were accepted and closed unheard."""
    with on(machine, Node(Peer("s-1"))) as node:
        machine.fail(Call.ACCEPT, 1.0, [error])
        clients = [node.client(opening(number)) for number in range(20)]
        expect_silence(0.1, *clients)
        machine.fail(Call.ACCEPT, 0.5, [error])  # the next call may be the one that succeeds
        time.sleep(0.2)
        machine.heal()
        assert [client.read() for client in clients] == ["UP r1"] * 20
        node.terminate()
        assert "Traceback" not in node.process.communicate(timeout=PATIENCE)[1]


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH])
def test_an_error_of_one_connection_keeps_no_other_from_being_accepted(machine: Machine, error: int) -> None:
    with on(machine, Node(Peer("s-1"))) as node:
        machine.fail(Call.ACCEPT, 0.5, [error])
        assert [node.client(opening(number)).read() for number in range(10)] == ["UP r1"] * 10
        node.terminate()
        assert "Traceback" not in node.process.communicate(timeout=PATIENCE)[1]


def test_clients_that_wait_at_the_listener_s_end_are_answered_though_accept_fails(machine: Machine) -> None:
    """Whoever waited was reset with the listener."""
    with on(machine, Node(Peer("s-1"))) as node:
        node.terminate()
        node.wait_log("event=leaves")
        machine.fail(Call.ACCEPT, 1.0, [errno.ENFILE])
        waiting = [node.client(opening(number)) for number in range(20)]
        expect_silence(CLIENT_LINGER.total_seconds() + 0.6, *waiting)
        machine.heal()
        assert [(line.read(), line.read()) for line in waiting] == [("BUSY", "")] * 20
        assert node.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("call", [Call.SOCKET, Call.CONNECT])
def test_an_attempt_waits_while_this_machine_can_make_no_connection(machine: Machine, call: Call) -> None:
    """The request had used up its attempts within a millisecond, and its servers were held to fail."""
    with on(machine, Node(Peer("s-1"), Peer("s-2"))) as node:
        machine.fail(call, 1.0)
        healed_after(machine, 0.1)
        client = node.client(opening(d=1000))
        assert client.read() == "UP r1"
        node.wait_counted("retries", 0)


def test_a_node_gets_ready_though_files_and_sockets_fail_at_its_start(
    machine: Machine, tmp_path: Path
) -> None:
    """It ended with 1 or 2."""
    node = on(machine, Node(Peer("s-1")))
    machine.env["STANDIN_FOLDER"] = node.folder
    node.env.update(machine.env)
    machine.fail(Call.OPEN, 1.0)
    machine.fail(Call.SOCKET, 1.0)
    healed_after(machine, 1.5)
    with node:
        assert node.client(opening()).read() == "UP r1"


def test_a_configuration_that_cannot_be_read_for_a_moment_is_read_again(machine: Machine) -> None:
    """It was turned down: the node went on with the discovery of before."""
    node = on(machine, Node(Peer("s-1")))
    machine.env["STANDIN_FOLDER"] = node.folder
    node.env.update(machine.env)
    with node:
        moved = Discovery()
        machine.fail(Call.OPEN, 1.0, [errno.EIO])
        node.reload(discovery=moved.address)
        time.sleep(0.3)
        machine.heal()
        assert moved.calls.get(timeout=PATIENCE)
        node.wait_counted("reloads", 1)
        node.wait_counted("reloads_failed", 0)
        moved.close()


def test_a_signal_that_comes_while_the_files_are_read_reloads_them(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was passed over: the node served by the file of before it."""
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


def test_discovery_that_refused_a_connection_is_called_again() -> None:
    """The call's end was lost in an exception, and the node never called again."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = taken.getsockname()

    def closed(config: dict[str, Any]) -> None:
        config["discovery"] = f"{address[0]}:{address[1]}"

    with Node(Peer("s-1"), change=closed) as node:
        node.wait_counted("lists_failed", 1)
        with socket.create_server(address) as opened:
            opened.settimeout(6)
            opened.accept()[0].close()


def test_nothing_begins_for_a_client_whose_end_lies_unread(machine: Machine) -> None:
    """A turn of many events takes long, and the end of a client comes behind them."""
    with on(machine, Node(peer := Peer("s-1", OPEN="BUSY"))) as node:
        client = node.client(opening(d=1000))
        assert peer.lines.get(timeout=PATIENCE).startswith("OPEN")
        machine.fail(Call.RECV_ACCEPTED, 1.0, [errno.EAGAIN])  # what clients send is heard of late
        client.close()
        time.sleep(0.1)
        while not peer.lines.empty():
            peer.lines.get()
        time.sleep(0.6)  # a refused attempt is followed by another within 0.4 s
        assert peer.lines.empty()
        machine.heal()
        node.wait_counted("left", 1)


@pytest.mark.parametrize(
    ("error", "told"), [(errno.ETIMEDOUT, "MOVE"), (errno.EHOSTUNREACH, "MOVE"), (errno.ECONNRESET, "RESET")]
)
def test_a_session_whose_way_to_its_peer_broke_is_moved(machine: Machine, error: int, told: str) -> None:
    """Its client was cut off without a MOVE, though the peer answered others. A reset is the peer's own."""
    with on(machine, Node(Peer("s-1"))) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        machine.fail(Call.RECV_DIALLED, 1.0, [error])
        client.send("M 1")
        assert client.read() == told
        machine.heal()
        assert node.client(opening(2)).read() == "UP r1"


def test_an_exit_is_in_order_though_signals_come_to_its_very_end() -> None:
    """The interpreter makes signals deadly again as it ends: the process died of a SIGHUP."""
    with Node(Peer("s-1")) as node:
        node.terminate()
        while node.process.poll() is None:
            node.process.send_signal(signal.SIGHUP)
            time.sleep(0.0005)
        assert node.process.returncode == 0


def test_a_node_serves_and_exits_in_order_though_its_log_cannot_be_written() -> None:
    """The first line of the log ended it."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    node = Node(Peer("s-1"))
    node.config["listen"] = f"{address[0]}:{address[1]}"
    node.write()
    with open("/dev/full", "w") as full:
        process = subprocess.Popen(
            [sys.executable, "-m", "stepflow"],
            env={**os.environ, "GW_CONFIG": node._path, **node.env},
            stderr=full,
        )
    try:
        until = time.monotonic() + PATIENCE
        while True:
            try:
                node._port = address[1]
                client = node.client(opening())
                break
            except ConnectionRefusedError:
                assert process.poll() is None and time.monotonic() < until
                time.sleep(0.05)
        assert client.read() == "UP r1"
        process.terminate()
        assert client.read() == "MOVE"
        assert process.wait(PATIENCE) == 0
    finally:
        process.kill()
