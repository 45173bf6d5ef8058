"""A process whose standard error nobody reads serves all the same.

Seen: clients of a node that logs at level debug were left without an answer, all at once and for good. The
pipe that the log goes to holds 64 KB; once it was full, the process waited in write(2) for its reader. What
proved it: /proc shows the process in write to descriptor 2, in anon_pipe_write.
"""

from __future__ import annotations

from pathlib import Path

from tests.node_kit import PATIENCE, Node, Peer, opening

CLIENTS = 250  # more than a pipe holds the log of
ANSWER_S = 2.0


def log_everything(node: Node) -> Node:
    """Have the node log at level debug."""
    file = Path(node.folder) / "stepflow.conf"
    file.write_text("log {\n    level debug\n}\n")
    node.env["STEPFLOW_CONF"] = str(file)
    return node


def test_clients_are_served_though_nobody_reads_the_log() -> None:
    with log_everything(Node(Peer("s-1"), Peer("s-2"), Peer("s-3"))) as node:
        for number in range(CLIENTS):
            client = node.client(opening(number))
            client.sock.settimeout(ANSWER_S)
            assert client.read() != ""
            client.close()
        node.terminate()
        assert node.process.wait(PATIENCE) == 0
