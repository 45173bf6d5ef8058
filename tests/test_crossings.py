"""Two things in one moment, over loopback, with the crossing forced: an end, and what is still on its way."""

from __future__ import annotations

import json
import os
import queue
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from datetime import timedelta
from pathlib import Path
from shutil import rmtree
from typing import Any

import pytest

from stepflow.node.process.shutdown_schedule import CLIENT_LINGER
from stepflow.node.relay import CLIENT_STALL_CHECK_INTERVAL, CLIENT_STALL_TIMEOUT
from tests.node_kit import PATIENCE, Discovery, Line, Listener, Node, Peer, opening


def set_class(**told: Any) -> Any:
    def change(config: dict[str, Any]) -> None:
        config["settings"]["classes"][0].update(told)

    return change


def few_sockets(config: dict[str, Any]) -> None:
    config["limits"]["sockets"] = 128


def let_pass(seconds: float, *silent: Line) -> None:
    """Let so much time pass in which nothing comes on these."""
    assert not select.select([line.sock for line in silent], [], [], seconds)[0]


class Listening(Listener):
    """Takes calls and says nothing."""

    def __init__(self) -> None:
        self.called: queue.Queue[str] = queue.Queue()
        super().__init__()

    def serve(self, line: Line) -> None:
        self.called.put(line.read())
        line.read()


def flood(line: Line) -> None:
    """Send until the node has read nothing more for a while."""
    for _ in range(2000):
        if not select.select([], [line.sock], [], 0.3)[1]:
            return
        line.sock.send((b"LOAD " + b"0" * 4000 + b"1\r\n") * 8, socket.MSG_DONTWAIT)
    raise AssertionError("the node reads on without end")


class Gate:
    """A map server's address whose connections come up late: its queue is full until `open` empties it.

    A SYN that finds no room is sent again by the kernel, a second later; so each dial takes that long.
    """

    def __init__(self, uid: str) -> None:
        self.uid, self._sock = uid, socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._filler = socket.create_connection(self._sock.getsockname())

    def entry(self, state: str = "Ready") -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "k",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def open(self, patience: float = PATIENCE) -> Line:
        """Let the next connection come up, and take it."""
        self._sock.settimeout(patience)
        self._sock.accept()[0].close()
        return Line(self._sock.accept()[0])

    def wait_dialled(self) -> None:
        """Until the kernel shows a dial that is under way (state 02, SYN_SENT)."""
        to = f"0100007F:{int(self.address.rpartition(':')[2]):04X} 02"
        until = time.monotonic() + PATIENCE
        while to not in Path("/proc/net/tcp").read_text():
            assert time.monotonic() < until

    def close(self) -> None:
        self._filler.close()
        self._sock.close()


# SIGTERM


def test_requests_that_wait_in_the_kernel_when_the_listener_ends_are_answered() -> None:
    """It was closed over them: all were reset, and lost."""
    with Node(Peer("s-1")) as node:
        node.terminate()
        node.wait_log("event=leaves")
        node.freeze()
        waiting = [node.client(opening(number)) for number in range(60)]
        let_pass(CLIENT_LINGER.total_seconds() + 0.05, *waiting)  # the listener's end is due
        node.thaw()
        assert [(line.read(), line.read()) for line in waiting] == [("BUSY", "")] * 60
        assert node.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("effect", ["once", "by_key"])
def test_what_may_have_run_and_must_not_run_twice_is_not_refused_at_sigterm(effect: str) -> None:
    """It was told that trying again is harmless, 0.45 s after the signal; its peer had it all the same."""
    change = set_class(effect=effect, key_scope="cell", key_ttl_us=5_000_000, give_up_us=3_000_000)
    with Node(peer := Peer("s-1", OPEN=None), change=change) as node:
        taken, left = node.client(opening(1, d=3000)), node.client(opening(2, d=3000))
        held = [peer.held.get(timeout=PATIENCE) for _ in range(2)]
        first = peer.lines.get(timeout=PATIENCE).split(" ")[1]
        node.terminate()
        node.wait_log("listens no more")
        held[0].send("UP r7")
        served, other = (taken, left) if first == f"{1:016x}" else (left, taken)
        assert [served.read(), served.read()] == ["UP r7", "MOVE"]
        assert [other.read(), other.read()] == ["ERR", ""]
        assert node.process.wait(PATIENCE) == 0


