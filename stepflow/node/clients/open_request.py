"""Parses the OPEN line, with which a client asks for a session.

A pure function of one line: no I/O, and nothing is kept between calls. The line is

    OPEN ID KEY NAME=VALUE,NAME=VALUE,...

with ID and KEY in hexadecimal. Fields that this module doesn't know go on to the endpoint as they came, so
that endpoints may understand more than this node does. Of the known fields `d` is a wait in milliseconds, `h`
a load without a unit. A line of any other form raises `MalformedRequestError`.

The source is the platform's line protocol; docs/design.md describes it.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from stepflow.interface import Request
from stepflow.node.runtime.clock import micros, millis

MAX_WAIT = timedelta(minutes=1)  # the longest `d` that a client may ask for
# Clients whose session was established before this node's start send a longer one: over an hour.
MAX_WAIT_OF_ESTABLISHED_SESSION = timedelta(hours=2)

WORDS = 4  # OPEN, ID, KEY and the list of fields
FIRST_PRINTABLE, DELETE = 0x20, 0x7F  # the bounds of ASCII's printable characters

# Python's own conversions take signs, underscores, prefixes, `nan` and `inf`, which endpoints do not.
_HEXADECIMAL = re.compile(rb"[0-9A-Fa-f]{1,16}")
_MILLISECONDS = re.compile(rb"[0-9]{1,9}")
_LOAD = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?([eE][-+]?[0-9]{1,2})?")

Fields = tuple[tuple[bytes, bytes], ...]  # names and values, in the order of the line


class MalformedRequestError(ValueError):
    """A line is no valid OPEN line; its text says what is wrong."""


class OpenRequest(NamedTuple):
    """A parsed OPEN line."""

    head: bytes  # OPEN, ID and KEY as they came
    fields: Fields
    request: Request  # its id is 0 until the core gives it one
    previous_endpoint: str  # where the session was established before this node's start, or ""

    @property
    def client_request_id(self) -> str:
        """The ID as the client wrote it."""
        return self.head.split(b" ", 2)[1].decode()

    @property
    def numeric_id(self) -> int:
        """The ID's value, by which requests that are open are told apart."""
        return int(self.client_request_id, 16)

    def line_for_attempt(self, wait: timedelta) -> bytes:
        """The line for an endpoint: as it came, but `d` says how long this attempt will wait."""
        milliseconds = b"%d" % max(1, millis(wait))
        fields = b",".join(
            b"%s=%s" % (name, milliseconds if name == b"d" else value) for name, value in self.fields
        )
        return b"%s %s\r\n" % (self.head, fields)


def parse_open_request(
    line: bytes, now: timedelta, classes: Mapping[bytes, int], tenants: Mapping[bytes, int] | None = None
) -> OpenRequest:
    """Parse an OPEN line without its delimiter.

    Args:
        line: the line.
        now: the moment that the client's wait counts from, on the node's clock.
        classes: the classes that clients may name, with their indices in the settings.
        tenants: the tenants of the settings, likewise.

    Raises:
        MalformedRequestError: the line is not of the protocol's form, or names an unknown class.
    """
    words = line.split(b" ")
    if len(words) != WORDS or words[0] != b"OPEN" or not all(words):
        raise MalformedRequestError("not OPEN, an id, a key and a list")
    fields = _split_fields(words[3])
    values = dict(fields)
    if len(values) != len(fields):
        raise MalformedRequestError("a name stands twice")
    if not line.isascii() or any(byte < FIRST_PRINTABLE or byte == DELETE for byte in line):
        raise MalformedRequestError("a byte that is not plain ASCII")
    class_index = classes.get(values.get(b"c", b""))
    if class_index is None:
        raise MalformedRequestError("an unknown class")
    _check_numbers(words[1], words[2], values)
    request = Request(
        id=0,
        class_index=class_index,
        expires_us=micros(now + _wait(values)),
        load=float(values[b"h"]) if b"h" in values else None,
        tenant=tenant_index(tenants or {}, values.get(b"t", b"")),
        idempotency_key=int(words[2], 16),
        affinity_group=int(values.get(b"g", b"0"), 16),
        is_retry=values.get(b"r") == b"1",
        is_migrated=values.get(b"again") == b"1",
    )
    return OpenRequest(b" ".join(words[:3]), fields, request, values.get(b"at", b"").decode())


def tenant_index(tenants: Mapping[bytes, int], name: bytes) -> int:
    """A tenant's index; one that the settings don't name has the index behind all of theirs."""
    return tenants.get(name, len(tenants))


def _split_fields(text: bytes) -> Fields:
    """Split a list of fields."""
    fields = []
    for item in text.split(b","):
        name, equals, value = item.partition(b"=")
        if not name or not equals:
            raise MalformedRequestError("an item that is not NAME=VALUE")
        fields.append((name, value))
    return tuple(fields)


def _check_numbers(id: bytes, key: bytes, values: Mapping[bytes, bytes]) -> None:
    """Raise unless all numbers of a line are in the form that endpoints read too."""
    readable = (
        _HEXADECIMAL.fullmatch(id)
        and _HEXADECIMAL.fullmatch(key)
        and _HEXADECIMAL.fullmatch(values.get(b"g", b"0"))
        and _LOAD.fullmatch(values.get(b"h", b"0"))
        and _MILLISECONDS.fullmatch(values.get(b"d", b""))
    )
    if not readable:
        raise MalformedRequestError("a value that can't be read")


def _wait(values: Mapping[bytes, bytes]) -> timedelta:
    """How long the client waits for its answer."""
    wait = timedelta(milliseconds=int(values[b"d"]))
    if wait > (MAX_WAIT_OF_ESTABLISHED_SESSION if b"at" in values else MAX_WAIT):
        raise MalformedRequestError("a wait that no client has")
    return wait
