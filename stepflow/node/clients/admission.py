"""Admission of client connections by file descriptors, and eviction of unopened connections.

An unopened connection has not sent a complete OPEN line yet. It uses a descriptor and carries no session, so
unopened connections are evicted when descriptors run low; otherwise many silent connections could keep real
clients out. This module owns the count of open client connections and the list of unopened ones. The
connections own their sockets and close them themselves. Free space is counted in descriptors. This module
raises no errors of its own.

Sources: docs/design.md for the rule, docs/endings.md for what is sent to an evicted client.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Transport, has_unread

EVICTION_THRESHOLD = 4  # below this number of free descriptors, unopened connections are evicted


class UnopenedClient(Protocol):
    """The part of a client connection that admission uses."""

    @property
    def tcp_transport(self) -> Transport:
        """The connection's transport."""

    @property
    def between_lines(self) -> bool:
        """Whether the received bytes end between two lines, not within one."""

    def evict(self) -> None:
        """Close the connection at once; calls `remove_candidate` before it returns."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer BUSY and close the connection."""


class DescriptorSource(Protocol):
    """The process's budget of descriptors, as admission uses it."""

    def free(self) -> int:
        """Return the number left for clients, after one is set aside for each open request's endpoint."""

    def reclaim(self) -> None:
        """Close idle connections to endpoints beyond their share."""

    def log_shortage(self) -> None:
        """Log which parts hold the descriptors when none is left for a client."""


class DescriptorAdmission:
    """Counts client connections, and evicts unopened ones while few descriptors are free."""

    def __init__(self, descriptors: DescriptorSource, counters: Counters) -> None:
        self.open_connections = 0
        self._descriptors, self._counters = descriptors, counters
        # Dictionaries serve as ordered sets of unopened clients. `_between_lines` is ordered by the age of
        # the connections, the oldest first. `_within_line` holds the clients whose data has ended within a
        # line, ordered by the last time that it did, the earliest first.
        self._between_lines: dict[UnopenedClient, None] = {}
        self._within_line: dict[UnopenedClient, None] = {}

    def connection_made(self, client: UnopenedClient) -> None:
        """Count a new connection and make it a candidate for eviction."""
        self.open_connections += 1
        self._between_lines[client] = None

    def connection_lost(self, client: UnopenedClient) -> None:
        """Stop counting a connection that was closed."""
        self.open_connections -= 1
        self.remove_candidate(client)

    def data_received(self, client: UnopenedClient) -> None:
        """Move an unopened client that is within a line to the end of the eviction order."""
        if not client.between_lines and (client in self._between_lines or client in self._within_line):
            self.remove_candidate(client)
            self._within_line[client] = None

    def remove_candidate(self, client: UnopenedClient) -> None:
        """Exclude a client from eviction, since it has sent its OPEN line or is being closed."""
        self._between_lines.pop(client, None)
        self._within_line.pop(client, None)

    def eviction_order(self) -> tuple[UnopenedClient, ...]:
        """Return all unopened clients in the order in which they are evicted.

        Clients within a line come last, since each may be a real client that writes slowly.
        """
        return (*self._between_lines, *self._within_line)

    def ensure_descriptor(self) -> bool:
        """Evict a client if few descriptors are free; return whether a descriptor is free for a connection.

        Clients with unread bytes are skipped: closing a socket with unread bytes sends a reset, which could
        overtake the answer.
        """
        self._descriptors.reclaim()
        if self._descriptors.free() < EVICTION_THRESHOLD:
            evictable = (client for client in self.eviction_order() if not has_unread(client.tcp_transport))
            if (client := next(evictable, None)) is not None:
                self._counters.evicted += 1
                client.evict()
        if self._descriptors.free() > 0:
            return True
        self._descriptors.log_shortage()
        return False