def test_a_repeatable_request_that_is_out_at_sigterm_is_refused_and_its_attempt_given_up() -> None:
    with Node(peer := Peer("s-1", OPEN=None), change=set_class(give_up_us=3_000_000)) as node:
        client = node.client(opening(d=3000))
        peer.held.get(timeout=PATIENCE)
        node.terminate()
        assert [client.read(), client.read()] == ["BUSY", ""]
        assert node.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("part", ["", "PING\r\n", "OPEN 00"])
def test_a_client_that_rests_at_the_end_gets_an_answer_and_no_reset(part: str) -> None:
    """The exit closed it: a request that crossed that end was reset without an answer."""
    with Node(Peer("s-1")) as node:
        resting = node.client()
        resting.sock.sendall(part.encode())
        if "PING" in part:
            assert resting.read() == "PONG"
        node.terminate()
        assert resting.read() == "BUSY"
        resting.send(opening()[len(part) if "OPEN" in part else 0 :])
        assert resting.read() in ("", "RESET")  # never sent on
        assert node.process.wait(PATIENCE) == 0 and node.peers[0].lines.empty()


def test_a_session_amid_a_line_at_the_last_moves_gets_the_rest_and_a_move() -> None:
    with Node(peer := Peer("s-1", X=None)) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        pieces = peer.standing.get(timeout=PATIENCE)
        pieces.sock.sendall(b"X ha")
        assert client.sock.recv(4) == b"X ha"
        node.terminate()
        node.wait_log("listens no more")
        let_pass(0.9, client)  # the last moves are over, the exit is not
        pieces.sock.sendall(b"lf\r\n")
        assert [client.read(), client.read(), client.read()] == ["lf", "MOVE", ""]
        assert node.process.wait(PATIENCE) == 0


def test_with_short_deadlines_the_exit_comes_before_the_kill() -> None:
    """At 200 ms SIGKILL may come after 0.9 s, and the farewell to a client that does not read took longer."""
    with Node(Peer("s-1"), change=set_class(give_up_us=200_000)) as node:
        client = node.client(opening(d=2000))
        assert client.read() == "UP r1"
        node.terminate()
        assert node.process.wait(0.9) == 0  # the client holds its side open
        assert client.read() == "MOVE"


def test_sigterm_twice_and_sighup_in_between_end_it_once() -> None:
    with Node(Peer("s-1")) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            node.process.send_signal(number)
        assert [client.read(), client.read()] == ["MOVE", ""]
        assert node.process.wait(PATIENCE) == 0
        assert node.process.stderr is not None and " faults=0" in node.process.stderr.read()


