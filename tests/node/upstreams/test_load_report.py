"""The parser of load reports."""

from __future__ import annotations

import pytest

from stepflow.node.upstreams.load_report import parse_load_report


@pytest.mark.parametrize(
    ("text", "values"),
    [
        (b"x0=0.5,util=0.25,queue=3", (0.5, 0.25)),
        (b"utilization=1,x0=2", (2.0, 1.0)),
        (b"x0=0.5", ()),
        (b"x0=nan,util=1", ()),
        (b"\xff=1", ()),
    ],
)
def test_a_load_report_is_parsed_whole_or_dropped(text: bytes, values: tuple[float, ...]) -> None:
    assert parse_load_report(text, ("x0", "util")) == values
