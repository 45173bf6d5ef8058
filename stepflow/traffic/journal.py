"""The journal's format (docs/traffic-format.md): a magic, then blocks of rows, each with its length and CRC.

    file   = magic block*          magic = b"SFTRAF" and the version, 2 bytes, little endian
    block  = length crc payload    4 bytes each, little endian; the CRC-32 is of the payload
    payload = a MessagePack array of rows, each an array whose first item is the row's kind

The first row of each file is a HEADER, so that each file is read by itself. A block is whole or it is not
there: what a cut leaves of the last one is passed over, and where the cut is gets told.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec

from stepflow.errors import InputError

MAGIC = struct.Struct("<6sH")
NAME = b"SFTRAF"
VERSION = 1
BLOCK = struct.Struct("<II")
ARRAY = struct.Struct(">BI")  # MessagePack's head of an array with 32 bits for its length
MOST_BLOCK = 1 << 24  # a longer one was never written

_encoder = msgspec.msgpack.Encoder()


class Kind(IntEnum):
    """What a row tells; `t` is in microseconds from the header's `began_us`."""

    HEADER = 0  # {version, node, began_us, zones, kinds, classes, fields, settings}
    REQUEST = 1  # t, id, class, group, wait_us, repeated, returned
    SEND = 2  # t, id, server, timeout_us
    UP = 3  # t, id, wait_us
    OUTCOME = 4  # t, id, result, complete, wait_us
    REFUSE = 5  # t, id, retry_after_us
    FAIL = 6  # t, id
    LEFT = 7  # t, id
    LOAD = 8  # t, id, load as told
    DELAY = 9  # t, id, milliseconds that a message takes
    MOVE = 10  # t, id
    LIST = 11  # t, form, [[server, zone, kind, cell, availability, size, started_us], ...]
    PROBED = 12  # t, server, result, wait_us, [report]
    STANDING = 13  # t, id, class, group, server, load: it stood before this file or this process began
    SETTINGS = 14  # t, {the header's keys that changed}
    LOST = 15  # t, rows that were dropped here, since the disk took none
    END = 16  # t: the recording was ended in order


LENGTHS = {
    Kind.HEADER: 2,
    Kind.REQUEST: 8,
    Kind.SEND: 5,
    Kind.UP: 4,
    Kind.OUTCOME: 6,
    Kind.REFUSE: 4,
    Kind.FAIL: 3,
    Kind.LEFT: 3,
    Kind.LOAD: 4,
    Kind.DELAY: 4,
    Kind.MOVE: 3,
    Kind.LIST: 4,
    Kind.PROBED: 6,
    Kind.STANDING: 7,
    Kind.SETTINGS: 3,
    Kind.LOST: 3,
    Kind.END: 2,
}
"""Items of a row of each kind, its kind included; later versions may append some."""


class JournalError(InputError):
    """Why a file can't be read as a journal at all, in one line that names it."""


def magic() -> bytes:
    """The first bytes of a file."""
    return MAGIC.pack(NAME, VERSION)


def encode_row(row: Iterable[Any]) -> bytes:
    """One row as it stands in a block."""
    return _encoder.encode(row)


def block(rows: bytes | bytearray, count: int) -> bytes:
    """Rows, encoded one behind the other, as a block."""
    payload = ARRAY.pack(0xDD, count) + rows
    return BLOCK.pack(len(payload), crc32(payload)) + payload


@dataclass
class Reading:
    """A journal's rows, and what is wrong with its end; `cut` is told once all rows were gone through."""

    path: str
    header: dict[str, Any] = field(default_factory=dict)
    cut: str = ""
    ended: bool = False  # in order

    def rows(self) -> Iterator[list[Any]]:
        """All whole rows behind the header, in order."""
        with open(self.path, "rb") as file:
            file.seek(MAGIC.size)
            while head := file.read(BLOCK.size):
                at = file.tell() - len(head)
                if len(head) < BLOCK.size:
                    self.cut = f"cut off amid a block's head at byte {at}"
                    return
                length, crc = BLOCK.unpack(head)
                if length > MOST_BLOCK:
                    self.cut = f"a block of {length} bytes at byte {at}, which no node writes"
                    return
                payload = file.read(length)
                if len(payload) < length:
                    self.cut = f"cut off amid a block at byte {at}"
                    return
                if crc32(payload) != crc:
                    self.cut = f"a block at byte {at} whose checksum does not hold"
                    return
                try:
                    yield from self._checked(unpack(payload))
                except (msgspec.DecodeError, ValueError) as fault:
                    self.cut = f"a block at byte {at} that is none of this version: {fault}"
                    return

    def _checked(self, rows: Iterable[Any]) -> Iterator[list[Any]]:
        for row in rows:
            if not isinstance(row, list) or not row or not isinstance(row[0], int):
                raise ValueError("a row that is no array with a kind")
            if row[0] not in LENGTHS:
                continue  # a kind that later nodes write
            kind = Kind(row[0])
            if len(row) < LENGTHS[kind]:
                raise ValueError(f"a row of kind {kind.name} with {len(row)} items")
            if kind == Kind.HEADER:
                continue
            self.ended = kind == Kind.END
            yield row


def unpack(payload: bytes) -> list[Any]:
    """The rows of a payload."""
    rows = msgspec.msgpack.decode(payload)
    if not isinstance(rows, list):
        raise ValueError("a payload that is no array")
    return rows


def read_journal(path: str | Path) -> Reading:
    """Open a journal; a JournalError says why it is none, or none that this version can read."""
    name = str(path)
    try:
        with open(name, "rb") as file:
            head, rest = file.read(MAGIC.size), file.read(BLOCK.size)
            if len(head) < MAGIC.size or head[: len(NAME)] != NAME:
                raise JournalError(f"{name}: not a journal of traffic")
            version = MAGIC.unpack(head)[1]
            if version < 1:
                raise JournalError(f"{name}: not a journal of traffic")
            if version > VERSION:
                raise JournalError(f"{name}: written in version {version}; this reads up to {VERSION}")
            length, crc = BLOCK.unpack(rest) if len(rest) == BLOCK.size else (0, 0)
            payload = file.read(min(length, MOST_BLOCK))
    except OSError as fault:
        raise JournalError(f"{name}: {fault.strerror}") from None
    if not payload or len(payload) < length or crc32(payload) != crc:
        raise JournalError(f"{name}: cut off before its header was whole")
    try:
        header = unpack(payload)[0]
    except (msgspec.DecodeError, ValueError, IndexError):
        header = None
    if not isinstance(header, list) or len(header) < 2 or header[0] != 0 or not isinstance(header[1], dict):
        raise JournalError(f"{name}: its first row is no header")
    return Reading(name, header[1])
