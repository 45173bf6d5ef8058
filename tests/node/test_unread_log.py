"""A process whose standard error is not read keeps serving.

Seen: all clients of a node that logs at level debug stopped receiving answers at the same time, permanently.
The pipe for the log holds 64 KB; once it was full, the process blocked in write(2). Evidence: /proc shows the
process in a write to descriptor 2, in anon_pipe_write.
"""

from __future__ import annotations

from pathlib import Path

from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line

CLIENTS = 250  # their log exceeds the capacity of a pipe
ANSWER_S = 2.0


def with_debug_log(node: Node) -> Node:
    """Configure the node to log at level debug."""
    file = Path(node.temp_dir) / "stepflow.conf"
    file.write_text("log {\n    level debug\n}\n")
    node.env["STEPFLOW_CONF"] = str(file)
    return node


def test_clients_are_served_although_the_log_is_not_read() -> None:
    with with_debug_log(Node(FakeEndpoint("s-1"), FakeEndpoint("s-2"), FakeEndpoint("s-3"))) as node:
        for number in range(CLIENTS):
            client = node.client(open_line(number))
            client.sock.settimeout(ANSWER_S)
            assert client.read() != ""
            client.close()
        node.terminate()
        assert node.process.wait(TIMEOUT_S) == 0
