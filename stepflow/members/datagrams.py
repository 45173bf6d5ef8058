"""The binary format of messages between members: one message per datagram, versioned, little-endian.

`decode` takes any bytes and raises only `DatagramError`; `encode` turns a decoded message into the same bytes
again. Source: docs/members.md.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from stepflow.members.messages import LeaseGrant, LeaseRequest, LoanGrant, LoanRequest, Message

MAX_DATAGRAM_BYTES = 256  # the platform's limit on datagrams between balancers
MAX_MEMBERS = 64  # a set of members is encoded as 64 bits, one for each member

_MAGIC = 0xD5
_VERSION = 1
_LEASE_REQUEST, _LEASE_GRANT, _LOAN_REQUEST, _LOAN_GRANT = 1, 2, 3, 4  # kinds of message

_HEADER = struct.Struct("<BBBHQI")  # magic, version, kind, sender, incarnation, nonce
_LEASE_BODY = struct.Struct("<Q")  # the owners of base shares, one bit each
_LOAN_BODY = struct.Struct("<IIQ")  # limit, amount, duration in microseconds


class DatagramError(ValueError):
    """A datagram is not a message of this protocol version; the message says why."""


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    match message:
        case LeaseRequest():
            return _header(_LEASE_REQUEST, message) + _LEASE_BODY.pack(_to_bits(message.owners))
        case LeaseGrant():
            return _header(_LEASE_GRANT, message) + _LEASE_BODY.pack(_to_bits(message.owners))
        case LoanRequest():
            kind = _LOAN_REQUEST
        case LoanGrant():
            kind = _LOAN_GRANT
    return _header(kind, message) + _LOAN_BODY.pack(message.limit, message.amount, message.duration_us)


def decode(data: bytes) -> Message:
    """Return the message of a datagram.

    Raises:
        DatagramError: The datagram has an invalid length, magic number, version or kind.
    """
    if len(data) < _HEADER.size or len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("datagram is shorter than its header or too long")
    magic, version, kind, sender, incarnation, nonce = _HEADER.unpack_from(data)
    if (magic, version) != (_MAGIC, _VERSION):
        raise DatagramError("not a message of this protocol version")
    body = data[_HEADER.size :]
    try:
        if kind in (_LEASE_REQUEST, _LEASE_GRANT):
            (bits,) = _LEASE_BODY.unpack(body)
            lease_type = LeaseRequest if kind == _LEASE_REQUEST else LeaseGrant
            return lease_type(sender, incarnation, nonce, _from_bits(bits))
        if kind in (_LOAN_REQUEST, _LOAN_GRANT):
            limit, amount, duration_us = _LOAN_BODY.unpack(body)
            loan_type = LoanRequest if kind == _LOAN_REQUEST else LoanGrant
            return loan_type(sender, incarnation, nonce, limit, amount, duration_us)
    except struct.error:
        raise DatagramError("body has the wrong length for its kind of message") from None
    raise DatagramError(f"unknown kind of message: {kind}")


def _header(kind: int, message: Message) -> bytes:
    return _HEADER.pack(_MAGIC, _VERSION, kind, message.sender, message.incarnation, message.nonce)


def _to_bits(members: Iterable[int]) -> int:
    return sum(1 << member for member in members)


def _from_bits(bits: int) -> frozenset[int]:
    return frozenset(member for member in range(MAX_MEMBERS) if bits >> member & 1)
