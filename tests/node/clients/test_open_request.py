"""Parsing of the OPEN line."""

from __future__ import annotations

import tracemalloc
from datetime import timedelta

import pytest

from stepflow.node.clients.open_request import MalformedRequestError, parse_open_request


def test_line_for_attempt_changes_only_d() -> None:
    line = b"OPEN 0a 0b c=view,h=12.5,d=700,g=0c,r=1,again=1,z=?"
    opening = parse_open_request(line, timedelta(seconds=10), {b"view": 4})
    assert opening.line_for_attempt(timedelta(milliseconds=300)) == line.replace(b"d=700", b"d=300") + b"\r\n"
    request = opening.request
    assert (request.class_index, request.expires_us, request.load) == (4, 10_700_000, 12.5)
    assert (request.idempotency_key, request.affinity_group, request.is_retry, request.is_migrated) == (
        11,
        12,
        True,
        True,
    )


@pytest.mark.parametrize(
    "fields", [b"d=700,c=view,x=d=700", b"c=view,dd=700,d=700", b"c=view,x==,d=700,xd=700"]
)
def test_line_for_attempt_changes_d_wherever_it_stands(fields: bytes) -> None:
    """Guards against a wait that is replaced within another field."""
    names = [item.partition(b"=")[0] for item in fields.split(b",")]
    values = [item.partition(b"=")[2] for item in fields.split(b",")]
    values[names.index(b"d")] = b"9"
    expected = b",".join(b"%s=%s" % field for field in zip(names, values, strict=True))
    opening = parse_open_request(b"OPEN 1 2 " + fields, timedelta(0), {b"view": 0})
    assert opening.line_for_attempt(timedelta(milliseconds=9)) == b"OPEN 1 2 " + expected + b"\r\n"


def test_parsed_line_holds_about_the_memory_of_the_line() -> None:
    """Guards against requests of many short fields that each take many times the memory of their line."""
    line = b"OPEN 1 2 c=view,d=9" + b"".join(b",%03x=1" % number for number in range(600))
    tracemalloc.start()
    held = [parse_open_request(line, timedelta(0), {b"view": 0}) for _ in range(50)]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size / len(held) < 2 * len(line)


@pytest.mark.parametrize(
    "line", [b"", b"OPEN 1 2 c=view", b"OPEN 1 2 c=view,d=-5", b"OPEN 1 2 c=view,d=5,h=x"]
)
def test_incomplete_or_invalid_open_line_is_malformed(line: bytes) -> None:
    with pytest.raises(MalformedRequestError):
        parse_open_request(line, timedelta(0), {b"view": 0})


@pytest.mark.parametrize(("field", "index"), [(b",t=acme", 1), (b",t=other", 2), (b"", 2)])
def test_tenant_has_its_index_in_the_settings(field: bytes, index: int) -> None:
    """Regression: `t` was not read, so that all clients belonged to the first tenant."""
    line = b"OPEN 1 2 c=view,d=9" + field
    tenants = {b"zeta": 0, b"acme": 1}
    assert parse_open_request(line, timedelta(0), {b"view": 0}, tenants).request.tenant == index
