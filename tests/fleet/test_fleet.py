"""The simulation of the fleet: the server model, random draws, faults, scenarios, and policy comparison."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from stepflow.daemon import FileError
from stepflow.fleet.baselines import RandomChoice
from stepflow.fleet.compare import CompareError, Side, interval, runs_for
from stepflow.fleet.measurements import Measurements, score
from stepflow.fleet.policy_specs import PolicySpecError, policy_factory
from stepflow.fleet.scenario import Class, Day, Fault, Kind, Scenario, read
from stepflow.fleet.servers import SECOND, Server, erlang_c
from stepflow.fleet.simulation import Simulation
from stepflow.fleet.traffic import draw_traffic
from stepflow.interface import (
    Action,
    Event,
    Request,
    SessionReport,
    SessionReportKind,
    Settings,
    StartAttempt,
    Started,
)
from stepflow.policy import Policy, weights
from tests.command_kit import command

SMALL = Scenario(
    Day(seconds=15, warm=2, servers=6, nodes=2, rate=8, life=20, groups=20),
    {"std": Kind(share=0.6, cores=3, speed=(1.5, 2.0)), "old": Kind(share=0.4, cores=3, speed=(0.7, 0.9))},
    {"view": Class(share=0.6), "save": Class(share=0.4, load=(4, 8), worth=3, wait_ms=4800)},
)
TEXT = "day {\n seconds 10\n servers 5\n nodes 2\n rate 6\n life 20\n}\n"


def make_server() -> Server:
    return Server("s", 0, 3, 2.0, 10.0, 0.3, 8.0, max_sessions=100, group_load=0.0, message_s=0.004)


def run_scenario(
    scenario: Scenario, seed: int = 1, policy: object = Policy
) -> tuple[Simulation, Measurements]:
    simulation = Simulation(scenario, seed, policy)  # type: ignore[arg-type]
    return simulation, simulation.run()


@pytest.mark.parametrize(("cores", "rho", "probability"), [(1, 0.7, 0.7), (2, 0.5, 1 / 3), (3, 2 / 3, 4 / 9)])
def test_erlang_c_gives_the_textbook_probabilities(cores: int, rho: float, probability: float) -> None:
    assert erlang_c(cores, rho) == pytest.approx(probability)


def test_demand_above_capacity_builds_a_backlog_that_drains_afterwards() -> None:
    one = make_server()
    one.add_session(1, 90.0)  # demands 9 core-seconds a second of a capacity of 6
    one.advance(2 * SECOND)
    assert one.utilization(2 * SECOND) == 1.5 and one.backlog == pytest.approx(6.0)
    assert one.wait_s(2 * SECOND) == pytest.approx(1.0) and one.share_in_time(2 * SECOND, 0.05) == 0.0
    one.remove_session(1, 90.0)
    assert one.wait_s(3 * SECOND) == 0.0 and one.share_in_time(3 * SECOND, 0.05) == 1.0


def test_capacity_grows_linearly_in_slow_start_and_too_much_load_at_once_overloads_the_server() -> None:
    one = make_server()
    one.started_us = SECOND
    assert [one.capacity_share(at * SECOND) for at in (1, 5, 9)] == pytest.approx([0.3, 0.65, 1.0])
    # The server may be full only at the end of its slow start.
    room = 2.5 * 1.5 * one.capacity(SECOND) * one.load_per_core / one.slow_start_s
    assert not one.is_overloaded_by(SECOND, room * 0.99, 2.5, 1_500_000)
    assert one.is_overloaded_by(SECOND + 1000, room * 0.05, 2.5, 1_500_000)
    assert not one.is_overloaded_by(9 * SECOND, room * 9, 2.5, 1_500_000)  # warm


def test_the_share_of_messages_in_time_never_grows_with_load() -> None:
    shares = []
    for load in range(0, 70, 5):
        one = make_server()
        one.add_session(1, float(load))
        shares.append(one.share_in_time(0, 0.05))
    assert shares == sorted(shares, reverse=True) and shares[0] == 1.0 and shares[-1] == 0.0


def test_a_burst_adds_arrivals_and_leaves_the_draws_of_established_sessions_unchanged() -> None:
    burst = replace(SMALL, faults=(Fault("burst", 5, 4, times=3.0),))
    plain, other = draw_traffic(SMALL, 3), draw_traffic(burst, 3)
    assert len(other.at_us) > len(plain.at_us) and plain.established == other.established
    assert np.array_equal(plain.group[: plain.established], other.group[: plain.established])
    assert np.array_equal(plain.loads[: plain.established], other.loads[: plain.established])


def test_one_seed_gives_equal_scores_and_another_seed_a_different_score() -> None:
    first, second = (score(SMALL, run_scenario(SMALL)[1]) for _ in range(2))
    assert first == second and score(SMALL, run_scenario(SMALL, 2)[1]) != first


def test_clients_are_the_same_for_different_policies() -> None:
    """Policies are compared with common random numbers, so the demand must not depend on the policy."""
    one, other = run_scenario(SMALL)[1], run_scenario(SMALL, policy=RandomChoice)[1]
    assert one.requests == other.requests > 50 and np.array_equal(one.wanted, other.wanted)


FAULTS = [
    Fault("hang", 4, 5, 0.2),
    Fault("restart", 4, 6, 0.99),
    Fault("burst", 4, 4, times=2.2),
    Fault("list-down", 3, 8),
    Fault("drain", 4, 6, 0.2),
    Fault("start", 4, 1, 0.2),
    Fault("crash", 4, 1, 0.2),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.what)
def test_session_counts_loads_and_service_are_consistent_after_each_fault(fault: Fault) -> None:
    simulation, measurements = run_scenario(replace(SMALL, faults=(fault,)))
    established_count = sum(c.established for node in simulation.nodes for c in node.clients.values())
    assert established_count == sum(one.connections for one in simulation.servers) > 0
    for one in simulation.servers:
        held = [
            c for node in simulation.nodes for c in node.clients.values() if c.established and c.server is one
        ]
        assert one.load == pytest.approx(sum(c.load for c in held)) and sum(one.groups.values()) == len(held)
    assert (measurements.served <= measurements.wanted + 1e-9).all() and 0.2 < score(
        SMALL, measurements
    ).service <= 1
    assert all(len(node.clients) < 400 for node in simulation.nodes)


def test_settings_changed_during_a_run_apply_from_then_on() -> None:
    """They apply to all running nodes, as at SIGHUP, and to nodes that start later."""
    changed = replace(
        SMALL,
        faults=(
            Fault("errors", 2, 15, part=1.0, share=1.0),
            Fault("settings", 8, tries=2),
            Fault("restart", 10, 1, 0.5),
        ),
    )
    assert [changed.settings(0, at).limits.max_attempts for at in (0, 7.9, 8, 20)] == [6, 6, 2, 2]

    attempt_counts: list[tuple[int, int]] = []

    class Counting:
        """Counts the attempts of each request, with the time at which the request arrived."""

        def __init__(self) -> None:
            self.requests_seen: dict[tuple[int, int], list[int]] = {}

        def node_started(self, node: int, incarnation: int, settings: Settings) -> None:
            assert settings.limits.max_attempts == (2 if incarnation > 1 else 6)

        def event_handled(self, now: int, node: int, event: Event, actions: list[Action]) -> None:
            if isinstance(event, Request):
                self.requests_seen[node, event.id] = [now, 0]
            for action in actions:
                if isinstance(action, StartAttempt):
                    self.requests_seen[node, action.request_id][1] += 1

        def run_ended(self, now: int, servers: object) -> None:
            attempt_counts.extend((at, count) for at, count in self.requests_seen.values())

    Simulation(changed, 1, RandomChoice, observers=(Counting(),)).run()
    before = [count for at, count in attempt_counts if 3 * SECOND < at < 7 * SECOND]
    after = [count for at, count in attempt_counts if at >= 8 * SECOND]
    assert max(before) > 2 >= max(after) > 0


def test_sessions_of_a_hung_server_report_low_loads_until_it_recovers() -> None:
    simulation = Simulation(replace(SMALL, faults=(Fault("hang", 4, 1.5, 0.2),)), 1)
    result: list[tuple[int, float, float]] = []
    original_handler = simulation.handle_event

    def record_event(node: Any, event: Event) -> None:
        if isinstance(event, SessionReport) and event.kind == SessionReportKind.LOAD:
            client = node.clients[event.request_id]
            result.append((simulation.now, event.value, client.load * 1000))
        original_handler(node, event)

    simulation.handle_event = record_event  # type: ignore[method-assign]
    simulation.run()
    low = [at for at, value, load in result if value < 0.2 * load]
    assert low and min(low) >= 4 * SECOND and max(low) < 5.5 * SECOND


def test_a_class_without_sessions_does_not_count_as_the_worst_class() -> None:
    rare = replace(SMALL, classes={"view": Class(share=1.0), "never": Class(share=0.0)})
    assert score(rare, run_scenario(rare)[1]).worst_class > 0.5


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("day {\n hours 3\n}", "f:2: day.hours: no such directive"),
        ("day {\n rate 3..4\n}", "f:2: day.rate: '3..4' is not a valid value"),
        ("kind a {\n speed 2..1\n}", "f:2: kind.speed: '2..1' is not a valid value"),
        ("kind a {\n speed 1..2..3\n}", "f:2: kind.speed: '1..2..3' is not a valid value"),
        ("day {\n servers 2.5\n}", "f:2: day.servers: '2.5' is not a valid value"),
        ("day {\n rate nan\n}", "f:2: day.rate: 'nan' is not a valid value"),
        ("fault flood {\n at 3\n}", "f:1: fault: unknown fault 'flood', expected one of hang"),
        ("fault hang {\n}", "f:1: fault hang: at: required directive is missing"),
        ("class a {\n}\nclass a {\n}", "f:3: class a: duplicate directive"),
        ("day big {\n}", "f:1: day: expected one of the blocks"),
    ],
)
def test_an_invalid_scenario_raises_an_error_that_names_the_line(text: str, message: str) -> None:
    with pytest.raises(FileError) as fault:
        read(text, "f")
    assert str(fault.value).startswith(message)


def test_values_of_a_scenario_are_read_and_others_keep_their_defaults() -> None:
    result = read("kind old {\n speed 0.7..0.9\n}\nfault hang {\n at 3\n part 0.5\n}", "f")
    assert result.kinds["old"].speed == (0.7, 0.9) and result.faults == (Fault("hang", 3.0, part=0.5),)
    assert result.day == Day() and result.classes == Scenario().classes


@pytest.mark.parametrize("spec", ["KP=0.1", "present,KP=0.1,KI=0", "random", "present"])
def test_a_valid_policy_spec_gives_a_policy_with_the_constants_it_sets(spec: str) -> None:
    instance: Any = policy_factory(spec)(SMALL.settings(), 1)
    assert instance.handle(0, Started())
    if "KP" in spec:
        assert vars(sys.modules[type(instance.weights).__module__])["KP"] == 0.1 != weights.KP


@pytest.mark.parametrize(
    "spec", ["best", "NONE=1", "KP=high", "random,KP=1", "rev:", "rev:no-such", "rev:-h"]
)
def test_an_invalid_policy_spec_is_rejected(spec: str) -> None:
    with pytest.raises(PolicySpecError, match=spec.split(",")[0].replace("-", ".")):
        policy_factory(spec)


def test_an_interval_contains_the_true_mean_at_its_confidence_level() -> None:
    """The runs are made in two stages: the first ones determine how many are needed in total."""
    rng, covered = np.random.default_rng(7), 0
    for _ in range(400):
        first = list(rng.normal(1.0, 2.0, 10))
        more = runs_for(first, 1.5, 0.95) - len(first)
        found = interval(first + list(rng.normal(1.0, 2.0, more)), 0.95, 10)
        assert found.high - found.low <= 1.5 + 1e-9
        covered += found.low <= 1.0 <= found.high
    assert 0.92 <= covered / 400 <= 0.985
    with pytest.raises(CompareError):
        interval([1.0], 0.95)


def test_runs_of_one_seed_differ_only_by_the_stream_of_the_policies_draws() -> None:
    side = Side(TEXT, "f", "present")
    assert side.play(4, "A") == side.play(4, "A") != side.play(4, "B")


def test_compare_reports_a_difference_and_reports_none_between_equal_policies(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text(TEXT + "kind a {\n}\nkind old {\n speed 0.5..0.6\n}\nfault start {\n at 8\n lasts 1\n}\n")
    out = str(tmp_path / "kept")
    arguments = ("fleet", "compare", "present", "random", "-s", str(path), "--runs", "4", "--jobs", "2")
    result = json.loads(command(*arguments, "--json", "-o", out).stdout)
    # The random policy makes no health checks.
    assert result["runs"] == 4 and result["figures"]["probes"]["high"] < 0
    kept = json.loads(next(Path(out).glob("*.json")).read_text())
    assert kept["seeds"] == [1, 2, 3, 4] and [one["policy"] for one in kept["sides"]] == ["present", "random"]
    same = command("fleet", "compare", "present", "present", "-s", str(path), "--runs", "3", "--jobs", "2")
    assert same.returncode == 0 and "no difference seen" in same.stdout


def test_compare_rejects_an_invalid_scenario_with_the_error_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text("day {\n speed 3\n}\n")
    done = command("fleet", "compare", "present", "random", "-s", str(path))
    assert done.returncode == 2 and f"stepflow: {path}:2: day.speed: no such directive" in done.stderr
