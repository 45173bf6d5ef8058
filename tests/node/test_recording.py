"""Traffic recordings of a running node."""

from __future__ import annotations

import errno
import signal
import time
from collections import Counter
from pathlib import Path

from standins.preload import Call, Machine
from stepflow.traffic.writer import journals
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line
from tests.traffic.recorder_kit import KEY, count_kinds


def write_operator_file(tmp_path: Path, folder: str) -> str:
    path = tmp_path / "op.conf"
    path.write_text(f"record {{\n folder {folder}\n key {KEY}\n segment 64K\n}}\n")
    return str(path)


def test_node_records_its_sessions_and_writes_the_end_of_the_journal(tmp_path: Path) -> None:
    node = Node(endpoint := FakeEndpoint("s-1"))
    node.env["STEPFLOW_CONF"] = write_operator_file(tmp_path, str(tmp_path / "t"))
    with node:
        for number in range(3):
            client = node.client(open_line(number + 1))
            assert client.read() == "UP r1"
            at_peer = endpoint.connections.get(timeout=TIMEOUT_S)
            at_peer.send("LOAD 12.5")
            assert client.read() == "LOAD 12.5"
            client.close()
        node.terminate()
        node.wait_for_log("counters: ")
    (path,) = journals(str(tmp_path / "t"))
    found = count_kinds(Path(path))
    assert [found[name] for name in ("REQUEST", "UP", "LOAD", "OUTCOME", "END")] == [3, 3, 3, 3, 1]
    assert found["LIST"] >= 1 and b"5c0f6e1a2b3d4c59" not in Path(path).read_bytes()


def test_blocks_are_written_after_transient_disk_errors(tmp_path: Path) -> None:
    """Regression: a transient error ended the recording, and left half a block at its end."""
    machine = Machine(tmp_path)
    node = Node(FakeEndpoint("s-1"))
    node.env.update(machine.env, STEPFLOW_CONF=write_operator_file(tmp_path, str(tmp_path / "t")))
    with node:
        machine.fail(Call.WRITE, 0.7)
        machine.fail(Call.OPEN, 0.7, [errno.ENOSPC, errno.EIO])
        machine.fail(Call.SHORT_WRITE, 0.7)
        answers: Counter[str] = Counter()
        for number in range(40):
            client = node.client(open_line(number + 1))
            answers[client.read().split()[0]] += 1
            client.close()
            time.sleep(0.03)
        node.terminate()
        time.sleep(0.4)
        machine.heal()
        node.wait_for_log("counters: ")
    assert machine.injected(Call.WRITE) + machine.injected(Call.OPEN) > 0
    found = sum((Counter(count_kinds(Path(path))) for path in journals(str(tmp_path / "t"))), Counter())
    assert (found["REQUEST"], found["LOST"], found["END"]) == (40, 0, 1)
    assert answers == Counter({"UP": found["UP"], "BUSY": found["REFUSE"]})


def test_permanent_disk_error_ends_the_recording_but_not_the_node(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")  # a file where the folder is expected
    node = Node(FakeEndpoint("s-1"))
    node.env["STEPFLOW_CONF"] = write_operator_file(tmp_path, str(tmp_path / "file"))
    with node:
        node.wait_for_log("recording stopped after a failure")
        assert node.client(open_line()).read() == "UP r1"


def test_reload_starts_and_ends_a_recording_that_includes_established_sessions(tmp_path: Path) -> None:
    path = tmp_path / "op.conf"
    path.write_text("")
    node = Node(FakeEndpoint("s-1"))
    node.env["STEPFLOW_CONF"] = str(path)
    with node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        write_operator_file(tmp_path, str(tmp_path / "t"))
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("recording started")
        node.wait_for_log("event=reloaded")
        path.write_text("")
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("event=reloaded")
        (found,) = journals(str(tmp_path / "t"))
        assert count_kinds(Path(found))["STANDING"] >= 1 and count_kinds(Path(found))["END"] == 1
        client.send("M 1")
        assert client.read() == "M 1"
