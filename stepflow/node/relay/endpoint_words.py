"""Reads the words that matter to the node in a block of an endpoint's lines.

An endpoint may write thousands of lines in one piece, so the block is searched, not split: the cost depends
on its bytes, not on its lines. Nothing here raises an exception. Source: PROTOCOL, "Nodes to map servers".
"""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from stepflow.interface import AttemptResult
from stepflow.node.runtime.lines import DELIMITER, count_lines

# Load reports of one block that are read. Each replaces the one before it; the last few are read, since an
# endpoint may report loads and delays under the same word.
MAX_LOADS = 8
_LOAD_WORD = b"LOAD "
# Lines that announce the end of the session, and its result.
_LAST_LINES = {b"BYE": AttemptResult.OK, b"BYE ": AttemptResult.OK, b"MOVE": AttemptResult.CANCELLED}


class EndpointWords(NamedTuple):
    """What a block of lines says."""

    loads: tuple[float, ...]  # the values of the last `MAX_LOADS` load reports, in order
    result: AttemptResult | None  # of the session, if the endpoint announced its end
    other_lines: int  # each of them is an echo, if one is pending


def read_words(block: bytes) -> EndpointWords:
    """Read a block of complete lines, each with its delimiter."""
    if not (_LOAD_WORD in block or b"BYE" in block or b"MOVE" in block):
        return EndpointWords((), None, count_lines(block))
    text = DELIMITER + block  # now each line stands between two delimiters
    load_lines = text.count(DELIMITER + _LOAD_WORD)
    result, last_lines = _read_last_lines(text)
    return EndpointWords(
        loads=_read_loads(text) if load_lines else (),
        result=result,
        other_lines=count_lines(block) - load_lines - last_lines,
    )


def _read_loads(text: bytes) -> tuple[float, ...]:
    """Return the last loads; a report that is not a number is left out."""
    loads: list[float] = []
    end = len(text)
    for _ in range(MAX_LOADS):
        start = text.rfind(DELIMITER + _LOAD_WORD, 0, end)
        if start < 0:
            break
        value_start = start + len(DELIMITER + _LOAD_WORD)
        with suppress(ValueError):
            loads.append(float(text[value_start : text.index(DELIMITER, value_start)]))
        end = start + len(DELIMITER)  # which may also end the line before
    return tuple(reversed(loads))


def _read_last_lines(text: bytes) -> tuple[AttemptResult | None, int]:
    """Return the result that the last of these lines announces, and how many of them there are."""
    result, last_at, count = None, -1, 0
    for line, announced in _LAST_LINES.items():
        delimited = DELIMITER + line + DELIMITER
        at = text.rfind(delimited)
        if at < 0:
            continue
        # With each delimiter doubled, two such lines in a row don't share one.
        count += text.replace(DELIMITER, 2 * DELIMITER).count(delimited)
        if at > last_at:
            result, last_at = announced, at
    return result, count