def test_sigterm_before_it_listens_ends_it_at_once() -> None:
    """Its agent is silent, so it does not listen for half a second."""
    agent = Listening()
    node = Node(change=lambda config: config["settings"].update(discovery="pushed"))
    node.write(json.dumps({**node.config, "discovery": agent.address}))
    with subprocess.Popen(
        [sys.executable, "-m", "stepflow"],
        env={**os.environ, "GW_CONFIG": node._path, **node.env},
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        agent.called.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        said = process.communicate(timeout=PATIENCE)[1]
    assert process.returncode == 0 and "listens address" not in said and " faults=0" in said
    agent.close()
    rmtree(node.folder)


# An attempt that comes up late


def dialled(config: dict[str, Any]) -> None:
    config["settings"]["policy_limits"].update(connect_timeout_us=8_000_000, probing=False)
    config["settings"]["classes"][0]["give_up_us"] = 9_000_000


@contextmanager
def dialling(gate: Gate) -> Iterator[tuple[Node, Discovery, Line]]:
    """A node that dials the gate for a client."""
    with Node(discovery=(discovery := Discovery()), change=dialled) as node:
        assert discovery.calls.get(timeout=PATIENCE)
        discovery.tell(gate.entry())
        client = node.client(opening(d=9000))
        gate.wait_dialled()
        yield node, discovery, client
    gate.close()


def test_nothing_goes_to_a_peer_that_began_to_drain_while_it_was_dialled() -> None:
    """The line went out when the connection came up, a second after the grace."""
    gate, second = Gate("s-1"), Peer("s-2")
    with dialling(gate) as (_, discovery, client):
        discovery.tell(gate.entry("Terminating"), second.entry())
        late = gate.open()
        assert late.read() in ("", "RESET")
        assert client.read() == "UP r1"
        late.close()
    second.close()


def test_nothing_goes_out_for_a_client_that_left_while_its_peer_was_dialled() -> None:
    gate = Gate("s-1")
    with dialling(gate) as (node, _, client):
        client.close()
        node.wait_counted("left", 1)
        with suppress(TimeoutError):  # the dial was called off: there is nothing to come up
            assert gate.open(patience=3).read() in ("", "RESET")


def test_a_request_that_waits_is_not_sent_on_once_its_client_has_left() -> None:
    """Each attempt fails, and the next waits 100 to 400 ms."""
    change = set_class(give_up_us=5_000_000)
    with Node(first := Peer("s-1", OPEN="ERR"), Peer("s-2", OPEN="ERR"), change=change) as node:
        client = node.client(opening(d=5000))
        first.lines.get(timeout=PATIENCE)
        client.close()
        node.wait_counted("left", 1)
        for peer in node.peers:
            peer.answers["OPEN"] = "UP r1"
        before = sum(peer.lines.qsize() for peer in node.peers)
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        let_pass(0.5, other)  # the wait for the next attempt is over
        assert sum(peer.lines.qsize() for peer in node.peers) == before + 1


# Ends of a joined pair


def test_a_client_that_sends_on_and_ends_while_its_peer_floods_it_ends_the_peer_in_kind() -> None:
    """Closed over what the peer has sent, its socket may be reset, and the client's last line go with it."""
    with Node(peer := Peer("s-1", LAST=None)) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        flood(peer.standing.get(timeout=PATIENCE))
        client.send("LAST words")
        client.sock.shutdown(socket.SHUT_WR)
        said = [peer.lines.get(timeout=PATIENCE) for _ in range(2)]
        assert said[1] == "LAST words"
        assert peer.ends.get(timeout=PATIENCE) == "FIN"


def test_a_client_that_never_reads_is_closed_within_3_s_and_others_are_unharmed() -> None:
    """It stayed for good, with its peer's lines held back behind what it left unread."""
    assert timedelta(seconds=3) > CLIENT_STALL_TIMEOUT + CLIENT_STALL_CHECK_INTERVAL
    with Node(peer := Peer("s-1")) as node:
        deaf = node.client(opening())
        assert deaf.read() == "UP r1"
        flood(peer.standing.get(timeout=PATIENCE))
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        assert peer.ends.get(timeout=PATIENCE) == "FIN"
        other.send("M 1 unharmed")
        assert other.read() == "M 1 unharmed"


def test_a_client_whose_line_has_come_is_not_the_one_closed_for_want_of_descriptors() -> None:
    """The oldest that had said nothing went first, though its request lay in the kernel: it was reset."""
    with Node(Peer("s-1"), change=few_sockets) as node:
        oldest = node.client("PING")
        assert oldest.read() == "PONG"
        crowd = [node.client() for _ in range(56)]  # nearly all there is room for
        crowd[-1].send("PING")
        assert crowd[-1].read() == "PONG"  # so all have been taken
        node.freeze()
        crowd += [node.client() for _ in range(80)]  # heard of first
        oldest.send(opening())
        node.thaw()
        assert oldest.read() == "UP r1"


def test_descriptors_full_of_idle_clients_keep_neither_the_list_nor_a_true_client_away() -> None:
    """Discovery is down meanwhile, and had at once when it is back; servers are asked for their load."""
    discovery = Discovery(refuse=3)
    with Node(peer := Peer("s-1"), discovery=discovery, change=few_sockets) as node:
        crowd = [node.client() for _ in range(150)]
        assert node.client(opening()).read() == "UP r1"
        while discovery.refuse:
            crowd.append(node.client())
            assert node.client("PING").read() == "PONG"
        assert discovery.calls.get(timeout=PATIENCE)
        second = Peer("s-2")
        discovery.tell(peer.entry("Terminating"), second.entry())
        answers = {node.client(opening(number, d=1000)).read() for number in range(2, 8)}
        assert answers == {"UP r1"} and second.lines.get(timeout=PATIENCE).startswith("OPEN ")
        node.terminate()
        node.wait_log(r"probes=[1-9]\d* probes_failed=\d+ .* faults=0")
        second.close()


def test_a_session_amid_a_line_when_its_peer_is_held_to_hang_gets_the_rest_and_a_move() -> None:
    """It was cut off at once, without MOVE, though its peer went on: lines come in pieces."""
    with Node(peer := Peer("s-1", X=None)) as node:
        first = node.client(opening())
        assert first.read() == "UP r1"
        pieces = peer.standing.get(timeout=PATIENCE)
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        first.send("X 1 anyone there")
        pieces.sock.sendall(b"X 1 any")
        other.send("X 1 anyone there")
        assert other.read() == "MOVE"  # the peer is held to hang by now, for both
        pieces.sock.sendall(b"one there\r\n")
        assert [first.read(), first.read(), first.read()] == ["X 1 anyone there", "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_both_sides_of_a_pair_that_end_in_one_turn_are_closed_and_harm_nobody(reset: bool) -> None:
    with Node(peer := Peer("s-1")) as node:
        client, other = node.client(opening()), node.client(opening(2))
        assert [client.read(), other.read()] == ["UP r1"] * 2
        ends = [peer.standing.get(timeout=PATIENCE) for _ in range(2)]
        node.freeze()
        client.send("M 1 half")
        client.close(reset)
        for line in ends:
            line.send("LOAD 3")
            line.sock.shutdown(socket.SHUT_RDWR)
        node.thaw()
        assert [other.read(), other.read()] == ["LOAD 3", ""]
        assert node.client(opening(3)).read() == "UP r1"
        node.terminate()
        node.wait_log("counters: .* served=3 .* faults=0")


# What peers send


@pytest.mark.parametrize("nonsense", ["UP r1\r\nUP r2", "BUSY\r\nBUSY", "ERR\r\nUP r9", "x" * 9000])
def test_an_answer_that_is_doubled_or_never_ends_harms_no_other_request(nonsense: str) -> None:
    with Node(bad := Peer("s-1", OPEN=nonsense), Peer("s-2")) as node:
        for number in range(6):
            answer = node.client(opening(number, d=5000, group=number + 1)).read()
            assert answer in ("UP r1",)
        assert bad.lines.get(timeout=PATIENCE).startswith("OPEN ")


def test_half_an_answer_and_an_end_is_no_answer() -> None:
    class Half(Peer):
        def serve(self, line: Line) -> None:
            while line.read() == "STATS":
                line.send(str(self.ANSWERS["STATS"]))
            self.lines.put("OPEN")
            line.sock.sendall(b"UP r")
            line.close()

    with Node(half := Half("s-1"), Peer("s-2")) as node:
        for number in range(6):
            assert node.client(opening(number, d=5000, group=number + 1)).read() == "UP r1"
        assert half.lines.get(timeout=PATIENCE)
