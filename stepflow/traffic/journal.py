"""The format of a journal, and its reader (docs/traffic-format.md).

    file    = head block*        head = b"SFTRAF" and the version: 2 bytes, little endian
    block   = length crc payload    4 bytes each, little endian; the CRC-32 is of the payload
    payload = a MessagePack array of rows, each an array whose first item is the row's kind

The first row of each file is a HEADER, so that each file can be read by itself. The reader stops at the first
block that is incomplete or damaged, without using it, and reports the byte where it begins. It skips kinds of
rows that a later version may add, and accepts items that a later version may append to a row.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any, BinaryIO
from zlib import crc32

import msgspec

from stepflow.errors import InputError

MAGIC = b"SFTRAF"
VERSION = 1
FILE_HEAD = struct.Struct("<6sH")  # the magic, the version
BLOCK_HEAD = struct.Struct("<II")  # the payload's length and CRC
MAX_BLOCK_BYTES = 1 << 24  # nodes write much shorter blocks: a larger length indicates damage
_ARRAY_HEAD = struct.Struct(">BI")  # MessagePack: the type of an array with a 32-bit length, and the length
_ARRAY_32 = 0xDD

_encoder = msgspec.msgpack.Encoder()


class Kind(IntEnum):
    """The kinds of rows, with the items after the kind; `t` is in microseconds since `began_us`."""

    HEADER = 0  # {version, node, began_us, zones, kinds, balancers, fields, classes}
    REQUEST = 1  # t, id, class, group, wait_us, repeated, returned
    SEND = 2  # t, id, server, timeout_us
    UP = 3  # t, id, wait_us
    OUTCOME = 4  # t, id, result, complete, wait_us
    REFUSE = 5  # t, id, retry_after_us
    FAIL = 6  # t, id
    LEFT = 7  # t, id
    LOAD = 8  # t, id, the load that the endpoint reported for the session
    DELAY = 9  # t, id, the reported delay of a message in milliseconds
    MOVE = 10  # t, id
    LIST = 11  # t, form, [[server, zone, kind, cell, availability, size, started_us], ...]
    PROBED = 12  # t, server, result, wait_us, [report]
    STANDING = 13  # t, id, class, group, server, load: a session older than this file or process
    SETTINGS = 14  # t, {the header's keys about the settings}
    LOST = 15  # t, the number of rows dropped here because the disk was too slow
    END = 16  # t: the node ended the recording itself; nothing was cut off


MIN_ITEMS = {
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
"""The fewest items of a row of each kind, its kind included; later versions may append items."""


class JournalError(InputError):
    """A file can't be read as a journal at all; the text is one line that names the file."""


class _DamagedBlockError(Exception):
    """A block is incomplete, damaged or malformed, so the journal can't be read beyond it."""


def encode_file_head() -> bytes:
    """The head of a file: the magic and the version."""
    return FILE_HEAD.pack(MAGIC, VERSION)


def encode_row(row: Iterable[Any]) -> bytes:
    """A row, encoded as in a block."""
    return _encoder.encode(row)


def encode_block(rows: bytes | bytearray, count: int) -> bytes:
    """A complete block: `rows` holds `count` encoded rows."""
    payload = _ARRAY_HEAD.pack(_ARRAY_32, count) + rows
    return BLOCK_HEAD.pack(len(payload), crc32(payload)) + payload


def decode_rows(payload: bytes) -> list[Any]:
    """The rows of a payload; raises ValueError or msgspec.DecodeError if it is no MessagePack array."""
    rows = msgspec.msgpack.decode(payload)
    if not isinstance(rows, list):
        raise ValueError("the payload is not an array")
    return rows


