"""Messages between the two processes of a node while one replaces the other.

Responsible for their form: one JSON object in each line. The keys and their order are fixed, because the
other process may be of another version; each attribute names the key that it is stored under where the two
differ. When a message is read, keys that are unknown here are ignored; one that lacks a key or holds a value
of another type raises HandoverMessageError. Owns no socket and no state. Spans are in microseconds.

Source: what two processes of commit 5fd6943 said to each other (tests/data/handover-5fd6943.json).
"""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

from stepflow.errors import InputError
from stepflow.node.session_transfer import SessionTransfer

REPORT_NEVER_CAME = -1  # the report age of an endpoint without a load report

T = TypeVar("T")


class HandoverMessageError(InputError):
    """A message of the other process that can't be read."""


class EndpointSnapshot(msgspec.Struct, frozen=True):
    """What is learned of one endpoint: its cost, the weight controller's state, and its last report's age."""

    cost: float
    health: float
    weight: float
    error_sum: float
    last_error: float
    report_age_us: int  # an age, since the two processes may count moments from different ones


class Snapshot(msgspec.Struct, frozen=True):
    """What the policy has learned; classes go by name, since each process has its own numbers for them."""

    loads_counted: int = msgspec.field(name="loads_told")
    mean_load: float
    class_loads: dict[str, float] = msgspec.field(name="class_load")
    # By kind of endpoint. The key tells the unit of all costs: no process can read those of another unit.
    kind_costs: dict[int, float] = msgspec.field(name="cost_in_means")
    endpoints: dict[str, EndpointSnapshot] = msgspec.field(name="servers")
    attempt_latency_us: float = msgspec.field(name="wait_us")
    check_latency_us: float = msgspec.field(name="probe_wait_us")


class HandoverState(msgspec.Struct, frozen=True):
    """The first message of the older process; the listening socket is passed before it.

    Both parts are read later, each on its own: one that can't be read leaves the other, and the socket,
    usable.
    """

    endpoint_list: Any = msgspec.field(name="list", default=None)  # in the form of discovery
    snapshot: Any = msgspec.field(name="learned", default=msgspec.UNSET)  # a Snapshot, or its form unread

    @property
    def has_snapshot(self) -> bool:
        """Whether the older process has sent a snapshot."""
        return self.snapshot is not msgspec.UNSET


class SessionOffer(msgspec.Struct, frozen=True):
    """A session is passed to the successor; the client's and the endpoint's sockets are passed before it."""

    number: int
    session: Any  # a SessionTransfer, or its form unread: an offer is answered whatever it holds


class SessionAnswer(msgspec.Struct, frozen=True):
    """What the successor has made of the session that was offered under this number."""

    number: int = msgspec.field(name="taken")
    accepted: bool = msgspec.field(name="by_other", default=False)


class SessionsComplete(msgspec.Struct, frozen=True):
    """The older process holds no session any more."""

    complete: Any = msgspec.field(name="all", default=True)


class DescriptorCount(msgspec.Struct, frozen=True):
    """How many descriptors the sender holds open; sent again and again from when it serves."""

    descriptors: int


Message = SessionOffer | SessionAnswer | SessionsComplete | DescriptorCount

# By the key that tells the kind, in the order in which they are looked for.
_KINDS: dict[str, type[Message]] = {
    "session": SessionOffer,
    "all": SessionsComplete,
    "taken": SessionAnswer,
    "descriptors": DescriptorCount,
}


def encode_message(message: HandoverState | Message) -> bytes:
    """The line of a message, without its delimiter."""
    return json.dumps(msgspec.to_builtins(message, str_keys=True)).encode()


def decode_line(line: bytes) -> dict[str, Any]:
    """The object that a line holds; HandoverMessageError where it holds none."""
    try:
        fields = json.loads(line)
    except ValueError as error:
        raise HandoverMessageError(f"not JSON: {error}") from None
    if not isinstance(fields, dict):
        raise HandoverMessageError("not a JSON object")
    return fields


def read_state(fields: dict[str, Any]) -> HandoverState:
    """The first message of the older process."""
    return _convert(fields, HandoverState)


def read_message(fields: dict[str, Any]) -> Message | None:
    """A later message; None for a kind that is unknown here, which a newer process may send."""
    for key, kind in _KINDS.items():
        if key in fields:
            return _convert(fields, kind)
    return None


def read_session(offered: object) -> SessionTransfer:
    """The session of an offer."""
    session = _convert(offered, SessionTransfer)
    try:
        session.half_lines()
    except ValueError as error:
        raise HandoverMessageError(f"a half line that is not bytes: {error}") from None
    return session


def read_snapshot(learned: object) -> Snapshot:
    """What the older process has learned."""
    return _convert(learned, Snapshot)


def _convert(value: object, kind: type[T]) -> T:
    try:
        return msgspec.convert(value, kind, str_keys=True)
    except msgspec.ValidationError as error:
        raise HandoverMessageError(str(error)) from None
