"""Compares the codec with bytes that were derived by hand from the protocol."""

from __future__ import annotations

import io
import struct

import pytest

from stepflow import wire
from stepflow.interface import (
    ALL_PEERS,
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    Event,
    FailRequest,
    FetchEndpointList,
    HealthCheckEnded,
    Idempotency,
    LogMessage,
    MigrateSession,
    PeerMessageReceived,
    RejectRequest,
    Request,
    RequestClass,
    SendPeerMessage,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SetTimer,
    Settings,
    StartAttempt,
    StartHealthCheck,
    Tenant,
    TimerFired,
    WatchEndpointList,
)
from stepflow.settings import SettingsError, parse_settings

EXAMPLE_BATCH = bytes.fromhex(
    "05000000 6a000000 5a5c800000000000"
    "3c 04000000 03000000"
    "5a 29000000 c4913a5d4c060000 0000 01 0000 e02e0000 da05840000000000 640ad2557c3bf091 107cf3d901648e2b"
    "28 08000000 4d00000000000000"
    "3c 04000000 05000000"
    "32 08000000 192b6f0ec22e0900"
)
REQUEST_ID = 0x064C5D3A91C4
ENDPOINT = bytes.fromhex("0a124a07431f")
OTHER_ENDPOINT = bytes.fromhex("0a9011f26c1f")


def decode_one(text: str) -> Event | wire.StartInstance | wire.StopInstance:
    body = bytes.fromhex("3c 04000000 03000000" + text)
    [(instance, event)] = wire.decode(2, memoryview(body))
    assert instance == 3
    return event


def test_a_batch_of_two_instances_is_decoded() -> None:
    batch = wire.read_batch(io.BytesIO(EXAMPLE_BATCH))
    assert batch is not None
    now, count, body = batch
    assert now == 0x805C5A
    assert list(wire.decode(count, body)) == [
        (3, Request(REQUEST_ID, 0, 0x8405DA, 12000.0, 0, 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10)),
        (3, TimerFired(77)),
        (5, ClientDisconnected(0x92EC20E6F2B19)),
    ]


def test_a_reply_of_two_instances_is_encoded() -> None:
    records = [
        *wire.encode(3, [StartAttempt(REQUEST_ID, ENDPOINT, 80000), SetTimer(500000, 77)]),
        *wire.encode(5, [LogMessage("two servers known")]),
    ]
    assert wire.frame(records) == bytes.fromhex(
        "05000000 5a000000"
        "8c 04000000 03000000"
        "0a 12000000 c4913a5d4c060000 80380100 0a124a07 431f"
        "32 0c000000 20a10700 4d00000000000000"
        "8c 04000000 05000000"
        "5a 13000000 1100 74776f2073657276657273206b6e6f776e"
    )


def test_an_endpoint_list_is_decoded() -> None:
    event = decode_one(
        "64 39000000 29000000 02 02000000"
        "0a124a07 431f 00 0000 0000 00 0000803f 0000000000000000"
        "0a9011f2 6c1f 01 0000 0000 00 0000c03f 20145d0000000000"
    )
    assert event == EndpointListUpdate(
        2, (Endpoint(ENDPOINT, 0, 0, 0, 0, 1.0, 0), Endpoint(OTHER_ENDPOINT, 1, 0, 0, 0, 1.5, 0x5D1420))
    )


def test_an_adopted_session_is_decoded() -> None:
    event = decode_one(
        "1e 2f000000 192b6f0ec22e0900 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000"
        "107cf3d901648e2b 01 0a9011f2 6c1f"
    )
    request = Request(0x92EC20E6F2B19, 0, 0x8405DA, 12000.0, 0, 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10)
    assert event == SessionAdopted(request, OTHER_ENDPOINT)


@pytest.mark.parametrize(
    ("record", "event"),
    [
        (
            "6e 14000000 c4913a5d4c060000 22240000 0a124a07 431f 0000",
            SessionEstablished(REQUEST_ID, 0, ENDPOINT, 0x2422),
        ),
        (
            "46 15000000 c4913a5d4c060000 0000 0a124a07 431f 01 0000003f",
            SessionReport(REQUEST_ID, 0, ENDPOINT, 1, 0.5),
        ),
        (
            "14 17000000 c4913a5d4c060000 0a124a07 431f 44480000 01 00 0000 00",
            AttemptEnded(REQUEST_ID, 0, ENDPOINT, 0, True, 0x4844),
        ),
        ("0a 0a000000 02000000 0400 68692037", PeerMessageReceived(2, b"hi 7")),
    ],
)
def test_session_attempt_and_peer_events_are_decoded(record: str, event: Event) -> None:
    assert decode_one(record) == event


def test_a_health_check_with_a_load_report_is_decoded() -> None:
    report = decode_one("50 1c000000 0a9011f2 6c1f 00 78050000 04 cdcccc3e 0000003f 00000c43 52b81e3f")
    assert isinstance(report, HealthCheckEnded)
    assert report[:3] == (OTHER_ENDPOINT, 0, 1400)
    assert report.load_report == pytest.approx((0.4, 0.5, 140.0, 0.62), abs=1e-6)


