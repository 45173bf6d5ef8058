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

WAIT_FIELD = b"d"


class MalformedRequestError(ValueError):
    """A line is not a valid OPEN line; the message says why."""


class OpenRequest(NamedTuple):
    """A parsed OPEN line. It keeps the line itself: its fields as objects take many times the memory."""

    client_request_id: str  # the ID as the client wrote it
    before_wait: bytes  # the line up to the value of `d`, as received
    after_wait: bytes  # the rest of the line
    request: Request  # its id is 0 until the core assigns one
    previous_endpoint: str  # endpoint of a session established before this node's start, or ""

    @property
    def numeric_id(self) -> int:
        """The value of the ID, which is unique among open requests."""
        return int(self.client_request_id, 16)

    def line_for_attempt(self, wait: timedelta) -> bytes:
        """Return the line for an endpoint: as received, with `d` replaced by the attempt's timeout."""
        return b"%s%d%s\r\n" % (self.before_wait, max(1, millis(wait)), self.after_wait)


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
    values = _split_fields(words[3])
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
    wait_start = _wait_start(line, len(line) - len(words[3]))
    return OpenRequest(
        client_request_id=words[1].decode(),
        before_wait=line[:wait_start],
        after_wait=line[wait_start + len(values[WAIT_FIELD]) :],
        request=request,
        previous_endpoint=values.get(b"at", b"").decode(),
    )


def tenant_index(tenants: Mapping[bytes, int], name: bytes) -> int:
    """Return a tenant's index; a tenant that the settings don't name gets the index after the last one."""
    return tenants.get(name, len(tenants))


def _split_fields(text: bytes) -> dict[bytes, bytes]:
    """Split a list of fields into values by name."""
    values: dict[bytes, bytes] = {}
    for item in text.split(b","):
        name, equals, value = item.partition(b"=")
        if not name or not equals:
            raise MalformedRequestError("expected NAME=VALUE in the list of fields")
        if name in values:
            raise MalformedRequestError("duplicate field name")
        values[name] = value
    return values


def _wait_start(line: bytes, fields_start: int) -> int:
    """Return the offset of the value of `d` in a line that has this field."""
    name = WAIT_FIELD + b"="
    if line.startswith(name, fields_start):
        return fields_start + len(name)
    return line.index(b"," + name, fields_start) + len(b"," + name)


def _check_numbers(id: bytes, key: bytes, values: Mapping[bytes, bytes]) -> None:
    """Raise MalformedRequestError unless endpoints, too, can parse all numbers of the line."""
    are_valid = (
        _HEXADECIMAL.fullmatch(id)
        and _HEXADECIMAL.fullmatch(key)
        and _HEXADECIMAL.fullmatch(values.get(b"g", b"0"))
        and _LOAD.fullmatch(values.get(b"h", b"0"))
        and _MILLISECONDS.fullmatch(values.get(WAIT_FIELD, b""))
    )
    if not are_valid:
        raise MalformedRequestError("invalid number in id, key, g, h or d")


def _parse_wait(values: Mapping[bytes, bytes]) -> timedelta:
    """Return how long the client waits for its answer."""
    wait = timedelta(milliseconds=int(values[WAIT_FIELD]))
    if wait > (MAX_WAIT_OF_ESTABLISHED_SESSION if b"at" in values else MAX_WAIT):
        raise MalformedRequestError("wait longer than allowed")
    return wait
