"""Makes the protocols of client connections: of new ones, and of sessions that another process hands over.

It owns what all client connections of the node share: their admission by descriptors, the ids of open
requests, and the names that clients may use. A connection that can't be admitted is closed by the listener; a
session that can't be taken over stays with the process that offered it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from stepflow.interface import Request
from stepflow.node.clients.admission import DescriptorAdmission
from stepflow.node.clients.connection import ClientConnection, ClientServices
from stepflow.node.clients.open_request import OpenRequest, parse_open_request, tenant_index
from stepflow.node.runtime.connection import adopt, duplicate_sockets
from stepflow.node.runtime.transports import Reactor
from stepflow.node.session_transfer import SessionTransfer
from stepflow.node.upstreams.dialer import Dialer
from stepflow.node.upstreams.pool import UpstreamConnections


class ClientFactory(Factory):
    """Twisted's factory of client connections, as many as there are descriptors for.

    `classes` and `tenants` map the names that clients may use to their indices in the settings; a reload
    replaces them. `free_descriptors` tells how many descriptors are left if each open request has one for its
    endpoint.
    """

    noisy = False

    def __init__(
        self,
        services: ClientServices,
        reactor: Reactor,
        upstreams: UpstreamConnections,
        classes: Mapping[bytes, int],
        tenants: Mapping[bytes, int],
        free_descriptors: Callable[[], int],
    ) -> None:
        self.classes, self.tenants = classes, tenants
        self._services, self._reactor, self._upstreams = services, reactor, upstreams
        self._admission = DescriptorAdmission(free_descriptors, services.counters)
        self._request_ids: set[int] = set()  # of the requests that are open
        # Bound once for all connections: each would hold a bound method of its own else.
        self._parse_line: Callable[[bytes], OpenRequest] = self._parse

    @property
    def open_connections(self) -> int:
        """Client connections that are open."""
        return self._admission.open_connections

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Make the protocol of an accepted connection.

        None has the listener close the socket: with no descriptor left there is none to answer BUSY on.
        """
        if not self._admission.ensure_descriptor():
            self._services.counters.table_full += 1
            return None
        return self._new_connection()

    def adopt(self, session: SessionTransfer, client: int, peer: int) -> bool:
        """Take a session over from the process before; False leaves it there, as does an OSError.

        `client` and `peer` are the descriptors of its two sockets.

        Raises:
            OSError: There is no descriptor left for its sockets.
        """
        class_index = self.classes.get(session.class_name.encode())
        if class_index is None or not self._admission.ensure_descriptor():
            return False
        tenant = tenant_index(self.tenants, session.tenant.encode())
        request = Request(
            0, class_index, 0, session.load, tenant, session.idempotency_key, session.affinity_group
        )
        connection = self._new_connection()
        # Ahead of the core, which would keep what can't be gone on with: there may be no descriptor for them.
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
        connection.resume_transferred(session)
        return True

    def reject_unopened(self) -> None:
        """Answer BUSY to all clients that have not opened: a request may be on its way."""
        for client in self._admission.eviction_order():
            client.reject(timedelta(0))

    def _new_connection(self) -> ClientConnection:
        return ClientConnection(self._services, self._admission, self._request_ids, self._parse_line)

    def _parse(self, line: bytes) -> OpenRequest:
        """Parse an OPEN line by the settings as they are now."""
        return parse_open_request(line, self._services.clock.now(), self.classes, self.tenants)
