"""The configuration of a real node: its errors, its reload, and the counters it prints."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "not JSON"),
        ("[]", "not a JSON object"),
        ("{}", "listen: '' is not HOST:PORT"),
        ('{"listen":"127.0.0.1:0","discovery":"127.0.0.1:x"}', "discovery: "),
        ('{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"tick_us":"x"}}', "setting tick_us"),
    ],
)
def test_bad_configuration_is_reported_in_one_line(text: str, expected: str, tmp_path: object) -> None:
    path = f"{tmp_path}/config.json"
    with open(path, "w") as file:
        file.write(text)
    done = subprocess.run(
        [sys.executable, "-m", "stepflow"],
        env={"GW_CONFIG": path},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and expected in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize("refuse", [0, 1])
def test_reload_changes_discovery_and_keeps_sessions(refuse: int) -> None:
    """Without a handler, SIGHUP would kill the process and end all its sessions."""
    second = Discovery('{"rev":8,"all":false,"targets":[]}', refuse)
    old = Discovery('{"rev":7,"all":false,"targets":[]}')
    with Node(first := FakeEndpoint("s-1"), FakeEndpoint("s-2"), discovery=old) as node:
        assert old.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=1"
        client = node.client(open_line(extra_fields=",at=s-1"))
        assert client.read() == "UP r1"
        node.reload(discovery=second.address)
        node.wait_for_log("event=reloaded discovery=" + second.address)
        assert second.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=7"
        second.send_update(first.list_entry("Terminating"))
        second.send_update({"uid": "s-9", "state": "Nonsense"})  # ends the watch; the next one is from rev 9
        assert second.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=9"
        # The update is applied.
        assert node.client(open_line(2)).read() == "UP r1" and first.received_lines.qsize() == 1
        client.send("M 1 still here")
        assert client.read() == "M 1 still here"
        node.terminate()
        node.wait_for_log(f"counters: .* lists_failed={refuse + 1} reloads=1 reloads_failed=0 faults=0")
        assert old.watch_paths.empty() and node.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("text", ["", "[]", "[" * 100_000, '{"listen":"127.0.0.1:0","discovery":"x"}'])
def test_reload_of_a_bad_file_keeps_the_old_configuration(text: str) -> None:
    with Node(FakeEndpoint("s-1"), discovery=(discovery := Discovery())) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        node.reload(text)
        node.wait_for_log("reload failed, keeping the old configuration")
        assert node.client(open_line()).read() == "UP r1"
        assert "edge_gw.reloads_failed:1|c" in node.call_admin("/v1/metrics")[1].split()
        node.reload(listen="127.0.0.1:1")
        node.wait_for_log("reload ignored settings that need a restart.* key=listen")
        node.terminate()
        node.process.send_signal(signal.SIGHUP)  # has no effect after SIGTERM
        assert node.process.wait(TIMEOUT_S) == 0


def test_sigusr1_prints_the_counters() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        assert node.client(open_line()).read() == "UP r1"
        node.process.send_signal(signal.SIGUSR1)
        node.wait_for_log("counters: clients=1 requests=1 .* served=1 ")
