"""Admission of client connections by file descriptors, and the order in which unopened ones are evicted.

A connection that has not sent a whole OPEN line yet costs a descriptor and brings nothing. When descriptors
get scarce these are evicted, so that a crowd of silent connections can't keep real clients out. This module
owns the count of open client connections and the list of the unopened ones; the connections own their sockets
and close them themselves. Units are descriptors. It raises no errors of its own.

The source of the rule is docs/design.md; docs/endings.md lists what an evicted client is still owed.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Transport, has_unread

EVICTION_THRESHOLD = 4  # with fewer descriptors left, unopened connections are evicted


class UnopenedClient(Protocol):
    """A client connection as admission sees it."""

    @property
    def wire(self) -> Transport:
        """Its transport."""

    @property
    def at_end(self) -> bool:
        """Whether its last line is complete, so that it isn't writing one just now."""

    def evict(self) -> None:
        """Close it at once; it calls `remove_candidate` before this returns."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer BUSY and close it."""


class DescriptorAdmission:
    """Counts client connections, and evicts unopened ones while few descriptors are left.

    `free_descriptors` tells how many are left if each open request also has one for its endpoint's socket.
    """

    def __init__(self, free_descriptors: Callable[[], int], counters: Counters) -> None:
        self.open_connections = 0
        self._free_descriptors, self._counters = free_descriptors, counters
        # Dictionaries as ordered sets. Between lines: the oldest connection first. Amid a line: the one that
        # has sent nothing for the longest time first.
        self._idle: dict[UnopenedClient, None] = {}
        self._writing: dict[UnopenedClient, None] = {}

    def connection_made(self, client: UnopenedClient) -> None:
        """Count a new connection, which may be evicted from now on."""
        self.open_connections += 1
        self._idle[client] = None

    def connection_lost(self, client: UnopenedClient) -> None:
        """Take note that a connection is closed."""
        self.open_connections -= 1
        self.remove_candidate(client)

    def data_received(self, client: UnopenedClient) -> None:
        """Move an unopened client that is amid a line to the end of the eviction order."""
        if not client.at_end and (client in self._idle or client in self._writing):
            self.remove_candidate(client)
            self._writing[client] = None

    def remove_candidate(self, client: UnopenedClient) -> None:
        """Never evict this client: it has opened, or is being closed anyway."""
        self._idle.pop(client, None)
        self._writing.pop(client, None)

    def eviction_order(self) -> tuple[UnopenedClient, ...]:
        """All clients that have not opened, the first to be evicted first.

        Those amid a line come last: each may be a real client that writes slowly.
        """
        return (*self._idle, *self._writing)

    def ensure_descriptor(self) -> bool:
        """Evict a client if descriptors are scarce; return whether one is left for another connection.

        Clients with unread bytes are passed over: closing over those would send a reset, which could
        overtake the answer.
        """
        if self._free_descriptors() < EVICTION_THRESHOLD:
            evictable = (client for client in self.eviction_order() if not has_unread(client.wire))
            if (client := next(evictable, None)) is not None:
                self._counters.evicted += 1
                client.evict()
        return self._free_descriptors() > 0
