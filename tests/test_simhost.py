"""The host as a real process: determinism, isolation and bad input."""

from __future__ import annotations

import struct
import subprocess
import sys

SETTINGS = "classes.count=1\nclasses.0.name=a\n"


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def select(who: int) -> bytes:
    return record(60, struct.pack("<I", who))


def boot(who: int, seed: int, settings: str = SETTINGS) -> list[bytes]:
    text = settings.encode()
    rows = b"".join(struct.pack("<IHBHHBfQ", i, 80, 0, 0, 0, 0, 1.0, 0) for i in range(1, 9))
    members = struct.pack("<IBI", 1, 2, 8) + rows
    return [select(who), record(120, struct.pack("<QI", seed, len(text)) + text), record(100, members)]


def order(who: int, request: int, now: int) -> list[bytes]:
    return [select(who), record(90, struct.pack("<QHBHIQQQ", request, 0, 0, 0, 0, now + 2_000_000, 0, 0))]


def batch(now: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), 16 + len(body), now) + body


def host(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "stepflow.simhost"], input=data, capture_output=True, timeout=60, check=False
    )


def replies(data: bytes) -> list[dict[int, list[bytes]]]:
    """Each reply's records by instance."""
    out, at = [], 0
    while at < len(data):
        count, size = struct.unpack_from("<II", data, at)
        end, spot, who = at + size, at + 8, -1
        found: dict[int, list[bytes]] = {}
        for _ in range(count):
            code, length = struct.unpack_from("<BI", data, spot)
            fields = data[spot + 5 : spot + 5 + length]
            spot += 5 + length
            if code == 140:
                who = struct.unpack("<I", fields)[0]
            else:
                found.setdefault(who, []).append(bytes([code]) + fields)
        assert spot == end
        out.append(found)
        at = end
    return out


def day(instances: list[int]) -> bytes:
    now = 5_000_000
    data = batch(now, [r for who in instances for r in boot(who, 1000 + who)])
    for step in range(20):
        now += 50_000
        data += batch(now, [r for who in instances for r in order(who, step * 10 + who, now)])
    return data


def test_same_events_same_actions() -> None:
    first, second = host(day([1, 2])), host(day([1, 2]))
    assert first.returncode == 0
    assert first.stdout == second.stdout
    assert sum(len(r.get(1, [])) for r in replies(first.stdout)) >= 40


def test_instances_share_nothing() -> None:
    together = replies(host(day([1, 2])).stdout)
    alone = replies(host(day([2])).stdout)
    assert [r.get(2) for r in together] == [r.get(2) for r in alone]


def test_end_between_frames() -> None:
    done = host(batch(1, []))
    assert (done.returncode, done.stdout, done.stderr) == (0, struct.pack("<II", 0, 8), b"")


def check_refused(data: bytes, good_replies: int, word: bytes) -> None:
    done = host(data)
    assert done.returncode == 1
    assert len(replies(done.stdout)) == good_replies
    assert done.stderr.count(b"\n") == 1
    assert word in done.stderr


def test_cut_frame() -> None:
    check_refused(batch(1, []) + b"\x01\x00", 1, b"header")
    check_refused(batch(1, []) + batch(2, boot(1, 5))[:-3], 1, b"inside a frame")


def test_event_for_an_instance_never_started() -> None:
    check_refused(batch(1, order(4, 1, 1)), 0, b"instance 4")


def test_event_after_the_instance_was_killed() -> None:
    data = batch(1, boot(4, 9)) + batch(2, [select(4), record(130, b"")])
    assert host(data).returncode == 0
    check_refused(data + batch(3, order(4, 1, 3)), 2, b"instance 4")


def test_an_instance_killed_and_restarted_in_one_batch() -> None:
    data = batch(1, boot(4, 9)) + batch(2, [select(4), record(130, b""), *boot(4, 10), *order(4, 1, 2)])
    done = host(data)
    assert done.returncode == 0
    assert any(r[0] == 10 for r in replies(done.stdout)[1][4])


def test_unreadable_setting() -> None:
    check_refused(batch(1, boot(1, 5, "group_size=many\n")), 0, b"group_size")


def test_an_exception_of_the_policy_is_reported() -> None:
    odd = record(90, struct.pack("<QHBHIQQQ", 1, 77, 0, 0, 0, 9_000_000, 0, 0))  # a class that isn't there
    done = host(batch(1, boot(4, 9)) + batch(2, [select(4), odd]))
    assert done.returncode == 0
    [crash] = replies(done.stdout)[1][4]
    assert crash[0] == 100
    assert b"which the settings lack" in crash