def test_a_load_hint_is_decoded_only_if_its_flag_is_set() -> None:
    event = decode_one(
        "5a 29000000 0100000000000000 0000 1a 0000 e02e0000 da058400000000000000000000000000 0000000000000000"
    )
    assert event == Request(1, 0, 0x8405DA, None, 0, 0, 0, True, True, True)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (CancelAttempt(REQUEST_ID, 0), "28 0a000000 c4913a5d4c060000 0000"),
        (RejectRequest(0x92EC20E6F2B19, 250000), "14 0c000000 192b6f0ec22e0900 90d00300"),
        (FailRequest(0x92EC20E6F2B19), "1e 08000000 192b6f0ec22e0900"),
        (MigrateSession(0x92EC20E6F2B19), "82 08000000 192b6f0ec22e0900"),
        (StartHealthCheck(OTHER_ENDPOINT), "3c 06000000 0a9011f2 6c1f"),
        (CloseIdleConnections(OTHER_ENDPOINT), "46 06000000 0a9011f2 6c1f"),
        (SendPeerMessage(ALL_PEERS, b"hi 7"), "50 0a000000 ffffffff 0400 68692037"),
        (WatchEndpointList(True), "6e 01000000 01"),
        (FetchEndpointList(), "78 00000000"),
    ],
)
def test_actions_are_encoded(action: Action, text: str) -> None:
    assert wire.encode(3, [action]) == [bytes.fromhex("8c 04000000 03000000"), bytes.fromhex(text)]


def test_a_crash_record_is_encoded() -> None:
    assert wire.crash(3, "index out of range")[1] == struct.pack("<BIH", 100, 20, 18) + b"index out of range"


def test_a_record_of_an_unknown_code_is_skipped() -> None:
    body = bytes.fromhex("3c 04000000 03000000 fa 02000000 0102 28 08000000 4d00000000000000")
    assert list(wire.decode(3, memoryview(body))) == [(3, TimerFired(77))]


@pytest.mark.parametrize("data", [EXAMPLE_BATCH[:10], EXAMPLE_BATCH[:40], struct.pack("<IIQ", 0, 3, 0)])
def test_a_truncated_frame_or_an_invalid_frame_size_raises(data: bytes) -> None:
    with pytest.raises(wire.WireError):
        wire.read_batch(io.BytesIO(data))


@pytest.mark.parametrize(
    ("count", "text"),
    [
        (1, "28 08000000 4d00000000000000"),  # no instance selected
        (2, "3c 04000000 03000000 28 04000000 4d000000"),  # fields truncated
        (2, "3c 04000000 03000000 28 ff000000 4d000000"),  # extends past the end of the frame
        (2, "3c 04000000 03000000"),  # a record missing
        (0, "3c 04000000 03000000"),  # a record too many
        (2, "3c 04000000 03000000 64 09000000 01000000 00 05000000"),  # endpoint list truncated
        (2, "3c 04000000 03000000 0a 06000000 02000000 0400"),  # peer message truncated
        (2, "3c 04000000 03000000 78 0c000000 0100000000000000 09000000"),  # settings truncated
    ],
)
def test_a_malformed_record_raises(count: int, text: str) -> None:
    with pytest.raises(wire.WireError):
        list(wire.decode(count, memoryview(bytes.fromhex(text))))


def test_settings_are_parsed_from_the_simulator_s_text() -> None:
    settings = parse_settings(
        "azs=a,b\nclasses.count=1\nclasses.0.aim_us=300000\nclasses.0.effect=by_key\nclasses.0.key_scope=cell\n"
        "classes.0.key_ttl_us=7000\nclasses.0.credit=5.0\ncosts.probe=0.002\ndomain.message_aim_us=60000.0\n"
        "group_size=12\nposition=3\nzone=1\ntenants.count=1\ntenants.0.name=x\ntenants.0.fraction=0.4\n"
        "domain.tenant_quota_connections=null\nreport.fields=x0,utilization\nreport.via=probe\n"
        "discovery=on_request\nweights=live\npolicy_limits.most_tries=4\nsafety.cold_share=0.12\nnew.key=?\n"
    )
    assert settings.zones == ("a", "b")
    assert settings.classes == (
        RequestClass(
            "0", 300_000, 2_000_000, Idempotency.BY_KEY, DeduplicationScope.CELL, 7000, 5.0, 60_000.0
        ),
    )
    assert settings.prices.probe == 0.002
    assert (settings.balancers, settings.position, settings.zone) == (12, 3, 1)
    assert settings.tenants == (Tenant("x", 0.4, 0.0, 0.0),)
    assert settings.load_report_fields == ("x0", "util")
    assert settings.polls_endpoint_list
    assert settings.limits.max_attempts == 4
    assert settings.rules.slow_start_share == 0.12


def test_empty_settings_take_the_defaults() -> None:
    assert parse_settings("") == Settings()


@pytest.mark.parametrize(
    "line", ["costs.probe=cheap", "group_size=0", "policy_limits.probing=yes", "classes.count=nan", "zone=-1"]
)
def test_a_settings_error_names_the_key(line: str) -> None:
    with pytest.raises(SettingsError, match=line.split("=")[0].replace(".", r"\.")):
        parse_settings(line)
    with pytest.raises(SettingsError, match=r"classes\.0\.effect"):
        parse_settings("classes.count=1\nclasses.0.effect=perhaps")
