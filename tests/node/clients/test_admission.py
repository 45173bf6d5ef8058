"""Admission by descriptors: which client is evicted, and what an admission costs."""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import cast

from stepflow.node.clients.admission import MAX_EVICTION_CHECKS, DescriptorAdmission
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Transport

CROWD = 200  # clients


class NoDescriptors:
    """A budget without a free descriptor."""

    def free(self) -> int:
        return 0

    def reclaim(self) -> None:
        pass

    def log_shortage(self) -> None:
        pass


class WritingClient:
    """An unopened client that has sent half a line, which the node has not read yet."""

    def __init__(self, admission: DescriptorAdmission) -> None:
        self.between_lines, self.checks, self.was_evicted = True, 0, False
        self._admission = admission
        self._node_end, self._client_end = socket.socketpair()
        self._client_end.send(b"OPEN 1 ")
        admission.connection_made(self)

    @property
    def tcp_transport(self) -> Transport:
        self.checks += 1
        return cast(Transport, self._node_end)

    def read(self) -> None:
        """Let the node read what the client has sent."""
        self._node_end.recv(100)
        self.between_lines = False
        self._admission.data_received(self)

    def evict(self) -> None:
        self.was_evicted = True
        self.reject(timedelta(0))

    def reject(self, retry_after: timedelta) -> None:
        self._admission.remove_candidate(self)

    def close(self) -> None:
        self._node_end.close()
        self._client_end.close()


def test_an_admission_checks_a_few_clients_however_many_have_unread_data() -> None:
    """Guards against a node that polls its whole crowd at each accept, and serves nothing meanwhile."""
    admission = DescriptorAdmission(NoDescriptors(), Counters())
    clients = [WritingClient(admission) for _ in range(CROWD)]
    for _ in range(CROWD):
        before = sum(client.checks for client in clients)
        assert not admission.ensure_descriptor()
        assert sum(client.checks for client in clients) - before <= MAX_EVICTION_CHECKS
    assert {client.checks for client in clients} == {1}  # once, since none of them was read meanwhile
    assert not any(client.was_evicted for client in clients)
    for client in reversed(clients):
        client.read()
    admission.ensure_descriptor()
    assert [client.was_evicted for client in clients] == [False] * (CROWD - 1) + [True]
    for client in clients:
        client.close()


def test_clients_with_unread_data_are_rejected_at_the_end_too() -> None:
    """Guards against clients that a check has set aside and a shutdown then leaves without an answer."""
    admission = DescriptorAdmission(NoDescriptors(), Counters())
    clients = {WritingClient(admission) for _ in range(2 * MAX_EVICTION_CHECKS)}
    admission.ensure_descriptor()
    rejected = set()
    while (client := admission.first_unopened()) is not None:
        client.reject(timedelta(0))
        rejected.add(client)
    assert rejected == clients
    for client in clients:
        client.close()
