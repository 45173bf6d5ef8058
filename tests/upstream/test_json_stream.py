"""The incremental parser of JSON values, with any chunk sizes."""

from __future__ import annotations

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.upstream import JsonStream, JsonStreamError

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


@given(
    st.lists(st.lists(JSON) | st.dictionaries(st.text(), JSON), max_size=4),
    st.sampled_from([None, 1, 4]),
    st.sampled_from(["", "\n", "\r\n", "\r\n\r\n \t"]),
    st.lists(st.integers(1, 40)),
)
def test_values_are_complete_whatever_the_white_space_and_chunks(
    values: list[object], indent: int | None, separator: str, chunk_sizes: list[int]
) -> None:
    text = separator.join([json.dumps(value, indent=indent) for value in values] + [""]).encode()
    stream = JsonStream()
    found: list[object] = []
    for size in chunk_sizes:
        found += stream.feed(text[:size])
        text = text[size:]
    found += stream.feed(text)
    assert found == values and not stream.has_partial_value


@pytest.mark.parametrize(
    "text", [b"null", b"x{}", b"{]}", b'{"a"}', b"[" * 40, b'{"a":"\xff"}', b"[" + b"9" * 5000 + b"]", b"]"]
)
def test_a_malformed_value_raises(text: bytes) -> None:
    with pytest.raises(JsonStreamError):
        list(JsonStream().feed(text))


def test_the_size_of_a_value_is_limited() -> None:
    stream = JsonStream(max_value_bytes=1000)
    with pytest.raises(JsonStreamError):
        for _ in range(30):
            list(stream.feed(b'["' + b"x" * 100 if not stream.has_partial_value else b"x" * 100))


def test_a_large_value_in_small_chunks_is_scanned_once() -> None:
    """If each chunk caused a scan of the whole buffer, 4 MB in chunks of 1,400 bytes would take minutes."""
    text = json.dumps(["x" * 100] * 30_000).encode()
    stream, started, found = JsonStream(), time.process_time(), 0
    for at in range(0, len(text), 1400):
        found += len(list(stream.feed(text[at : at + 1400])))
    assert found == 1 and time.process_time() - started < 5
