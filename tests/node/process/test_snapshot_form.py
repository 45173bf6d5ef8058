"""The stored format of a snapshot: each key, with the value that it must hold."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    Availability,
    Endpoint,
    EndpointListUpdate,
    HealthCheckEnded,
    ListUpdateKind,
    Request,
    SessionAdopted,
    SessionEstablished,
    Started,
    TimerFired,
)
from stepflow.node.process.handover_messages import HandoverMessageError, read_snapshot
from stepflow.node.process.snapshot import restore_snapshot, take_snapshot
from stepflow.policy import Policy
from stepflow.settings import parse_node_settings
from tests.handover_kit import load_recording
from tests.node_kit import SETTINGS

SECOND = 1_000_000
TAKEN_AT = 3 * SECOND + 250_000
RESTORED_AT = 40 * SECOND

# The snapshot after the events below, as computed by commit 5fd6943. No two values of an endpoint are equal.
STORED: dict[str, Any] = {
    "loads_told": 2,
    "mean_load": 5.0,
    "class_load": {"view": 4.0, "edit": 6.0},
    "cost_in_means": {"0": 0.04978947368421053, "1": 0.125},
    "servers": {
        "s-1": {
            "cost": 0.07539158495420026,
            "health": 1.0,
            "weight": 1.7438332145444164,
            "error_sum": -0.2021008333014595,
            "last_error": -0.21397166331025574,
            "report_age_us": 1_250_000,
        },
        "s-2": {
            "cost": 0.125,
            "health": 0.3,
            "weight": 0.05,
            "error_sum": 0.5,
            "last_error": 0.6127051581204421,
            "report_age_us": 1_250_000,
        },
        "s-3": {
            "cost": 0.04978947368421053,
            "health": 1.0,
            "weight": 2.5073296749133736,
            "error_sum": -0.38432856029142626,
            "last_error": -0.3987334948101862,
            "report_age_us": -1,
        },
    },
    "wait_us": 135_080.0,
    "probe_wait_us": 425.5,
}


class StoredPolicy:
    """A policy and its snapshot in the stored format; no other code here uses the program's own names."""

    def __init__(self, *classes: str) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        settings["kinds"] = ["k", "fast"]
        settings["classes"] = [{**settings["classes"][0], "name": name} for name in classes]
        self._policy = Policy(parse_node_settings(settings).policy, 1)

    def list_endpoints(self, at_us: int, **kinds: int) -> None:
        """List endpoints (s_1 stands for s-1), each with the number of its kind."""
        ready = Availability.READY
        entries = tuple(
            Endpoint(uid.replace("_", "-"), 0, kind, 0, ready, 1.0 + kind, 0) for uid, kind in kinds.items()
        )
        self._policy.handle(at_us, EndpointListUpdate(ListUpdateKind.DELTA, entries))

    def run_through_events(self) -> None:
        """Handle sessions, load reports, controller steps and a failure, at fixed times."""
        handle, ok = self._policy.handle, AttemptResult.OK
        handle(SECOND, Started())
        self.list_endpoints(SECOND, s_1=0)
        handle(SECOND + 1000, Request(64, 0, 9 * SECOND, load=4.0))
        handle(SECOND + 1500, HealthCheckEnded("s-1", ok, 500, (0.2, 0.0, 0.2)))
        handle(SECOND + 2000, SessionEstablished(64, 0, "s-1", 800))
        self.list_endpoints(SECOND + 3000, s_2=1, s_3=0)
        handle(SECOND + 4000, SessionAdopted(Request(65, 1, 0, load=6.0), "s-2"))
        handle(2 * SECOND, HealthCheckEnded("s-1", ok, 1500, (0.4, 0.0, 0.4)))
        handle(2 * SECOND, HealthCheckEnded("s-2", ok, 2500, (0.9, 0.0, 0.9)))
        handle(2 * SECOND + 500_000, TimerFired(0))
        handle(3 * SECOND, TimerFired(0))
        handle(3 * SECOND + 100, AttemptEnded(65, 0, "s-2", AttemptResult.CONNECT_FAILED, True, 0))

    def take(self, now_us: int) -> Any:
        """Take its snapshot, as the other process reads it."""
        snapshot = take_snapshot(self._policy, now_us)
        return json.loads(json.dumps(msgspec.to_builtins(snapshot, str_keys=True)))

    def restore(self, stored: dict[str, Any], now_us: int) -> None:
        restore_snapshot(self._policy, read_snapshot(stored), now_us)


