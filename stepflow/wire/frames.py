"""Frames of the simulator's wire.

A batch has a header of 16 bytes (record count, size with the header, clock in microseconds), a reply one of 8
(record count, size with the header); then the records follow.
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
    """Events that happened at one time."""

    now: int  # microseconds
    record_count: int
    records: memoryview


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read one batch; None where the input ends between frames.

    Raises:
        WireError: The input ends inside a frame, or the frame's size is impossible.
    """
    header = stream.read(_BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < _BATCH_HEADER.size:
        raise WireError("input ends inside a frame header")
    record_count, size, now = _BATCH_HEADER.unpack(header)
    if not _BATCH_HEADER.size <= size <= MAX_FRAME_BYTES:
        raise WireError(f"frame of {size} bytes")
    body = stream.read(size - _BATCH_HEADER.size)
    if len(body) < size - _BATCH_HEADER.size:
        raise WireError("input ends inside a frame")
    return Batch(now, record_count, memoryview(body))


def frame(records: Iterable[bytes]) -> bytes:
    """Return a reply of some records."""
    parts = list(records)
    body = b"".join(parts)
    return _REPLY_HEADER.pack(len(parts), _REPLY_HEADER.size + len(body)) + body
