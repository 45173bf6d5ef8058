"""One datagram between neighbours, in a versioned binary form with bounds (docs/members.md)."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

MOST_BYTES = 256  # of a datagram, as the platform has it
MAGIC, VERSION = 0xD5, 1
_HEAD = struct.Struct("<BBBHQI")  # magic, version, kind, the sender's place, its incarnation, a nonce
_GRANT = struct.Struct("<IIQ")  # which whole, how much of it (in a million), for how long (microseconds)
MOST_PARTS = 64  # a set of parts is a bit each


class Kind(IntEnum):
    """What a message asks for or answers."""

    RENEW = 1  # let me hold these parts for a while from when I asked
    GRANTED = 2  # these I have, or keep, for you
    LEND = 3  # lend me so much of a whole
    LENT = 4  # so much, for so long from when you asked


class BadMessage(ValueError):
    """What is wrong with a datagram."""


class Message(NamedTuple):
    """One message; what a kind does not use is 0."""

    kind: Kind
    place: int  # of the sender
    incarnation: int  # of the sender: when its process started, in milliseconds
    nonce: int  # of the question, and so of its answer
    parts: int = 0  # a set, as bits
    whole: int = 0
    amount: int = 0
    for_us: int = 0


def written(message: Message) -> bytes:
    """The bytes of a message."""
    head = _HEAD.pack(MAGIC, VERSION, message.kind, message.place, message.incarnation, message.nonce)
    if message.kind in (Kind.RENEW, Kind.GRANTED):
        return head + struct.pack("<Q", message.parts)
    return head + _GRANT.pack(message.whole, message.amount, message.for_us)


def read(data: bytes) -> Message:
    """The message of some bytes; a BadMessage says why there is none."""
    if len(data) < _HEAD.size or len(data) > MOST_BYTES:
        raise BadMessage("no whole head, or too long")
    magic, version, kind, place, incarnation, nonce = _HEAD.unpack_from(data)
    if (magic, version) != (MAGIC, VERSION):
        raise BadMessage("not a message of this version")
    body = data[_HEAD.size :]
    try:
        if kind in (Kind.RENEW, Kind.GRANTED):
            (parts,) = struct.unpack("<Q", body)
            return Message(Kind(kind), place, incarnation, nonce, parts=parts)
        if kind in (Kind.LEND, Kind.LENT):
            whole, amount, for_us = _GRANT.unpack(body)
            return Message(Kind(kind), place, incarnation, nonce, whole=whole, amount=amount, for_us=for_us)
    except struct.error:
        raise BadMessage("a body of the wrong length") from None
    raise BadMessage(f"kind {kind}")
