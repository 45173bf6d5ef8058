"""The simulator's wire: frames and records. It decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator
from typing import BinaryIO, NamedTuple

from stepflow.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointListUpdate,
    Event,
    FailRequest,
    FetchEndpointList,
    HealthCheckEnded,
    LogMessage,
    MigrateSession,
    PeerMessageReceived,
    RejectRequest,
    Request,
    SendPeerMessage,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    TimerFired,
    WatchEndpointList,
)

BATCH_HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
RECORD = struct.Struct("<BI")
MAX_FRAME = 1 << 30

SELECT, BOOT, RETIRE = 60, 120, 130
ORDER, HANDOVER, FLOWING, HEARTBEAT, CLOSED = 90, 30, 110, 70, 20
GONE, TIMER, CHECKED, MEMBERS, MEMO = 50, 40, 80, 100, 10

_U32 = struct.Struct("<I")
_U64 = struct.Struct("<Q")
_ORDER = struct.Struct("<QHBHIQQQ")
_HANDOVER = struct.Struct("<QHHQQIQB6s")
_FLOWING = struct.Struct("<QI6sH")
_HEARTBEAT = struct.Struct("<QH6sBf")
_CLOSED = struct.Struct("<Q6sIBBHB")
_CHECKED = struct.Struct("<6sBIB")
_MEMBERS = struct.Struct("<IBI")
_ROW = struct.Struct("<6sBHHBfQ")  # in the order of Server
_MEMO = struct.Struct("<IH")
_BOOT = struct.Struct("<QI")

_BY = struct.Struct("<BII")
_ROUTE = struct.Struct("<BIQI6s")
_DENY = struct.Struct("<BIQI")
_REQUEST_ONLY = struct.Struct("<BIQ")
_WITHDRAW = struct.Struct("<BIQH")
_ARM = struct.Struct("<BIIQ")
_SERVER_ONLY = struct.Struct("<BI6s")
_TELL = struct.Struct("<BIIH")
_TRACK = struct.Struct("<BIB")
_EMPTY = struct.Struct("<BI")
_TEXT = struct.Struct("<BIH")

HINTED, REPEATED, MID_FLOW, RETURNED = 1, 2, 8, 16


class WireError(Exception):
    """A frame, record or settings text that can't be read."""


class Boot(NamedTuple):
    """A new instance: its seed and the text of its settings."""

    seed: int
    settings: str


class Retire:
    """The instance was killed."""


def _order(body: memoryview) -> Event:
    handle, cls, bits, tenant, effort, expires, key, group = _ORDER.unpack_from(body)
    return Request(
        handle,
        cls,
        expires,
        float(effort) if bits & HINTED else None,
        tenant,
        key,
        group,
        bool(bits & REPEATED),
        bool(bits & MID_FLOW),
        bool(bits & RETURNED),
    )


def _handover(body: memoryview) -> Event:
    handle, cls, tenant, key, expires, effort, group, bits, server = _HANDOVER.unpack_from(body)
    request = Request(
        handle,
        cls,
        expires,
        float(effort) if bits & HINTED else None,
        tenant,
        key,
        group,
        bool(bits & REPEATED),
        bool(bits & MID_FLOW),
        bool(bits & RETURNED),
    )
    return SessionAdopted(request, server)


def _flowing(body: memoryview) -> Event:
    handle, wait, server, attempt = _FLOWING.unpack_from(body)
    return SessionEstablished(handle, attempt, server, wait)


def _heartbeat(body: memoryview) -> Event:
    handle, attempt, server, what, amount = _HEARTBEAT.unpack_from(body)
    return SessionReport(handle, attempt, server, what, amount)


def _report(body: memoryview, at: int, count: int) -> tuple[float, ...]:
    return struct.unpack_from(f"<{count}f", body, at) if count else ()


def _closed(body: memoryview) -> Event:
    handle, server, wait, complete, result, attempt, n = _CLOSED.unpack_from(body)
    report = _report(body, _CLOSED.size, n)
    return AttemptEnded(handle, attempt, server, result, complete != 0, wait, report)


def _checked(body: memoryview) -> Event:
    server, result, wait, n = _CHECKED.unpack_from(body)
    return HealthCheckEnded(server, result, wait, _report(body, _CHECKED.size, n))


def _members(body: memoryview) -> Event:
    _version, form, count = _MEMBERS.unpack_from(body)
    end = _MEMBERS.size + count * _ROW.size
    if len(body) < end:
        raise WireError(f"list of {count} entries is cut short")
    return EndpointListUpdate(form, tuple(map(Endpoint._make, _ROW.iter_unpack(body[_MEMBERS.size : end]))))


