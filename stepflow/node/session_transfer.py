"""The session message: the state of a session that a process passes to its successor with the sockets.

The JSON keys and their order are fixed, because the other process may run another version; an attribute whose
name differs from its key gives the key as `name=`. Unknown keys are ignored when a message is read.
"""

from __future__ import annotations

import msgspec

# JSON holds text, but sockets deliver bytes: this encoding maps each byte to one character.
BYTES_ENCODING = "latin-1"


class SessionTransfer(msgspec.Struct, frozen=True, kw_only=True):
    """A session passed from one process to the next; the fields are in the order in which they are sent."""

    # The sender's descriptor numbers. The receiver gets descriptors of its own, which are passed separately.
    client_descriptor: int = msgspec.field(name="client", default=-1)
    endpoint_descriptor: int = msgspec.field(name="peer", default=-1)
    # Half lines that have been relayed already, one character for each byte.
    from_client: str
    from_endpoint: str = msgspec.field(name="from_peer")
    echoes_owed: int = msgspec.field(name="owed")  # lines whose echo has not come yet
    request_id: int = msgspec.field(name="id")  # the ID of the client's OPEN line, as a number
    class_name: str = msgspec.field(name="class")
    tenant: str = ""
    load: float | None
    idempotency_key: int = msgspec.field(name="key")
    affinity_group: int = msgspec.field(name="group")
    endpoint: str = msgspec.field(name="at")  # the id of the endpoint that serves the session

    def half_lines(self) -> tuple[bytes, bytes]:
        """Return the half lines from the client and from the endpoint as bytes.

        Raises:
            ValueError: A half line has a character that represents no byte.
        """
        return self.from_client.encode(BYTES_ENCODING), self.from_endpoint.encode(BYTES_ENCODING)
