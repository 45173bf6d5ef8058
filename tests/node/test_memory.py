"""The memory that hundreds of clients can make a node use."""

from __future__ import annotations

from tests.node.memory_kit import MEMORY_LIMIT_MB, private_mb
from tests.node_kit import FakeEndpoint, Node, open_line

MANY_FIELDS = "".join(f",{number:03x}=1" for number in range(600))


def test_requests_of_many_short_fields_stay_within_the_memory_limit() -> None:
    """Guards against waiting requests that each hold many times the memory of their line."""
    with Node(endpoint := FakeEndpoint("s-1", OPEN=None)) as node:
        line = open_line(extra_fields=f",at=s-1{MANY_FIELDS}", wait_ms=60_000)
        clients = [node.client(line.replace(f"{1:016x}", f"{number:016x}")) for number in range(1, 301)]
        for _ in clients:
            assert endpoint.received_lines.get(timeout=30).startswith("OPEN ")
        assert private_mb(node) < MEMORY_LIMIT_MB
        for client in clients:
            client.close()
