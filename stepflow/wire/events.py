"""Decodes events from records of batches: a code (1 byte), the fields' size (4 bytes), then the fields."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import NamedTuple

from stepflow.interface import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    Request,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    TimerFired,
)
from stepflow.wire.errors import WireError


class EventCode(IntEnum):
    """The code of a record in a batch."""

    PEER_MESSAGE = 10
    ATTEMPT_ENDED = 20
    SESSION_ADOPTED = 30
    TIMER_FIRED = 40
    CLIENT_DISCONNECTED = 50
    SELECT_INSTANCE = 60
    SESSION_REPORT = 70
    HEALTH_CHECK_ENDED = 80
    REQUEST = 90
    ENDPOINT_LIST = 100
    SESSION_ESTABLISHED = 110
    START_INSTANCE = 120
    STOP_INSTANCE = 130


# Flags of a request; other bits are ignored. They are plain integers because every request tests them.
HAS_LOAD = 1
IS_RETRY = 2
IS_MID_FLOW = 8
IS_MIGRATED = 16


class StartInstance(NamedTuple):
    """An instance starts, with this seed and the text of its settings."""

    seed: int
    settings: str


class StopInstance(NamedTuple):
    """An instance was killed."""


Decoded = Event | StartInstance | StopInstance

_HEADER = struct.Struct("<BI")  # code, size of the fields
_U32 = struct.Struct("<I")
_U64 = struct.Struct("<Q")
_REQUEST = struct.Struct("<QHBHIQQQ")  # id, class, flags, tenant, load, expires, idempotency key, group
_ADOPTED = struct.Struct("<QHHQQIQB6s")  # id, class, tenant, key, expires, load, group, flags, endpoint
_ESTABLISHED = struct.Struct("<QI6sH")  # id, latency, endpoint, attempt
_SESSION_REPORT = struct.Struct("<QH6sBf")  # id, attempt, endpoint, kind, value
# Fields: id, endpoint, latency, is final, result, attempt, count of load report values.
_ATTEMPT_ENDED = struct.Struct("<Q6sIBBHB")
_HEALTH_CHECK = struct.Struct("<6sBIB")  # endpoint, result, latency, count of load report values
_LIST = struct.Struct("<IBI")  # version, kind, count of entries
_LIST_ENTRY = struct.Struct("<6sBHHBfQ")  # fields in the order of Endpoint's
_PEER_MESSAGE = struct.Struct("<IH")  # peer, length
_START = struct.Struct("<QI")  # seed, length of the settings

# Compared with the code of each record: a module constant is looked up faster than an enum member.
_SELECT_INSTANCE = int(EventCode.SELECT_INSTANCE)
_NO_INSTANCE = -1


def decode(record_count: int, records: memoryview) -> Iterator[tuple[int, Decoded]]:
    """Yield the events of a batch, each with its instance; skip records of unknown codes.

    Raises:
        WireError: A record is truncated or precedes the first selected instance, or the frame does not end
            with its last counted record.
    """
    offset, instance = 0, _NO_INSTANCE
    for _ in range(record_count):
        if offset + _HEADER.size > len(records):
            raise WireError("frame ends inside a record header")
        code, size = _HEADER.unpack_from(records, offset)
        offset += _HEADER.size
        if offset + size > len(records):
            raise WireError(f"record of code {code} extends past the end of its frame")
        fields = records[offset : offset + size]
        offset += size
        try:
            if code == _SELECT_INSTANCE:
                instance = _U32.unpack_from(fields)[0]
            elif code in _DECODERS:
                if instance == _NO_INSTANCE:
                    raise WireError(f"record of code {code} before an instance was selected")
                yield instance, _DECODERS[code](fields)
        except (struct.error, UnicodeDecodeError) as error:
            raise WireError(f"record of code {code}: {error}") from None
    if offset != len(records):
        raise WireError("frame has bytes after its last record")


def _decode_request(fields: memoryview) -> Request:
    id, class_index, flags, tenant, load, expires_us, key, group = _REQUEST.unpack_from(fields)
    load_hint = float(load) if flags & HAS_LOAD else None
    return Request(id, class_index, expires_us, load_hint, tenant, key, group, *_flag_fields(flags))


def _flag_fields(flags: int) -> tuple[bool, bool, bool]:
    """Return the last fields of a `Request`: `is_retry`, `mid_flow` and `is_migrated`."""
    return bool(flags & IS_RETRY), bool(flags & IS_MID_FLOW), bool(flags & IS_MIGRATED)


def _decode_session_adopted(fields: memoryview) -> SessionAdopted:
    id, class_index, tenant, key, expires_us, load, group, flags, endpoint = _ADOPTED.unpack_from(fields)
    load_hint = float(load) if flags & HAS_LOAD else None
    request = Request(id, class_index, expires_us, load_hint, tenant, key, group, *_flag_fields(flags))
    return SessionAdopted(request, endpoint)


def _decode_session_established(fields: memoryview) -> SessionEstablished:
    request_id, latency_us, endpoint, attempt = _ESTABLISHED.unpack_from(fields)
    return SessionEstablished(request_id, attempt, endpoint, latency_us)


def _decode_session_report(fields: memoryview) -> SessionReport:
    return SessionReport(*_SESSION_REPORT.unpack_from(fields))


def _decode_attempt_ended(fields: memoryview) -> AttemptEnded:
    request_id, endpoint, latency_us, is_final, result, attempt, count = _ATTEMPT_ENDED.unpack_from(fields)
    report = _decode_load_report(fields, _ATTEMPT_ENDED.size, count)
    return AttemptEnded(request_id, attempt, endpoint, result, is_final != 0, latency_us, report)


def _decode_health_check_ended(fields: memoryview) -> HealthCheckEnded:
    endpoint, result, latency_us, count = _HEALTH_CHECK.unpack_from(fields)
    report = _decode_load_report(fields, _HEALTH_CHECK.size, count)
    return HealthCheckEnded(endpoint, result, latency_us, report)


def _decode_load_report(fields: memoryview, offset: int, count: int) -> tuple[float, ...]:
    return struct.unpack_from(f"<{count}f", fields, offset) if count else ()


def _decode_endpoint_list(fields: memoryview) -> EndpointListUpdate:
    _version, kind, count = _LIST.unpack_from(fields)
    end = _LIST.size + count * _LIST_ENTRY.size
    if len(fields) < end:
        raise WireError(f"endpoint list of {count} entries is truncated")
    entries = _LIST_ENTRY.iter_unpack(fields[_LIST.size : end])
    return EndpointListUpdate(kind, tuple(map(Endpoint._make, entries)))


def _decode_peer_message(fields: memoryview) -> PeerMessageReceived:
    peer, length = _PEER_MESSAGE.unpack_from(fields)
    end = _PEER_MESSAGE.size + length
    if len(fields) < end:
        raise WireError("peer message is truncated")
    return PeerMessageReceived(peer, bytes(fields[_PEER_MESSAGE.size : end]))


def _decode_start_instance(fields: memoryview) -> StartInstance:
    seed, length = _START.unpack_from(fields)
    end = _START.size + length
    if len(fields) < end:
        raise WireError("settings text is truncated")
    return StartInstance(seed, str(fields[_START.size : end], "utf-8"))


_DECODERS: dict[int, Callable[[memoryview], Decoded]] = {
    EventCode.START_INSTANCE: _decode_start_instance,
    EventCode.STOP_INSTANCE: lambda fields: StopInstance(),
    EventCode.REQUEST: _decode_request,
    EventCode.SESSION_ADOPTED: _decode_session_adopted,
    EventCode.SESSION_ESTABLISHED: _decode_session_established,
    EventCode.SESSION_REPORT: _decode_session_report,
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.CLIENT_DISCONNECTED: lambda fields: ClientDisconnected(*_U64.unpack_from(fields)),
    EventCode.TIMER_FIRED: lambda fields: TimerFired(*_U64.unpack_from(fields)),
    EventCode.HEALTH_CHECK_ENDED: _decode_health_check_ended,
    EventCode.ENDPOINT_LIST: _decode_endpoint_list,
    EventCode.PEER_MESSAGE: _decode_peer_message,
}
