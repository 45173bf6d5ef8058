"""Messages between the two processes of a node while one replaces the other.

Responsible for their format: one JSON object on each line. The keys and their order are fixed, because the
other process may run another version; an attribute whose name differs from its key gives the key as `name=`.
When a message is read, unknown keys are ignored; a message that lacks a required key or holds a value of
another type raises HandoverMessageError. Owns no socket and no state. Durations are in microseconds.

Source: the messages between two processes of commit 5fd6943 (tests/data/handover-5fd6943.json).
"""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

from stepflow.errors import InputError
from stepflow.node.list_transfer import ListTransfer
from stepflow.node.session_transfer import SessionTransfer

REPORT_NEVER_CAME = -1  # the report age of an endpoint without a load report

T = TypeVar("T")


class HandoverMessageError(InputError):
    """A message of the other process is invalid."""


class EndpointSnapshot(msgspec.Struct, frozen=True):
    """The learned state of an endpoint: cost, weight controller state, and age of the last load report."""

    cost: float
    health: float
    weight: float
    error_sum: float
    last_error: float
    report_age_us: int  # an age, since the clocks of the two processes may start at different times


class Snapshot(msgspec.Struct, frozen=True):
    """The state that the policy has learned.

    Classes are keyed by name, as their indexes differ between processes.
    """

    loads_counted: int = msgspec.field(name="loads_told")
    mean_load: float
    class_loads: dict[str, float] = msgspec.field(name="class_load")
    # Costs by kind of endpoint. The stored key names the unit of all costs, so costs in another unit can't
    # be read.
    kind_costs: dict[int, float] = msgspec.field(name="cost_in_means")
    endpoints: dict[str, EndpointSnapshot] = msgspec.field(name="servers")
    attempt_latency_us: float = msgspec.field(name="wait_us")
    check_latency_us: float = msgspec.field(name="probe_wait_us")


class HandoverState(msgspec.Struct, frozen=True):
    """The predecessor's first message; the listening socket is passed before it.

    The two fields are converted later and separately: if one is invalid, the other one and the socket can
    still be used.
    """

    endpoint_list: Any = msgspec.field(name="list", default=None)  # in discovery's format
    snapshot: Any = msgspec.field(name="learned", default=msgspec.UNSET)  # a Snapshot, or unconverted

    @property
    def has_snapshot(self) -> bool:
        """Whether the predecessor has sent a snapshot."""
        return self.snapshot is not msgspec.UNSET


class SessionOffer(msgspec.Struct, frozen=True):
    """Offers a session to the successor; the client's and the endpoint's sockets are passed before it."""

    number: int
    session: Any  # a SessionTransfer, or unconverted: an invalid offer is answered too


class SessionAnswer(msgspec.Struct, frozen=True):
    """Reports whether the successor has adopted the session that was offered under this number."""

    number: int = msgspec.field(name="taken")
    accepted: bool = msgspec.field(name="by_other", default=False)


class SessionsComplete(msgspec.Struct, frozen=True):
    """Tells the successor that the predecessor holds no more sessions."""

    complete: Any = msgspec.field(name="all", default=True)


class DescriptorCount(msgspec.Struct, frozen=True):
    """The number of descriptors that the sender holds open; sent at intervals once the sender serves."""

    descriptors: int


class ClosedRequests(msgspec.Struct, frozen=True):
    """The ids of requests that the sender has closed and that may have run."""

    ids: list[int]


Message = SessionOffer | SessionAnswer | SessionsComplete | DescriptorCount | ListTransfer | ClosedRequests

# The kinds of messages by the key that identifies each, in the order in which the keys are looked up.
_KINDS: dict[str, type[Message]] = {
    "session": SessionOffer,
    "all": SessionsComplete,
    "taken": SessionAnswer,
    "descriptors": DescriptorCount,
    "list": ListTransfer,
    "ids": ClosedRequests,
}


def encode_message(message: HandoverState | Message) -> bytes:
    """Return the line of a message, without its delimiter."""
    return json.dumps(msgspec.to_builtins(message, str_keys=True)).encode()


def decode_line(line: bytes) -> dict[str, Any]:
    """Return the JSON object in a line.

    Raises:
        HandoverMessageError: The line is not a JSON object.
    """
    try:
        fields = json.loads(line)
    except ValueError as error:
        raise HandoverMessageError(f"not JSON: {error}") from None
    if not isinstance(fields, dict):
        raise HandoverMessageError("not a JSON object")
    return fields


def read_state(fields: dict[str, Any]) -> HandoverState:
    """Return the predecessor's first message; its fields are not converted yet."""
    return _convert(fields, HandoverState)


def read_message(fields: dict[str, Any]) -> Message | None:
    """Return a later message, or None for an unknown kind, which a newer version may send."""
    for key, kind in _KINDS.items():
        if key in fields:
            return _convert(fields, kind)
    return None


def read_session(offered: object) -> SessionTransfer:
    """Return the session of an offer."""
    session = _convert(offered, SessionTransfer)
    try:
        session.half_lines()
    except ValueError as error:
        raise HandoverMessageError(f"a half line that is not bytes: {error}") from None
    return session


def read_snapshot(learned: object) -> Snapshot:
    """Return the predecessor's snapshot."""
    return _convert(learned, Snapshot)


def _convert(value: object, kind: type[T]) -> T:
    try:
        return msgspec.convert(value, kind, str_keys=True)
    except msgspec.ValidationError as error:
        raise HandoverMessageError(str(error)) from None
