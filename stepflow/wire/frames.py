"""Reads and builds the frames of the simulator's wire.

A batch begins with a header of 16 bytes (record count, size including the header, time in microseconds), a
reply with a header of 8 bytes (record count, size including the header). The records follow the header.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import BinaryIO, NamedTuple

from stepflow.wire.errors import WireError

MAX_FRAME_BYTES = 1 << 30

_BATCH_HEADER = struct.Struct("<IIQ")
_REPLY_HEADER = struct.Struct("<II")


class Batch(NamedTuple):
    """The records of events that happened at the same time."""

    now: int  # microseconds
    record_count: int
    records: memoryview


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read one batch; return None if the input ends between frames.

    Raises:
        WireError: The input ends inside a frame, or the size of the frame is out of range.
    """
    header = stream.read(_BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < _BATCH_HEADER.size:
        raise WireError("input ends inside a frame header")
    record_count, size, now = _BATCH_HEADER.unpack(header)
    if not _BATCH_HEADER.size <= size <= MAX_FRAME_BYTES:
        raise WireError(f"frame size is out of range: {size} bytes")
    body = stream.read(size - _BATCH_HEADER.size)
    if len(body) < size - _BATCH_HEADER.size:
        raise WireError("input ends inside a frame")
    return Batch(now, record_count, memoryview(body))


def frame(records: Iterable[bytes]) -> bytes:
    """Return a reply that contains these records."""
    parts = list(records)
    body = b"".join(parts)
    return _REPLY_HEADER.pack(len(parts), _REPLY_HEADER.size + len(body)) + body
