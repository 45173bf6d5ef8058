"""Runs stepflow.simhost as a process: determinism, isolation and malformed input."""

from __future__ import annotations

import struct
import subprocess
import sys

SETTINGS = "classes.count=1\nclasses.0.name=a\n"


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def select(instance: int) -> bytes:
    return record(60, struct.pack("<I", instance))


def start_records(instance: int, seed: int, settings: str = SETTINGS) -> list[bytes]:
    text = settings.encode()
    entries = b"".join(struct.pack("<IHBHHBfQ", i, 80, 0, 0, 0, 0, 1.0, 0) for i in range(1, 9))
    endpoint_list = struct.pack("<IBI", 1, 2, 8) + entries
    return [
        select(instance),
        record(120, struct.pack("<QI", seed, len(text)) + text),
        record(100, endpoint_list),
    ]


def request_records(instance: int, request: int, now: int) -> list[bytes]:
    return [
        select(instance),
        record(90, struct.pack("<QHBHIQQQ", request, 0, 0, 0, 0, now + 2_000_000, 0, 0)),
    ]


def batch(now: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), 16 + len(body), now) + body


def run_host(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "stepflow.simhost"], input=data, capture_output=True, timeout=60, check=False
    )


def replies(data: bytes) -> list[dict[int, list[bytes]]]:
    """Return the records of each reply by instance."""
    parsed, reply_offset = [], 0
    while reply_offset < len(data):
        count, size = struct.unpack_from("<II", data, reply_offset)
        end, offset, instance = reply_offset + size, reply_offset + 8, -1
        records_by_instance: dict[int, list[bytes]] = {}
        for _ in range(count):
            code, length = struct.unpack_from("<BI", data, offset)
            fields = data[offset + 5 : offset + 5 + length]
            offset += 5 + length
            if code == 140:
                instance = struct.unpack("<I", fields)[0]
            else:
                records_by_instance.setdefault(instance, []).append(bytes([code]) + fields)
        assert offset == end
        parsed.append(records_by_instance)
        reply_offset = end
    return parsed


def simulation_input(instances: list[int]) -> bytes:
    now = 5_000_000
    data = batch(now, [r for instance in instances for r in start_records(instance, 1000 + instance)])
    for step in range(20):
        now += 50_000
        data += batch(
            now, [r for instance in instances for r in request_records(instance, step * 10 + instance, now)]
        )
    return data


def test_the_same_events_lead_to_the_same_actions() -> None:
    first, second = run_host(simulation_input([1, 2])), run_host(simulation_input([1, 2]))
    assert first.returncode == 0
    assert first.stdout == second.stdout
    assert sum(len(r.get(1, [])) for r in replies(first.stdout)) >= 40


def test_an_instance_acts_the_same_alone_and_beside_another() -> None:
    together = replies(run_host(simulation_input([1, 2])).stdout)
    alone = replies(run_host(simulation_input([2])).stdout)
    assert [r.get(2) for r in together] == [r.get(2) for r in alone]


def test_input_that_ends_between_frames_ends_the_host_without_an_error() -> None:
    completed = run_host(batch(1, []))
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, struct.pack("<II", 0, 8), b"")


def check_rejected(data: bytes, reply_count: int, error_text: bytes) -> None:
    completed = run_host(data)
    assert completed.returncode == 1
    assert len(replies(completed.stdout)) == reply_count
    assert completed.stderr.count(b"\n") == 1
    assert error_text in completed.stderr


def test_a_truncated_frame_is_rejected() -> None:
    check_rejected(batch(1, []) + b"\x01\x00", 1, b"header")
    check_rejected(batch(1, []) + batch(2, start_records(1, 5))[:-3], 1, b"inside a frame")


def test_an_event_for_an_instance_that_was_never_started_is_rejected() -> None:
    check_rejected(batch(1, request_records(4, 1, 1)), 0, b"instance 4")


def test_an_event_for_a_killed_instance_is_rejected() -> None:
    data = batch(1, start_records(4, 9)) + batch(2, [select(4), record(130, b"")])
    assert run_host(data).returncode == 0
    check_rejected(data + batch(3, request_records(4, 1, 3)), 2, b"instance 4")


def test_an_instance_killed_and_restarted_in_one_batch_starts_attempts() -> None:
    data = batch(1, start_records(4, 9)) + batch(
        2, [select(4), record(130, b""), *start_records(4, 10), *request_records(4, 1, 2)]
    )
    completed = run_host(data)
    assert completed.returncode == 0
    assert any(r[0] == 10 for r in replies(completed.stdout)[1][4])


def test_an_invalid_setting_is_rejected() -> None:
    check_rejected(batch(1, start_records(1, 5, "group_size=many\n")), 0, b"group_size")


def test_an_exception_of_the_policy_is_reported_in_the_reply() -> None:
    # The settings define no class of index 77.
    invalid_request = record(90, struct.pack("<QHBHIQQQ", 1, 77, 0, 0, 0, 9_000_000, 0, 0))
    completed = run_host(batch(1, start_records(4, 9)) + batch(2, [select(4), invalid_request]))
    assert completed.returncode == 0
    [crash] = replies(completed.stdout)[1][4]
    assert crash[0] == 100
    assert b"which the settings lack" in crash