@dataclass
class Reading:
    """A journal being read. `cut` and `ended` are valid once `rows` is exhausted."""

    path: str
    header: dict[str, Any] = field(default_factory=dict)
    cut: str = ""  # where and why reading stopped early; empty if the whole file was read
    ended: bool = False  # the last row read is an END row

    def rows(self) -> Iterator[list[Any]]:
        """Yield the rows of known kinds after the header, in order, up to the first damaged block."""
        with open(self.path, "rb") as file:
            file.seek(FILE_HEAD.size)
            try:
                while (block := _read_block(file)) is not None:
                    yield from self._checked(*block)
            except _DamagedBlockError as error:
                self.cut = str(error)

    def _checked(self, position: int, payload: bytes) -> Iterator[list[Any]]:
        try:
            for row in decode_rows(payload):
                kind = _kind_of(row)
                if kind is None or kind == Kind.HEADER:
                    continue
                self.ended = kind == Kind.END
                yield row
        except (msgspec.DecodeError, ValueError) as error:
            raise _DamagedBlockError(f"the block at byte {position} is malformed: {error}") from None


def _read_block(file: BinaryIO) -> tuple[int, bytes] | None:
    """The position and the payload of the next block; None at the end of the file."""
    position = file.tell()
    head = file.read(BLOCK_HEAD.size)
    if not head:
        return None
    if len(head) < BLOCK_HEAD.size:
        raise _DamagedBlockError(f"cut off within a block's head at byte {position}")
    length, crc = BLOCK_HEAD.unpack(head)
    if length > MAX_BLOCK_BYTES:
        raise _DamagedBlockError(f"a block of {length} bytes at byte {position}, longer than any node writes")
    payload = file.read(length)
    if len(payload) < length:
        raise _DamagedBlockError(f"cut off within a block at byte {position}")
    if crc32(payload) != crc:
        raise _DamagedBlockError(f"the block at byte {position} has a wrong checksum")
    return position, payload


def _kind_of(row: Any) -> Kind | None:
    """The kind of a decoded row, None for a later version's kind; raises ValueError for a malformed row."""
    if not isinstance(row, list) or not row or not isinstance(row[0], int):
        raise ValueError("a row is not an array that begins with a kind")
    if row[0] not in MIN_ITEMS:
        return None
    kind = Kind(row[0])
    if len(row) < MIN_ITEMS[kind]:
        raise ValueError(f"a row of kind {kind.name} with {len(row)} items, too few")
    return kind


def read_journal(path: str | Path) -> Reading:
    """Open a journal and read its header.

    Raises:
        JournalError: The file can't be opened or is not a journal, its version is later than this one, or its
            header is missing, incomplete or damaged.
    """
    name = str(path)
    try:
        with open(name, "rb") as file:
            _check_version(name, file.read(FILE_HEAD.size))
            payload = _read_first_payload(file)
    except OSError as error:
        raise JournalError(f"{name}: {error.strerror}") from None
    if not payload:
        raise JournalError(f"{name}: its header is incomplete or damaged")
    header = _decode_header(payload)
    if header is None:
        raise JournalError(f"{name}: its first row is not a header")
    return Reading(name, header)


def _check_version(name: str, head: bytes) -> None:
    """Raise JournalError unless the file with this head is a journal of a version that can be read."""
    magic, version = FILE_HEAD.unpack(head) if len(head) == FILE_HEAD.size else (b"", 0)
    if magic != MAGIC or version < 1:
        raise JournalError(f"{name}: not a journal of traffic")
    if version > VERSION:
        raise JournalError(f"{name}: written in version {version}; this program reads up to {VERSION}")


def _read_first_payload(file: BinaryIO) -> bytes:
    """The payload of the first block; empty if there is none or it is incomplete or damaged."""
    try:
        block = _read_block(file)
    except _DamagedBlockError:
        return b""
    return b"" if block is None else block[1]


def _decode_header(payload: bytes) -> dict[str, Any] | None:
    """The header in the first row of a payload; None if that row is not a header."""
    try:
        row = decode_rows(payload)[0]
        is_header = _kind_of(row) == Kind.HEADER and isinstance(row[1], dict)
    except (msgspec.DecodeError, ValueError, IndexError):
        return None
    return row[1] if is_header else None
