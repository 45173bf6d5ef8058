"""The session message: what one process of a node tells the next of a session whose sockets it passes.

The JSON keys and their order are fixed, because the other process may be of another version; each attribute
names the key that it is stored under where the two differ. Unknown keys are ignored when a message is read.
"""

from __future__ import annotations

import msgspec

# JSON holds text, a socket brings bytes: this encoding has one letter for each byte.
BYTES_ENCODING = "latin-1"


class SessionTransfer(msgspec.Struct, frozen=True, kw_only=True):
    """A session between two processes: the fields in the order in which they are sent."""

    # Numbers of the sender's descriptors. The receiver gets descriptors of its own beside the message.
    client_descriptor: int = msgspec.field(name="client", default=-1)
    endpoint_descriptor: int = msgspec.field(name="peer", default=-1)
    # Half lines that have been relayed already, one letter for each byte.
    from_client: str
    from_endpoint: str = msgspec.field(name="from_peer")
    echoes_owed: int = msgspec.field(name="owed")  # lines that had no echo yet
    request_id: int = msgspec.field(name="id")  # as the client gave it
    class_name: str = msgspec.field(name="class")
    tenant: str = ""
    load: float | None
    idempotency_key: int = msgspec.field(name="key")
    affinity_group: int = msgspec.field(name="group")
    endpoint: str = msgspec.field(name="at")  # the id of the map server that serves the session

    def half_lines(self) -> tuple[bytes, bytes]:
        """The bytes of the half lines from the client and from the endpoint; ValueError for other letters."""
        return self.from_client.encode(BYTES_ENCODING), self.from_endpoint.encode(BYTES_ENCODING)
