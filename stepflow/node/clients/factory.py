"""Creates the protocols of client connections, both new ones and those of sessions from a predecessor.

The factory owns what all client connections of the node share: admission by descriptors, the ids of open
requests, and the names of classes and tenants. The listener refuses a connection that can't be admitted. A
session that can't be adopted stays with the process that offered it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from stepflow.interface import Request
from stepflow.node.clients.admission import DescriptorAdmission, DescriptorSource
from stepflow.node.clients.connection import ClientConnection
from stepflow.node.clients.open_request import (
    MalformedRequestError,
    OpenRequest,
    parse_open_request,
    tenant_index,
)
from stepflow.node.clients.request_ids import RequestIds
from stepflow.node.clients.services import ClientServices
from stepflow.node.runtime.connection import adopt, duplicate_sockets
from stepflow.node.runtime.lines import LineScanner
from stepflow.node.runtime.transports import Reactor
from stepflow.node.runtime.turn_budget import TurnBudget
from stepflow.node.session_transfer import SessionTransfer
from stepflow.node.upstreams.dialer import Dialer
from stepflow.node.upstreams.pool import UpstreamConnections


class ClientFactory(Factory):
    """Twisted's factory of client connections, limited by the free descriptors.

    `classes` and `tenants` map the names that clients may use to their indices in the settings; a reload
    replaces them.
    """

    noisy = False

    def __init__(
        self,
        services: ClientServices,
        reactor: Reactor,
        upstreams: UpstreamConnections,
        classes: Mapping[bytes, int],
        tenants: Mapping[bytes, int],
        descriptors: DescriptorSource,
    ) -> None:
        self.classes, self.tenants = classes, tenants
        self._services, self._reactor, self._upstreams = services, reactor, upstreams
        self._admission = DescriptorAdmission(descriptors, services.counters)
        self.request_ids = RequestIds()
        # Bound once and shared, since otherwise each connection would hold a bound method of its own.
        self._parse_line: Callable[[bytes], OpenRequest] = self._parse

    @property
    def open_connections(self) -> int:
        """The number of open client connections."""
        return self._admission.open_connections

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Create the protocol of an accepted connection.

        None makes the listener refuse the connection: without a free descriptor it can't be kept.
        """
        if not self._admission.ensure_descriptor():
            self._services.counters.table_full += 1
            return None
        return self._new_connection()

    def connection_refused(self, received: bytes) -> None:
        """Count the request of a connection that was refused, if its OPEN line had arrived."""
        line, delimiter, _ = received.partition(LineScanner.delimiter)
        try:
            open_request = self._parse(line)
        except MalformedRequestError:
            return
        if delimiter:
            core, name = self._services.core, open_request.client_request_id
            core.reject_unaccepted(open_request.request, name, "no free descriptor")

    def adopt(self, session: SessionTransfer, client: int, peer: int) -> bool:
        """Adopt a session from the predecessor; return whether it was adopted.

        A session that is not adopted stays with the predecessor, as it does after an OSError. `client` and
        `peer` are the descriptors of the client's and the endpoint's socket.

        Raises:
            OSError: There is no descriptor left for the sockets.
        """
        class_index = self.classes.get(session.class_name.encode())
        if class_index is None or not self._admission.ensure_descriptor():
            return False
        tenant = tenant_index(self.tenants, session.tenant.encode())
        request = Request(
            0, class_index, 0, session.load, tenant, session.idempotency_key, session.affinity_group
        )
        connection = self._new_connection()
        # Duplicated first: if no descriptor is left, the core must not keep a session that can't continue.
        client_socket, endpoint_socket = duplicate_sockets(client, peer)
        context = self._services.core.adopt_session(request, connection, session.endpoint)
        if context is None:
            client_socket.close()
            endpoint_socket.close()
            return False
        adopt(self._reactor, client_socket, Dialer(connection))
        connection.adopt_request(context, session.request_id)
        context.attempt = attempt = self._upstreams.adopt_session(context, endpoint_socket)
        connection.session_established(attempt)
        connection.restore_transferred(session)
        return True

    def reject_unopened(self) -> bool:
        """Answer BUSY to unopened clients, since an OPEN line of theirs may be on the way.

        Returns whether some are left for the next turn.
        """
        budget = TurnBudget()
        while (client := self._admission.first_unopened()) is not None:
            if budget.is_spent:
                return True
            client.reject(timedelta(0))
        return False

    def _new_connection(self) -> ClientConnection:
        return ClientConnection(self._services, self._admission, self.request_ids, self._parse_line)

    def _parse(self, line: bytes) -> OpenRequest:
        """Parse an OPEN line by the current settings."""
        return parse_open_request(line, self._services.clock.now(), self.classes, self.tenants)
