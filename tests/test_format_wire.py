"""The simulator's marks of a request, one by one; tests/test_wire.py holds the records as a whole."""

from __future__ import annotations

import struct

import pytest

from stepflow import wire
from stepflow.interface import Request, SessionAdopted

SELECT = bytes.fromhex("3c 04000000 03000000")


def marked(code: int, fields: bytes) -> dict[str, object]:
    """What the marks of a request's record say."""
    data = SELECT + struct.pack("<BI", code, len(fields)) + fields
    [(_, event)] = wire.decode(2, memoryview(data))
    request = event.request if isinstance(event, SessionAdopted) else event
    assert isinstance(request, Request)
    return {
        "hint": request.load,
        "repeated": request.is_retry,
        "amid": request.mid_flow,
        "returned": request.is_migrated,
    }


@pytest.mark.parametrize(
    ("bit", "said"),
    [
        (0, {}),
        (1, {"hint": 5.0}),
        (2, {"repeated": True}),
        (4, {}),
        (8, {"amid": True}),
        (16, {"returned": True}),
        (32, {}),
    ],
)
def test_each_mark_of_a_request_has_its_bit(bit: int, said: dict[str, object]) -> None:
    expected = {"hint": None, "repeated": False, "amid": False, "returned": False, **said}
    assert marked(90, struct.pack("<QHBHIQQQ", 1, 0, bit, 0, 5, 9, 0, 0)) == expected
    assert marked(30, struct.pack("<QHHQQIQB6s", 1, 0, 0, 0, 9, 5, 0, bit, b"server")) == expected
