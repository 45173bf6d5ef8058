"""The learned figures as they are stored for a successor: each key, with the value that it has to hold."""

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
TOLD_AT = 3 * SECOND + 250_000

# What the events below leave behind, computed by commit 5fd6943. No two figures of a server are equal.
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


class Module:
    """The decision module: the one place here that names what is inside the program."""

    def __init__(self, *classes: str) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        settings["kinds"] = ["k", "fast"]
        settings["classes"] = [{**settings["classes"][0], "name": name} for name in classes]
        self._policy = Policy(parse_node_settings(settings).policy, 1)

    def list_servers(self, at_us: int, **kinds: int) -> None:
        """Servers s-1 and so on, each with the number of its kind."""
        ready = Availability.READY
        entries = tuple(
            Endpoint(uid.replace("_", "-"), 0, kind, 0, ready, 1.0 + kind, 0) for uid, kind in kinds.items()
        )
        self._policy.handle(at_us, EndpointListUpdate(ListUpdateKind.DELTA, entries))

    def run_through_events(self) -> None:
        """Set-ups, reports, controller steps and a failure, at fixed moments."""
        handle, ok = self._policy.handle, AttemptResult.OK
        handle(SECOND, Started())
        self.list_servers(SECOND, s_1=0)
        handle(SECOND + 1000, Request(64, 0, 9 * SECOND, load=4.0))
        handle(SECOND + 1500, HealthCheckEnded("s-1", ok, 500, (0.2, 0.0, 0.2)))
        handle(SECOND + 2000, SessionEstablished(64, 0, "s-1", 800))
        self.list_servers(SECOND + 3000, s_2=1, s_3=0)
        handle(SECOND + 4000, SessionAdopted(Request(65, 1, 0, load=6.0), "s-2"))
        handle(2 * SECOND, HealthCheckEnded("s-1", ok, 1500, (0.4, 0.0, 0.4)))
        handle(2 * SECOND, HealthCheckEnded("s-2", ok, 2500, (0.9, 0.0, 0.9)))
        handle(2 * SECOND + 500_000, TimerFired(0))
        handle(3 * SECOND, TimerFired(0))
        handle(3 * SECOND + 100, AttemptEnded(65, 0, "s-2", AttemptResult.CONNECT_FAILED, True, 0))

    def store(self, now_us: int) -> Any:
        """What it has learned, as the other process reads it."""
        snapshot = take_snapshot(self._policy, now_us)
        return json.loads(json.dumps(msgspec.to_builtins(snapshot, str_keys=True)))

    def take_over(self, stored: dict[str, Any], now_us: int) -> None:
        restore_snapshot(self._policy, read_snapshot(stored), now_us)


def flat(value: Any, path: str = "") -> dict[str, Any]:
    """Each figure under the path of its keys."""
    if not isinstance(value, dict):
        return {path: value}
    return {at: figure for key, item in value.items() for at, figure in flat(item, f"{path}/{key}").items()}


def test_each_figure_is_stored_under_its_key() -> None:
    module = Module("view", "edit")
    module.run_through_events()
    stored = module.store(TOLD_AT)
    assert list(flat(stored)) == list(flat(STORED))  # in this order, too
    assert flat(stored) == pytest.approx(flat(STORED), rel=1e-9)
    assert {path: type(figure) for path, figure in flat(stored).items()} == {
        path: type(figure) for path, figure in flat(STORED).items()
    }


def test_a_new_process_takes_each_figure_over_to_the_same_value() -> None:
    module, now = Module("view", "edit"), 40 * SECOND
    module.list_servers(now, s_1=0, s_2=1, s_3=0)
    assert module.store(now) != STORED
    module.take_over(STORED, now)
    assert module.store(now) == STORED


def test_classes_go_by_name_where_the_two_processes_number_them_apart() -> None:
    module, now = Module("edit", "look", "view"), 40 * SECOND
    module.list_servers(now, s_1=0, s_2=1, s_3=0)
    module.take_over(STORED, now)
    assert module.store(now) == STORED


# The cost of a server without a report is not taken over: it is its kind's.
TAKEN_OVER = [path for path in flat(STORED) if path != "/servers/s-3/cost"]


@pytest.mark.parametrize("path", TAKEN_OVER)
def test_no_figure_is_taken_over_from_another_s_key(path: str) -> None:
    """One stored figure is changed, and this one alone is another in the new process."""
    changed = json.loads(json.dumps(STORED))
    *parents, key = path.strip("/").split("/")
    holder = changed
    for parent in parents:
        holder = holder[parent]
    holder[key] = holder[key] * 2 if holder[key] != -1 else 5_000
    if path == "/servers/s-3/report_age_us":
        changed["servers"]["s-3"]["cost"] = 0.0625  # from now on its own
    module, now = Module("view", "edit"), 40 * SECOND
    module.list_servers(now, s_1=0, s_2=1, s_3=0)
    module.take_over(changed, now)
    if path == "/cost_in_means/0":
        changed["servers"]["s-3"]["cost"] = changed["cost_in_means"]["0"]
    assert module.store(now) == changed


@pytest.mark.parametrize("key", list(STORED))
def test_a_state_without_one_of_its_keys_is_not_taken_over(key: str) -> None:
    module, now = Module("view", "edit"), 40 * SECOND
    module.list_servers(now, s_1=0, s_2=1, s_3=0)
    before = module.store(now)
    with pytest.raises(HandoverMessageError, match=f"missing required field `{key}`"):
        module.take_over({name: item for name, item in STORED.items() if name != key}, now)
    assert module.store(now) == before


@pytest.mark.parametrize("key", list(STORED["servers"]["s-1"]))
def test_a_server_without_one_of_its_keys_is_not_taken_over(key: str) -> None:
    module, now = Module("view", "edit"), 40 * SECOND
    module.list_servers(now, s_1=0, s_2=1, s_3=0)
    before, broken = module.store(now), json.loads(json.dumps(STORED))
    del broken["servers"]["s-2"][key]
    with pytest.raises(HandoverMessageError, match=f"missing required field `{key}`"):
        module.take_over(broken, now)
    assert module.store(now) == before


def test_the_figures_of_commit_5fd6943_are_taken_over_to_the_same_values() -> None:
    told = json.loads(load_recording().old[0])["learned"]
    module, now = Module("view"), 40 * SECOND
    module.list_servers(now, s_1=0, s_2=0)
    module.take_over(told, now)
    told["servers"]["s-2"]["cost"] = told["cost_in_means"]["0"]  # no report has come of it
    assert module.store(now) == told
