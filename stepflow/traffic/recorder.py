"""Turns the policy's events and actions into rows of the journal.

The recorder opens no files: it passes complete blocks to a sink.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final, Protocol

from stepflow.interface import (
    Action,
    AttemptEnded,
    Availability,
    ClientDisconnected,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    FailRequest,
    HealthCheckEnded,
    ListUpdateKind,
    MigrateSession,
    RejectRequest,
    Request,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SessionReportKind,
    Settings,
    StartAttempt,
)
from stepflow.traffic.journal import VERSION, Kind, encode_block, encode_file_head, encode_row

BLOCK_BYTES: Final = 1 << 15  # size at which the waiting rows become a block, if no flush comes first
GROUP_BITS: Final = 63  # bits of a group's hash, so that it fits the signed 64-bit columns of a trace
GROUP_DIGEST_BYTES: Final = 8


class Sink(Protocol):
    """Takes complete blocks, each for the current file or as the first of a new file."""

    def put(self, data: bytes, begins: bool) -> bool:
        """Take a block, into a new file if `begins`. Returns False if the block was dropped."""


@dataclass(slots=True)
class _OpenRequest:
    """An open request; once its session is established, a new file begins with a STANDING row for it."""

    class_index: int
    group: int  # hashed
    endpoint: str = ""  # empty until the session is established
    load: float | None = None

    def items(self) -> tuple[int, int, str, float | None]:
        """The items of a STANDING row after the request's id."""
        return self.class_index, self.group, self.endpoint, self.load