def successor(*classes: str) -> StoredPolicy:
    """A policy that has learned nothing of the three endpoints of STORED."""
    policy = StoredPolicy(*classes)
    policy.list_endpoints(RESTORED_AT, s_1=0, s_2=1, s_3=0)
    return policy


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Return each value under the path of its keys, such as /servers/s-1/cost."""
    if not isinstance(value, dict):
        return {path: value}
    return {at: leaf for key, item in value.items() for at, leaf in flatten(item, f"{path}/{key}").items()}


def test_snapshot_stores_each_value_under_its_key() -> None:
    policy = StoredPolicy("view", "edit")
    policy.run_through_events()
    stored = policy.take(TAKEN_AT)
    assert list(flatten(stored)) == list(flatten(STORED))  # in this order, too
    assert flatten(stored) == pytest.approx(flatten(STORED), rel=1e-9)
    assert {path: type(leaf) for path, leaf in flatten(stored).items()} == {
        path: type(leaf) for path, leaf in flatten(STORED).items()
    }


def test_restored_snapshot_is_taken_again_unchanged() -> None:
    policy, now = successor("view", "edit"), RESTORED_AT
    assert policy.take(now) != STORED
    policy.restore(STORED, now)
    assert policy.take(now) == STORED


def test_classes_are_matched_by_name() -> None:
    policy, now = successor("edit", "look", "view"), RESTORED_AT
    policy.restore(STORED, now)
    assert policy.take(now) == STORED


# The cost of an endpoint without a report is not restored: it has the cost of its kind.
RESTORED_PATHS = [path for path in flatten(STORED) if path != "/servers/s-3/cost"]


@pytest.mark.parametrize("path", RESTORED_PATHS)
def test_each_key_is_restored_to_its_own_value(path: str) -> None:
    """If one stored value is changed, only this value differs in the new process."""
    changed = json.loads(json.dumps(STORED))
    *parents, key = path.strip("/").split("/")
    holder = changed
    for parent in parents:
        holder = holder[parent]
    holder[key] = holder[key] * 2 if holder[key] != -1 else 5_000
    if path == "/servers/s-3/report_age_us":
        changed["servers"]["s-3"]["cost"] = 0.0625  # with a report, the endpoint has a cost of its own
    policy, now = successor("view", "edit"), RESTORED_AT
    policy.restore(changed, now)
    if path == "/cost_in_means/0":
        changed["servers"]["s-3"]["cost"] = changed["cost_in_means"]["0"]
    assert policy.take(now) == changed


@pytest.mark.parametrize("key", list(STORED))
def test_snapshot_without_a_key_is_refused(key: str) -> None:
    policy, now = successor("view", "edit"), RESTORED_AT
    before = policy.take(now)
    with pytest.raises(HandoverMessageError, match=f"missing required field `{key}`"):
        policy.restore({name: item for name, item in STORED.items() if name != key}, now)
    assert policy.take(now) == before


@pytest.mark.parametrize("key", list(STORED["servers"]["s-1"]))
def test_endpoint_snapshot_without_a_key_is_refused(key: str) -> None:
    policy, now = successor("view", "edit"), RESTORED_AT
    before, broken = policy.take(now), json.loads(json.dumps(STORED))
    del broken["servers"]["s-2"][key]
    with pytest.raises(HandoverMessageError, match=f"missing required field `{key}`"):
        policy.restore(broken, now)
    assert policy.take(now) == before


def test_snapshot_of_commit_5fd6943_is_restored_unchanged() -> None:
    learned = json.loads(load_recording().old[0])["learned"]
    policy, now = StoredPolicy("view"), RESTORED_AT
    policy.list_endpoints(now, s_1=0, s_2=0)
    policy.restore(learned, now)
    learned["servers"]["s-2"]["cost"] = learned["cost_in_means"]["0"]  # no report of it has arrived
    assert policy.take(now) == learned
