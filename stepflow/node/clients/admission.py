"""Admission of client connections by file descriptors, and eviction of unopened connections.

An unopened connection has not sent a complete OPEN line yet. It uses a descriptor and carries no session, so
unopened connections are evicted when descriptors run low; otherwise many silent connections could keep real
clients out. This module owns the count of open client connections and the list of unopened ones. The
connections own their sockets and close them themselves. Free space is counted in descriptors. This module
raises no errors of its own.

Sources: docs/design.md for the rule, docs/endings.md for what is sent to an evicted client.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from itertools import chain
from typing import Protocol

from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import Transport, has_unread

EVICTION_THRESHOLD = 4  # below this number of free descriptors, unopened connections are evicted
# Clients that one admission checks for unread data. Each check is a system call, and a full node admits
# thousands of clients a second.
MAX_EVICTION_CHECKS = 8


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
        """Answer BUSY and close the connection; calls `remove_candidate` before it returns."""


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
        # Ordered dictionaries serve as ordered sets of unopened clients. `_between_lines` is ordered by the
        # age of the connections, the oldest first. `_within_line` holds the clients whose data has ended
        # within a line, ordered by the last time that it did, the earliest first. `_unread` holds the clients
        # that had unread data when they were last checked; they return to the other two once it is read.
        self._between_lines: OrderedDict[UnopenedClient, None] = OrderedDict()
        self._within_line: OrderedDict[UnopenedClient, None] = OrderedDict()
        self._unread: OrderedDict[UnopenedClient, None] = OrderedDict()

    def connection_made(self, client: UnopenedClient) -> None:
        """Count a new connection and make it a candidate for eviction."""
        self.open_connections += 1
        self._between_lines[client] = None

    def connection_lost(self, client: UnopenedClient) -> None:
        """Stop counting a connection that was closed."""
        self.open_connections -= 1
        self.remove_candidate(client)

    def data_received(self, client: UnopenedClient) -> None:
        """Update an unopened client's place in the eviction order, since its data has been read."""
        if client.between_lines:
            if client in self._unread:
                del self._unread[client]
                self._between_lines[client] = None
        elif self._is_unopened(client):
            self.remove_candidate(client)
            self._within_line[client] = None

    def remove_candidate(self, client: UnopenedClient) -> None:
        """Exclude a client from eviction, since it has sent its OPEN line or is being closed."""
        self._between_lines.pop(client, None)
        self._within_line.pop(client, None)
        self._unread.pop(client, None)

    def first_unopened(self) -> UnopenedClient | None:
        """Return the unopened client that is the first in the eviction order; None if there is none."""
        return next(chain(self._between_lines, self._within_line, self._unread), None)

    def ensure_descriptor(self) -> bool:
        """Evict a client if few descriptors are free; return whether a descriptor is free for a connection.

        The cost doesn't depend on the number of clients.
        """
        self._descriptors.reclaim()
        if self._descriptors.free() < EVICTION_THRESHOLD and (client := self._find_evictable()) is not None:
            self._counters.evicted += 1
            client.evict()
        if self._descriptors.free() > 0:
            return True
        self._descriptors.log_shortage()
        return False

    def _find_evictable(self) -> UnopenedClient | None:
        """Return the first client in the eviction order without unread data; None if it isn't found soon.

        Clients within a line come last, since each may be a real client that writes slowly. Clients with
        unread data are skipped, and not checked again until that data has been read: closing a socket with
        unread data sends a reset, which could overtake the answer.
        """
        for _ in range(MAX_EVICTION_CHECKS):
            client = next(chain(self._between_lines, self._within_line), None)
            if client is None or not has_unread(client.tcp_transport):
                return client
            self.remove_candidate(client)
            self._unread[client] = None
        return None

    def _is_unopened(self, client: UnopenedClient) -> bool:
        return client in self._between_lines or client in self._within_line or client in self._unread
