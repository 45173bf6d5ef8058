"""A session that can't be adopted is not counted by the successor, and the predecessor migrates its client.

Regression: a successor that ran out of descriptors during a hand-over counted the session for good, because
it counted it before it duplicated the sockets. The traceback of `session adoption failed` ended in
dup, and the successor's `in_flight` was 1 after the predecessor had migrated the client.
"""

from __future__ import annotations

import os
import resource
import time
from itertools import count, islice

from tests.node.session_kit import SilentEndpoint, session
from tests.node_kit import TIMEOUT_S, Node

RECEIVED_SOCKETS = 2  # received as descriptors; with one more free, only one of them can be duplicated


def limit_free_descriptors(node: Node, free: int) -> None:
    """Let the process open only `free` more descriptors; the limit applies to descriptor numbers."""
    used = {int(name) for name in os.listdir(f"/proc/{node.process.pid}/fd")}
    free_numbers = (number for number in count() if number not in used)
    limit = next(islice(free_numbers, free, None))
    _, hard = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (limit, hard))


def test_session_is_migrated_and_not_counted_when_the_successor_lacks_descriptors() -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        with node.successor() as successor:
            time.sleep(0.3)  # until it has reported that it serves
            limit_free_descriptors(successor, RECEIVED_SOCKETS + 1)
            node.terminate()
            assert [client.read(), client.read()] == ["MOVE", ""]
            node.process.wait(TIMEOUT_S)
            limit_free_descriptors(successor, 100)
            assert "in_flight:0" in successor.call_admin("/v1/metrics")[1]
        endpoint.close()
