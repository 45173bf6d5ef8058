"""Reading the messages of the hand-over: what is ignored and what is refused."""

from __future__ import annotations

import json
from typing import Any

import pytest

from stepflow.node.list_transfer import ListTransfer
from stepflow.node.process.handover_messages import (
    DescriptorCount,
    HandoverMessageError,
    HandoverState,
    SessionAnswer,
    SessionOffer,
    SessionsComplete,
    decode_line,
    encode_message,
    read_message,
    read_session,
    read_snapshot,
    read_state,
)
from stepflow.node.session_transfer import SessionTransfer
from tests.handover_kit import load_recording

RECORDED = [json.loads(line) for line in load_recording().old]
[RECORDED_SESSION] = [message["session"] for message in RECORDED if "session" in message]
OPTIONAL_KEYS = {"client", "peer", "tenant"}


def encoded(message: HandoverState | SessionOffer) -> dict[str, Any]:
    """A message as it is sent on the channel."""
    return decode_line(encode_message(message))


def test_recorded_state_is_read_and_written_again_unchanged() -> None:
    state = read_state(RECORDED[0])
    again = HandoverState(endpoint_list=state.endpoint_list, snapshot=read_snapshot(state.snapshot))
    assert encode_message(again).decode() == load_recording().old[0]


def test_recorded_session_is_read_and_written_again_unchanged() -> None:
    offer = SessionOffer(1, read_session(RECORDED_SESSION))
    assert encoded(offer) == {"number": 1, "session": RECORDED_SESSION}
    assert list(encoded(offer)["session"]) == list(RECORDED_SESSION)


def test_unknown_keys_are_ignored() -> None:
    learned = RECORDED[0]["learned"]
    newer = {
        **learned,
        "new": 1,
        "servers": {id: {**row, "new": 1} for id, row in learned["servers"].items()},
    }
    assert read_snapshot(newer) == read_snapshot(learned)
    assert read_session({**RECORDED_SESSION, "new": 1}) == read_session(RECORDED_SESSION)
    assert read_state({**RECORDED[0], "new": 1}) == read_state(RECORDED[0])
    assert read_message({"descriptors": 3, "new": 1}) == DescriptorCount(3)


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"taken": 3, "by_other": True}, SessionAnswer(3, True)),
        ({"taken": 3}, SessionAnswer(3, False)),
        ({"all": True}, SessionsComplete()),
        ({"number": 1, "all": 1}, SessionsComplete(1)),  # any value means that the sessions are complete
        ({"descriptors": 36}, DescriptorCount(36)),
        ({"number": 2, "session": None}, SessionOffer(2, None)),
        ({"list": {"rev": 1}, "first": True, "source": "h:1"}, ListTransfer({"rev": 1}, True, "h:1")),
        ({"list": {"rev": 1}}, ListTransfer({"rev": 1}, False, "")),
        ({"new": 1}, None),
    ],
)
def test_message_kind_is_identified_by_its_key(fields: dict[str, Any], message: object) -> None:
    assert read_message(fields) == message


@pytest.mark.parametrize("fields", [{"taken": "3"}, {"descriptors": None}, {"session": {}}])
def test_message_with_a_wrong_type_or_without_a_key_is_refused(fields: dict[str, Any]) -> None:
    with pytest.raises(HandoverMessageError):
        read_message(fields)


@pytest.mark.parametrize("line", [b"", b"nonsense", b"[]", b"3", b"\xff"])
def test_line_that_is_not_a_json_object_is_refused(line: bytes) -> None:
    with pytest.raises(HandoverMessageError):
        decode_line(line)


@pytest.mark.parametrize("key", sorted(RECORDED_SESSION))
def test_session_is_refused_without_a_key_unless_the_key_is_optional(key: str) -> None:
    short = {name: value for name, value in RECORDED_SESSION.items() if name != key}
    if key in OPTIONAL_KEYS:
        assert isinstance(read_session(short), SessionTransfer)
        return
    with pytest.raises(HandoverMessageError, match=f"missing required field `{key}`"):
        read_session(short)


@pytest.mark.parametrize("key", ["from_client", "from_peer"])
def test_half_line_that_is_not_bytes_is_refused(key: str) -> None:
    with pytest.raises(HandoverMessageError, match="not bytes"):
        read_session({**RECORDED_SESSION, key: "\u20ac"})
