"""The flag bits of the simulator's requests, one by one; tests/test_wire.py tests whole records."""

from __future__ import annotations

import struct

import pytest

from stepflow import wire
from stepflow.interface import Request, SessionAdopted

SELECT = bytes.fromhex("3c 04000000 03000000")


def decoded_flags(code: int, fields: bytes) -> dict[str, object]:
    """Return the fields that the flags of a request's record set."""
    data = SELECT + struct.pack("<BI", code, len(fields)) + fields
    [(_, event)] = wire.decode(2, memoryview(data))
    request = event.request if isinstance(event, SessionAdopted) else event
    assert isinstance(request, Request)
    return {
        "load": request.load,
        "is_retry": request.is_retry,
        "mid_flow": request.mid_flow,
        "is_migrated": request.is_migrated,
    }


@pytest.mark.parametrize(
    ("bit", "changed_fields"),
    [
        (0, {}),
        (1, {"load": 5.0}),
        (2, {"is_retry": True}),
        (4, {}),
        (8, {"mid_flow": True}),
        (16, {"is_migrated": True}),
        (32, {}),
    ],
)
def test_each_flag_of_a_request_has_its_bit(bit: int, changed_fields: dict[str, object]) -> None:
    expected = {"load": None, "is_retry": False, "mid_flow": False, "is_migrated": False, **changed_fields}
    assert decoded_flags(90, struct.pack("<QHBHIQQQ", 1, 0, bit, 0, 5, 9, 0, 0)) == expected
    assert decoded_flags(30, struct.pack("<QHHQQIQB6s", 1, 0, 0, 0, 9, 5, 0, bit, b"server")) == expected
