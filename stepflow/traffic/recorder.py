"""Turns what the core sees into rows of the journal. It knows no file: it gives whole blocks away."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
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
from stepflow.traffic.journal import VERSION, Kind, block, encode_row, magic

BLOCK_BYTES: Final = 1 << 15  # rows wait until they are so many bytes, or until the next flush
GROUP_BITS: Final = 63  # of a group's hash: a MessagePack integer, and one that columns hold as signed


class Sink(Protocol):
    """Takes blocks, each for the file at hand or, where it begins one, for the next."""

    def put(self, data: bytes, begins: bool) -> bool:
        """False: the block was dropped."""


class Recorder:
    """One instance's rows. Times are microseconds since `began_us`; groups are told as keyed hashes only."""

    def __init__(
        self, sink: Sink, key: str, node: str, now_us: int, settings: Settings, segment: int
    ) -> None:
        self._sink, self._key = sink, key.encode()
        self._segment, self._filled = segment, segment  # bytes: of a file, and in the one at hand
        self._opening = b""  # of the next file: what held before the rows at hand, not behind them
        self._node, self._began = node, now_us
        self._rows, self._count, self._lost = bytearray(), 0, 0
        self._servers: dict[EndpointId, Endpoint] = {}
        self._standing: dict[int, list[Any]] = {}  # by request: class, group, server, load
        self._settings = _settings(settings)
        self._takes: dict[type, Callable[[int, Any], None]] = {
            Request: self._request,
            SessionAdopted: self._adopted,
            SessionEstablished: self._established,
            AttemptEnded: self._outcome,
            ClientDisconnected: self._client_gone,
            SessionReport: self._note,
            EndpointListUpdate: self._server_list,
            HealthCheckEnded: self._probed,
            StartAttempt: self._send,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            MigrateSession: lambda t, a: self._put(Kind.MOVE, t, a.request_id),
        }

    @property
    def standing(self) -> int:
        """Connections that a new file would begin with: no more than the node holds."""
        return len(self._standing)

    def retune(self, now_us: int, settings: Settings) -> None:
        """Take settings: they are told in each file's header, and in a row where they change amid one."""
        told = _settings(settings)
        if told != self._settings:
            self._settings = told
            self._put(Kind.SETTINGS, now_us - self._began, told)

    def known(self, entry: Endpoint) -> None:
        """A server that the list held before the recording began."""
        self._servers[entry.id] = entry

    def stands(self, now_us: int, request: Request, server: EndpointId, load: float | None) -> None:
        """A connection that stood before the recording began."""
        self._adopted(now_us - self._began, SessionAdopted(request._replace(load=load), server))

    def take(self, now_us: int, event: Event, actions: Iterable[Action]) -> None:
        """One event of the module, and what it decided."""
        if not self._opening and self._filled >= self._segment:
            self._opening = magic() + self.opening(now_us)
        t = now_us - self._began
        takes = self._takes.get
        if (tell := takes(type(event))) is not None:
            tell(t, event)
        for action in actions:
            if (tell := takes(type(action))) is not None:
                tell(t, action)
        if len(self._rows) >= BLOCK_BYTES:
            self.flush(now_us)

    def flush(self, now_us: int) -> None:
        """Give the rows away, dropped ones as their number; called now and then."""
        if not self._count and not self._lost:
            return
        rows, count = self._rows, self._count
        if self._lost:
            rows = bytearray(encode_row((Kind.LOST, now_us - self._began, self._lost))) + rows
            count += 1
        data = block(rows, count)
        begins = self._filled >= self._segment
        if begins:
            data = (self._opening or magic() + self.opening(now_us)) + data
        if self._sink.put(data, begins):
            self._filled = len(data) + (0 if begins else self._filled)
            self._lost = 0
        else:
            self._lost += self._count
        self._opening = b""
        self._rows, self._count = bytearray(), 0

    def end(self, now_us: int) -> None:
        """The recording ends in order."""
        self._put(Kind.END, now_us - self._began)
        self.flush(now_us)

    def opening(self, now_us: int) -> bytes:
        """What a new file begins with: its header, the list and what stands."""
        t = now_us - self._began
        header = {"version": VERSION, "node": self._node, "began_us": self._began, **self._settings}
        rows = [encode_row((Kind.HEADER, header))]
        rows.append(
            encode_row((Kind.LIST, t, int(ListUpdateKind.FULL), self._entries(self._servers.values())))
        )
        rows += [encode_row((Kind.STANDING, t, id, *told)) for id, told in self._standing.items() if told[2]]
        return block(b"".join(rows), len(rows))

    def _put(self, kind: Kind, *items: Any) -> None:
        self._rows += encode_row((kind, *items))
        self._count += 1

    def _group(self, group: int) -> int:
        if not group:
            return 0
        digest = blake2b(group.to_bytes(16, "little"), key=self._key, digest_size=8).digest()
        return int.from_bytes(digest, "little") >> (64 - GROUP_BITS) or 1

    def _request(self, t: int, r: Request) -> None:
        group = self._group(r.affinity_group)
        self._standing[r.id] = [r.class_index, group, "", None]
        wait = r.expires_us - t - self._began
        self._put(Kind.REQUEST, t, r.id, r.class_index, group, wait, r.is_retry, r.is_migrated)

    def _adopted(self, t: int, event: SessionAdopted) -> None:
        r = event.request
        told = [r.class_index, self._group(r.affinity_group), str(event.endpoint), r.load]
        self._standing[r.id] = told
        self._put(Kind.STANDING, t, r.id, *told)

    def _send(self, t: int, action: StartAttempt) -> None:
        self._put(Kind.SEND, t, action.request_id, str(action.endpoint), action.timeout_us)

    def _refuse(self, t: int, action: RejectRequest) -> None:
        self._standing.pop(action.request_id, None)
        self._put(Kind.REFUSE, t, action.request_id, action.retry_after_us)

    def _fail(self, t: int, action: FailRequest) -> None:
        self._standing.pop(action.request_id, None)
        self._put(Kind.FAIL, t, action.request_id)

    def _established(self, t: int, event: SessionEstablished) -> None:
        if (told := self._standing.get(event.request_id)) is not None:
            told[2] = str(event.endpoint)
        self._put(Kind.UP, t, event.request_id, event.latency_us)

    def _outcome(self, t: int, event: AttemptEnded) -> None:
        if event.is_final:
            self._standing.pop(event.request_id, None)
        self._put(Kind.OUTCOME, t, event.request_id, int(event.result), event.is_final, event.latency_us)

    def _client_gone(self, t: int, event: ClientDisconnected) -> None:
        self._standing.pop(event.request_id, None)
        self._put(Kind.LEFT, t, event.request_id)

    def _note(self, t: int, event: SessionReport) -> None:
        if event.kind == SessionReportKind.LOAD:
            if (told := self._standing.get(event.request_id)) is not None:
                told[3] = event.value
            self._put(Kind.LOAD, t, event.request_id, event.value)
        else:
            self._put(Kind.DELAY, t, event.request_id, event.value)

    def _server_list(self, t: int, event: EndpointListUpdate) -> None:
        if event.kind == ListUpdateKind.FAILED:
            self._put(Kind.LIST, t, int(event.kind), [])
            return
        if event.kind != ListUpdateKind.DELTA:
            self._servers.clear()
        for entry in event.endpoints:
            if entry.availability == Availability.GONE:
                self._servers.pop(entry.id, None)
            else:
                self._servers[entry.id] = entry
        self._put(Kind.LIST, t, int(event.kind), self._entries(event.endpoints))

    def _probed(self, t: int, event: HealthCheckEnded) -> None:
        self._put(
            Kind.PROBED, t, str(event.endpoint), int(event.result), event.latency_us, list(event.load_report)
        )

    @staticmethod
    def _entries(servers: Iterable[Endpoint]) -> list[list[Any]]:
        return [[str(s.id), s.zone, s.kind, s.cell, s.availability, s.size, s.started_us] for s in servers]


def _settings(settings: Settings) -> Mapping[str, Any]:
    """What a reader needs of the settings."""
    return {
        "zones": settings.zones,
        "kinds": settings.kinds,
        "fields": settings.load_report_fields,
        "balancers": settings.balancers,
        "classes": [
            {
                "name": c.name,
                "aim_us": c.latency_objective_us,
                "deadline_us": c.deadline_us,
                "worth": c.priority_weight,
            }
            for c in settings.classes
        ],
    }
