"""Parses the OPEN line, with which a client requests a session.

Parsing depends on its arguments only; it does no I/O and keeps no state. The line is

    OPEN ID KEY NAME=VALUE,NAME=VALUE,...

with ID and KEY in hexadecimal. Unknown fields are forwarded unchanged, since endpoints may know more fields
than this node. Of the known fields, `d` is the client's wait in milliseconds and `h` a load without a unit. A
line of any other form raises `MalformedRequestError`.

Source: the platform's line protocol, described in docs/design.md.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from stepflow.interface import Request
from stepflow.node.runtime.clock import micros, millis

MAX_WAIT = timedelta(minutes=1)  # the longest `d` of a new session
# Clients whose session was established before this node's start send a `d` of over an hour.
MAX_WAIT_OF_ESTABLISHED_SESSION = timedelta(hours=2)

WORD_COUNT = 4  # OPEN, ID, KEY and the list of fields
FIRST_PRINTABLE, DELETE = 0x20, 0x7F  # the bounds of the printable ASCII characters

# int() and float() also accept signs, underscores, prefixes, `nan` and `inf`, which endpoints reject.
_HEXADECIMAL = re.compile(rb"[0-9A-Fa-f]{1,16}")
_MILLISECONDS = re.compile(rb"[0-9]{1,9}")
_LOAD = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?([eE][-+]?[0-9]{1,2})?")

Fields = tuple[tuple[bytes, bytes], ...]  # names and values, in the order of the line


class MalformedRequestError(ValueError):
    """A line is not a valid OPEN line; the message says why."""


class OpenRequest(NamedTuple):
    """A parsed OPEN line."""

    head: bytes  # OPEN, ID and KEY as received
    fields: Fields
    request: Request  # its id is 0 until the core assigns one
    previous_endpoint: str  # endpoint of a session established before this node's start, or ""

    @property
    def client_request_id(self) -> str:
        """The ID as the client wrote it."""
        return self.head.split(b" ", 2)[1].decode()

    @property
    def numeric_id(self) -> int:
        """The value of the ID, which is unique among open requests."""
        return int(self.client_request_id, 16)

    def line_for_attempt(self, wait: timedelta) -> bytes:
        """Return the line for an endpoint: as received, with `d` replaced by the attempt's timeout."""
        milliseconds = b"%d" % max(1, millis(wait))
        fields = b",".join(
            b"%s=%s" % (name, milliseconds if name == b"d" else value) for name, value in self.fields
        )
        return b"%s %s\r\n" % (self.head, fields)


def parse_open_request(
    line: bytes, now: timedelta, classes: Mapping[bytes, int], tenants: Mapping[bytes, int] | None = None
) -> OpenRequest:
    """Parse an OPEN line.

    Args:
        line: The line without its delimiter.
        now: The start of the client's wait, on the node's clock.
        classes: The indices in the settings of the classes that clients may name.
        tenants: The indices of the tenants in the settings.

    Raises:
        MalformedRequestError: The line doesn't have the protocol's form, or names an unknown class.
    """
    words = line.split(b" ")
    if len(words) != WORD_COUNT or words[0] != b"OPEN" or not all(words):
        raise MalformedRequestError("expected OPEN, an id, a key and a list of fields")
    fields = _split_fields(words[3])
    values = dict(fields)
    if len(values) != len(fields):
        raise MalformedRequestError("duplicate field name")
    if not line.isascii() or any(byte < FIRST_PRINTABLE or byte == DELETE for byte in line):
        raise MalformedRequestError("expected printable ASCII characters only")
    class_index = classes.get(values.get(b"c", b""))
    if class_index is None:
        raise MalformedRequestError("missing or unknown class")
    _check_numbers(words[1], words[2], values)
    request = Request(
        id=0,
        class_index=class_index,
        expires_us=micros(now + _parse_wait(values)),
        load=float(values[b"h"]) if b"h" in values else None,
        tenant=tenant_index(tenants or {}, values.get(b"t", b"")),
        idempotency_key=int(words[2], 16),
        affinity_group=int(values.get(b"g", b"0"), 16),
        is_retry=values.get(b"r") == b"1",
        is_migrated=values.get(b"again") == b"1",
    )
    return OpenRequest(b" ".join(words[:3]), fields, request, values.get(b"at", b"").decode())


def tenant_index(tenants: Mapping[bytes, int], name: bytes) -> int:
    """Return a tenant's index; a tenant that the settings don't name gets the index after the last one."""
    return tenants.get(name, len(tenants))


def _split_fields(text: bytes) -> Fields:
    """Split a list of fields into names and values."""
    fields = []
    for item in text.split(b","):
        name, equals, value = item.partition(b"=")
        if not name or not equals:
            raise MalformedRequestError("expected NAME=VALUE in the list of fields")
        fields.append((name, value))
    return tuple(fields)


def _check_numbers(id: bytes, key: bytes, values: Mapping[bytes, bytes]) -> None:
    """Raise MalformedRequestError unless endpoints, too, can parse all numbers of the line."""
    are_valid = (
        _HEXADECIMAL.fullmatch(id)
        and _HEXADECIMAL.fullmatch(key)
        and _HEXADECIMAL.fullmatch(values.get(b"g", b"0"))
        and _LOAD.fullmatch(values.get(b"h", b"0"))
        and _MILLISECONDS.fullmatch(values.get(b"d", b""))
    )
    if not are_valid:
        raise MalformedRequestError("invalid number in id, key, g, h or d")


def _parse_wait(values: Mapping[bytes, bytes]) -> timedelta:
    """Return how long the client waits for its answer."""
    wait = timedelta(milliseconds=int(values[b"d"]))
    if wait > (MAX_WAIT_OF_ESTABLISHED_SESSION if b"at" in values else MAX_WAIT):
        raise MalformedRequestError("wait longer than allowed")
    return wait