class Recorder:
    """Records the requests, sessions and endpoints of one process of a node.

    Owns the rows that wait for the next block, and the state that a new file begins with: the endpoint list
    and the established sessions. Times are in microseconds since the recording began. Affinity groups are
    recorded as keyed hashes only. After the sink drops blocks, the next block begins with a LOST row that
    holds the number of dropped rows.
    """

    def __init__(
        self, sink: Sink, key: str, node: str, now_us: int, settings: Settings, segment_bytes: int
    ) -> None:
        self._sink, self._key = sink, key.encode()
        self._segment_bytes = segment_bytes  # size of a file at which the next one is begun
        self._file_bytes = segment_bytes  # size of the current file; full, so the first block begins one
        # The start of the next file. It is built before that file's first rows are recorded, because the
        # events of these rows change the endpoint list and the sessions that the start holds.
        self._next_file_start = b""
        self._node, self._began_us = node, now_us
        self._rows, self._row_count, self._lost_count = bytearray(), 0, 0
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._open_requests: dict[int, _OpenRequest] = {}  # open requests by id
        self._settings = _settings_items(settings)
        self._row_writers: dict[type, Callable[[int, Any], None]] = {
            Request: self._add_request,
            SessionAdopted: self._add_adopted,
            SessionEstablished: self._add_established,
            AttemptEnded: self._add_attempt_ended,
            ClientDisconnected: self._add_disconnected,
            SessionReport: self._add_session_report,
            EndpointListUpdate: self._add_list_update,
            HealthCheckEnded: self._add_health_check,
            StartAttempt: self._add_attempt,
            RejectRequest: self._add_rejected,
            FailRequest: self._add_failed,
            MigrateSession: lambda t, action: self._add_row(Kind.MOVE, t, action.request_id),
        }

    def update_settings(self, now_us: int, settings: Settings) -> None:
        """Replace the settings: later headers hold them, and a SETTINGS row marks a change within a file."""
        items = _settings_items(settings)
        if items != self._settings:
            self._settings = items
            self._add_row(Kind.SETTINGS, now_us - self._began_us, items)

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Add an endpoint that was listed before the recording began."""
        self._endpoints[endpoint.id] = endpoint

    def add_session(self, now_us: int, request: Request, endpoint: EndpointId, load: float | None) -> None:
        """Add a session that was established before the recording began."""
        self._add_adopted(now_us - self._began_us, SessionAdopted(request._replace(load=load), endpoint))

    def take(self, now_us: int, event: Event, actions: Iterable[Action]) -> None:
        """Record an event and the actions that the policy returned for it."""
        if not self._next_file_start and self._file_bytes >= self._segment_bytes:
            self._next_file_start = self._file_start(now_us)
        t = now_us - self._began_us
        writer_of = self._row_writers.get
        if (write := writer_of(type(event))) is not None:
            write(t, event)
        for action in actions:
            if (write := writer_of(type(action))) is not None:
                write(t, action)
        if len(self._rows) >= BLOCK_BYTES:
            self.flush(now_us)

    def flush(self, now_us: int) -> None:
        """Pass the waiting rows to the sink as a block. Called at intervals, and when a block is full."""
        if not self._row_count and not self._lost_count:
            return
        rows, count = self._rows, self._row_count
        if self._lost_count:
            lost_row = encode_row((Kind.LOST, now_us - self._began_us, self._lost_count))
            rows, count = bytearray(lost_row) + rows, count + 1
        block = encode_block(rows, count)
        begins = self._file_bytes >= self._segment_bytes
        if begins:
            block = (self._next_file_start or self._file_start(now_us)) + block
        if self._sink.put(block, begins):
            self._file_bytes = len(block) + (0 if begins else self._file_bytes)
            self._lost_count = 0
        else:
            self._lost_count += self._row_count
        self._next_file_start = b""
        self._rows, self._row_count = bytearray(), 0

    def end(self, now_us: int) -> None:
        """Add an END row and flush."""
        self._add_row(Kind.END, now_us - self._began_us)
        self.flush(now_us)

    def _file_start(self, now_us: int) -> bytes:
        """The start of a new file: its head, and a block of the HEADER, LIST and STANDING rows."""
        t = now_us - self._began_us
        header = {"version": VERSION, "node": self._node, "began_us": self._began_us, **self._settings}
        endpoints = _endpoint_items(self._endpoints.values())
        rows = [
            encode_row((Kind.HEADER, header)),
            encode_row((Kind.LIST, t, int(ListUpdateKind.FULL), endpoints)),
        ]
        rows += [
            encode_row((Kind.STANDING, t, request_id, *open_request.items()))
            for request_id, open_request in self._open_requests.items()
            if open_request.endpoint
        ]
        return encode_file_head() + encode_block(b"".join(rows), len(rows))

    def _add_row(self, kind: Kind, *items: Any) -> None:
        self._rows += encode_row((kind, *items))
        self._row_count += 1

    def _hash_group(self, group: int) -> int:
        """The keyed hash of an affinity group; 0 for no group, and never 0 for a group."""
        if not group:
            return 0
        digest = hashlib.blake2b(
            group.to_bytes(16, "little"), key=self._key, digest_size=GROUP_DIGEST_BYTES
        ).digest()
        return int.from_bytes(digest, "little") >> (8 * GROUP_DIGEST_BYTES - GROUP_BITS) or 1

    # Requests.

    def _add_request(self, t: int, request: Request) -> None:
        group = self._hash_group(request.affinity_group)
        self._open_requests[request.id] = _OpenRequest(request.class_index, group)
        self._add_row(
            Kind.REQUEST,
            t,
            request.id,
            request.class_index,
            group,
            request.expires_us - t - self._began_us,
            request.is_retry,
            request.is_migrated,
        )

    def _add_attempt(self, t: int, action: StartAttempt) -> None:
        self._add_row(Kind.SEND, t, action.request_id, str(action.endpoint), action.timeout_us)

    def _add_attempt_ended(self, t: int, event: AttemptEnded) -> None:
        if event.is_final:
            self._open_requests.pop(event.request_id, None)
        self._add_row(Kind.OUTCOME, t, event.request_id, int(event.result), event.is_final, event.latency_us)

    def _add_rejected(self, t: int, action: RejectRequest) -> None:
        self._open_requests.pop(action.request_id, None)
        self._add_row(Kind.REFUSE, t, action.request_id, action.retry_after_us)

    def _add_failed(self, t: int, action: FailRequest) -> None:
        self._open_requests.pop(action.request_id, None)
        self._add_row(Kind.FAIL, t, action.request_id)

    def _add_disconnected(self, t: int, event: ClientDisconnected) -> None:
        self._open_requests.pop(event.request_id, None)
        self._add_row(Kind.LEFT, t, event.request_id)

    # Sessions.

    def _add_established(self, t: int, event: SessionEstablished) -> None:
        if (open_request := self._open_requests.get(event.request_id)) is not None:
            open_request.endpoint = str(event.endpoint)
        self._add_row(Kind.UP, t, event.request_id, event.latency_us)

    def _add_adopted(self, t: int, event: SessionAdopted) -> None:
        request = event.request
        group = self._hash_group(request.affinity_group)
        open_request = _OpenRequest(request.class_index, group, str(event.endpoint), request.load)
        self._open_requests[request.id] = open_request
        self._add_row(Kind.STANDING, t, request.id, *open_request.items())

    def _add_session_report(self, t: int, event: SessionReport) -> None:
        if event.kind != SessionReportKind.LOAD:
            self._add_row(Kind.DELAY, t, event.request_id, event.value)
            return
        if (open_request := self._open_requests.get(event.request_id)) is not None:
            open_request.load = event.value
        self._add_row(Kind.LOAD, t, event.request_id, event.value)

    # Endpoints.

    def _add_list_update(self, t: int, event: EndpointListUpdate) -> None:
        if event.kind == ListUpdateKind.FAILED:
            self._add_row(Kind.LIST, t, int(event.kind), [])
            return
        if event.kind != ListUpdateKind.DELTA:
            self._endpoints.clear()
        for endpoint in event.endpoints:
            if endpoint.availability == Availability.GONE:
                self._endpoints.pop(endpoint.id, None)
            else:
                self._endpoints[endpoint.id] = endpoint
        self._add_row(Kind.LIST, t, int(event.kind), _endpoint_items(event.endpoints))

    def _add_health_check(self, t: int, event: HealthCheckEnded) -> None:
        endpoint, report = str(event.endpoint), list(event.load_report)
        self._add_row(Kind.PROBED, t, endpoint, int(event.result), event.latency_us, report)


def _endpoint_items(endpoints: Iterable[Endpoint]) -> list[list[Any]]:
    """Endpoints as the last item of a LIST row."""
    return [[str(e.id), e.zone, e.kind, e.cell, e.availability, e.size, e.started_us] for e in endpoints]


def _settings_items(settings: Settings) -> Mapping[str, Any]:
    """The settings that a reader of the journal needs, by the header's keys."""
    return {
        "zones": settings.zones,
        "kinds": settings.kinds,
        "fields": settings.load_report_fields,
        "balancers": settings.balancers,
        "classes": [
            {
                "name": request_class.name,
                "aim_us": request_class.latency_objective_us,
                "deadline_us": request_class.deadline_us,
                "worth": request_class.priority_weight,
            }
            for request_class in settings.classes
        ],
    }
