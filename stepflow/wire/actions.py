"""Encodes actions as records of replies: a code (1 byte), the fields' size (4 bytes), then the fields."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from enum import IntEnum
from functools import partial

from stepflow.interface import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    LogMessage,
    MigrateSession,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpointList,
)

MAX_TEXT_BYTES = 0xFFFF  # longer texts are truncated


class ActionCode(IntEnum):
    """The code of a record in a reply."""

    START_ATTEMPT = 10
    REJECT_REQUEST = 20
    FAIL_REQUEST = 30
    CANCEL_ATTEMPT = 40
    SET_TIMER = 50
    START_HEALTH_CHECK = 60
    CLOSE_IDLE_CONNECTIONS = 70
    SEND_PEER_MESSAGE = 80
    LOG_MESSAGE = 90
    CRASH = 100
    WATCH_ENDPOINT_LIST = 110
    FETCH_ENDPOINT_LIST = 120
    MIGRATE_SESSION = 130
    SELECT_INSTANCE = 140


def _record_packer(code: ActionCode, fields: str) -> Callable[..., bytes]:
    """Return a function that packs fields into a record; `fields` is their format string for `struct`."""
    return partial(struct.Struct("<BI" + fields).pack, int(code), struct.calcsize("<" + fields))


_start_attempt = _record_packer(ActionCode.START_ATTEMPT, "QI6s")
_reject_request = _record_packer(ActionCode.REJECT_REQUEST, "QI")
_fail_request = _record_packer(ActionCode.FAIL_REQUEST, "Q")
_cancel_attempt = _record_packer(ActionCode.CANCEL_ATTEMPT, "QH")
_set_timer = _record_packer(ActionCode.SET_TIMER, "IQ")
_start_health_check = _record_packer(ActionCode.START_HEALTH_CHECK, "6s")
_close_idle_connections = _record_packer(ActionCode.CLOSE_IDLE_CONNECTIONS, "6s")
_watch_endpoint_list = _record_packer(ActionCode.WATCH_ENDPOINT_LIST, "B")
_fetch_endpoint_list = _record_packer(ActionCode.FETCH_ENDPOINT_LIST, "")
_migrate_session = _record_packer(ActionCode.MIGRATE_SESSION, "Q")
_select_instance = _record_packer(ActionCode.SELECT_INSTANCE, "I")

_PEER_MESSAGE = struct.Struct("<BIIH")  # code, size, peer, length; then the message
_TEXT = struct.Struct("<BIH")  # code, size, length; then the text
_LENGTH_BYTES = 2
_PEER_AND_LENGTH_BYTES = 6


def encode(instance: int, actions: Iterable[Action]) -> list[bytes]:
    """Return the records of one instance's actions, after the record that selects the instance."""
    return [_select_instance(instance), *(_ENCODERS[type(action)](action) for action in actions)]


def crash(instance: int, text: str) -> list[bytes]:
    """Return the records that report an exception that an instance's policy raised."""
    return [_select_instance(instance), _text(ActionCode.CRASH, text)]


def _send_peer_message(action: SendPeerMessage) -> bytes:
    length = len(action.data)
    size = _PEER_AND_LENGTH_BYTES + length
    return _PEER_MESSAGE.pack(ActionCode.SEND_PEER_MESSAGE, size, action.peer, length) + action.data


def _text(code: ActionCode, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, _LENGTH_BYTES + len(data), len(data)) + data


_ENCODERS: dict[type, Callable[..., bytes]] = {
    StartAttempt: lambda action: _start_attempt(action.request_id, action.timeout_us, action.endpoint),
    RejectRequest: lambda action: _reject_request(action.request_id, action.retry_after_us),
    FailRequest: lambda action: _fail_request(action.request_id),
    CancelAttempt: lambda action: _cancel_attempt(action.request_id, action.attempt),
    MigrateSession: lambda action: _migrate_session(action.request_id),
    SetTimer: lambda action: _set_timer(action.delay_us, action.token),
    StartHealthCheck: lambda action: _start_health_check(action.endpoint),
    CloseIdleConnections: lambda action: _close_idle_connections(action.endpoint),
    SendPeerMessage: _send_peer_message,
    WatchEndpointList: lambda action: _watch_endpoint_list(action.enabled),
    FetchEndpointList: lambda _: _fetch_endpoint_list(),
    LogMessage: lambda action: _text(ActionCode.LOG_MESSAGE, action.text),
}
