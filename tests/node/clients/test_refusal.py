"""Connections that the process accepts without a descriptor left to keep them.

Regression: they were closed without an answer, also those whose OPEN line had arrived.
"""

from __future__ import annotations

from tests.node.race_kit import limit_sockets
from tests.node_kit import FakeEndpoint, Node, open_line

SESSIONS = 33  # with both of their connections nearly all descriptors that are not reserved
LATE_CLIENTS = 20


def test_requests_beyond_the_descriptors_are_answered_busy_and_counted() -> None:
    """Guards against taken requests that are closed without an answer once all descriptors are in use."""
    with Node(FakeEndpoint("s-1"), edit_config=limit_sockets) as node:
        sessions = [node.client(open_line(number, group=number)) for number in range(1, SESSIONS + 1)]
        established = [client.read() for client in sessions].count("UP r1")
        node.suspend()
        late = [node.client(open_line(number)) for number in range(100, 100 + LATE_CLIENTS)]
        node.resume()
        answers = {client: client.read().split(" ")[0] for client in late}
        assert set(answers.values()) <= {"UP", "BUSY"}
        assert {client.read() for client in late if answers[client] == "BUSY"} == {""}  # a FIN, no reset
        served = established + list(answers.values()).count("UP")
        metrics = node.call_admin("/v1/metrics")[1].split()
        assert f"edge_gw.requests.view.refused:{SESSIONS + LATE_CLIENTS - served}|c" in metrics
        node.terminate()
        assert "no free descriptor" in node.wait_exit()