def _memo(body: memoryview) -> Event:
    peer, n = _MEMO.unpack_from(body)
    if len(body) < _MEMO.size + n:
        raise WireError("peer message is cut short")
    return PeerMessageReceived(peer, bytes(body[_MEMO.size : _MEMO.size + n]))


def _boot(body: memoryview) -> Boot:
    seed, n = _BOOT.unpack_from(body)
    if len(body) < _BOOT.size + n:
        raise WireError("settings text is cut short")
    return Boot(seed, str(body[_BOOT.size : _BOOT.size + n], "utf-8"))


_DECODERS: dict[int, Callable[[memoryview], Event | Boot | Retire]] = {
    BOOT: _boot,
    RETIRE: lambda body: Retire(),
    ORDER: _order,
    HANDOVER: _handover,
    FLOWING: _flowing,
    HEARTBEAT: _heartbeat,
    CLOSED: _closed,
    GONE: lambda body: ClientDisconnected(_U64.unpack_from(body)[0]),
    TIMER: lambda body: TimerFired(_U64.unpack_from(body)[0]),
    CHECKED: _checked,
    MEMBERS: _members,
    MEMO: _memo,
}


def read_batch(stream: BinaryIO) -> tuple[int, int, memoryview] | None:
    """Read one frame: (clock, record count, records); None where the input ends between frames."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("input ends inside a frame header")
    count, size, clock = BATCH_HEADER.unpack(header)
    if not BATCH_HEADER.size <= size <= MAX_FRAME:
        raise WireError(f"frame of {size} bytes")
    body = stream.read(size - BATCH_HEADER.size)
    if len(body) < size - BATCH_HEADER.size:
        raise WireError("input ends inside a frame")
    return clock, count, memoryview(body)


def decode(count: int, body: memoryview) -> Iterator[tuple[int, Event | Boot | Retire]]:
    """The events of a frame, each with its instance; records of unknown codes are passed over."""
    at, instance = 0, -1
    for _ in range(count):
        if at + RECORD.size > len(body):
            raise WireError("frame ends inside a record header")
        code, size = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + size > len(body):
            raise WireError(f"record of code {code} runs past its frame")
        fields = body[at : at + size]
        at += size
        try:
            if code == SELECT:
                instance = _U32.unpack_from(fields)[0]
            elif code in _DECODERS:
                if instance < 0:
                    raise WireError(f"record of code {code} before any instance was named")
                yield instance, _DECODERS[code](fields)
        except (struct.error, UnicodeDecodeError) as fault:
            raise WireError(f"record of code {code}: {fault}") from None
    if at != len(body):
        raise WireError("frame is longer than its records")


_ENCODERS: dict[type, Callable[..., bytes]] = {
    StartAttempt: lambda a: _ROUTE.pack(10, 18, a.request_id, a.timeout_us, a.endpoint),
    RejectRequest: lambda a: _DENY.pack(20, 12, a.request_id, a.retry_after_us),
    FailRequest: lambda a: _REQUEST_ONLY.pack(30, 8, a.request_id),
    CancelAttempt: lambda a: _WITHDRAW.pack(40, 10, a.request_id, a.attempt),
    MigrateSession: lambda a: _REQUEST_ONLY.pack(130, 8, a.request_id),
    SetTimer: lambda a: _ARM.pack(50, 12, a.delay_us, a.token),
    StartHealthCheck: lambda a: _SERVER_ONLY.pack(60, 6, a.endpoint),
    CloseIdleConnections: lambda a: _SERVER_ONLY.pack(70, 6, a.endpoint),
    SendPeerMessage: lambda a: _TELL.pack(80, 6 + len(a.data), a.peer, len(a.data)) + a.data,
    WatchEndpointList: lambda a: _TRACK.pack(110, 1, a.enabled),
    FetchEndpointList: lambda a: _EMPTY.pack(120, 0),
    LogMessage: lambda a: _text(90, a.text),
}


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return _TEXT.pack(code, 2 + len(data), len(data)) + data


def encode(instance: int, actions: Iterable[Action]) -> list[bytes]:
    """The records for one instance's actions, its address first."""
    return [_BY.pack(140, 4, instance), *(_ENCODERS[type(action)](action) for action in actions)]


def crash(instance: int, text: str) -> list[bytes]:
    """The records that declare an instance's decision code failed."""
    return [_BY.pack(140, 4, instance), _text(100, text)]


def frame(records: list[bytes]) -> bytes:
    """One reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), REPLY_HEADER.size + len(body)) + body
