"""A passed session that can't be adopted is counted nowhere, and its client is migrated by its old process.

Seen: a process that ran out of descriptors amid a hand-over kept the session counted for good. It was counted
before its sockets were duplicated. What proved it: the traceback of `a passed session can't be adopted` ends
in dup, and `in_flight` of the new process is 1 after the old one has migrated the client.
"""

from __future__ import annotations

import os
import resource
import time
from itertools import count, islice

from tests.node.session_kit import SilentPeer, session
from tests.node_kit import PATIENCE, Node

RECEIVED_SOCKETS = 2  # come as descriptors; with one more left, the second can't be duplicated


def leave_descriptors(node: Node, free: int) -> None:
    """Allow the process so many descriptors more than it has open; the limit is one of their numbers."""
    used = {int(name) for name in os.listdir(f"/proc/{node.process.pid}/fd")}
    free_numbers = (number for number in count() if number not in used)
    limit = next(islice(free_numbers, free, None))
    _, hard = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (limit, hard))


def test_a_session_that_cannot_be_adopted_for_want_of_descriptors_is_migrated_and_forgotten() -> None:
    with Node(peer := SilentPeer()) as node:
        client, endpoint = session(node, peer)
        with node.successor() as successor:
            time.sleep(0.3)  # until it has told that it serves
            leave_descriptors(successor, RECEIVED_SOCKETS + 1)
            node.terminate()
            assert [client.read(), client.read()] == ["MOVE", ""]
            node.process.wait(PATIENCE)
            leave_descriptors(successor, 100)
            assert "in_flight:0" in successor.ops("/v1/metrics")[1]
        endpoint.close()
