"""The model of the fleet: its servers' formula, its draws, its rules, and the comparison of two ways."""

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


def server() -> Server:
    return Server("s", 0, 3, 2.0, 10.0, 0.3, 8.0, max_sessions=100, group_load=0.0, message_s=0.004)


def played(scenario: Scenario, seed: int = 1, policy: object = Policy) -> tuple[Simulation, Measurements]:
    simulation = Simulation(scenario, seed, policy)  # type: ignore[arg-type]
    return simulation, simulation.run()


@pytest.mark.parametrize(("cores", "rho", "chance"), [(1, 0.7, 0.7), (2, 0.5, 1 / 3), (3, 2 / 3, 4 / 9)])
def test_erlang_s_formula_gives_the_textbook_s_chances(cores: int, rho: float, chance: float) -> None:
    assert erlang_c(cores, rho) == pytest.approx(chance)


def test_work_beyond_capacity_piles_up_and_is_worked_off_again() -> None:
    one = server()
    one.add_session(1, 90.0)  # asks for 9 core-seconds a second of 6
    one.advance(2 * SECOND)
    assert one.utilization(2 * SECOND) == 1.5 and one.backlog == pytest.approx(6.0)
    assert one.wait_s(2 * SECOND) == pytest.approx(1.0) and one.share_in_time(2 * SECOND, 0.05) == 0.0
    one.remove_session(1, 90.0)
    assert one.wait_s(3 * SECOND) == 0.0 and one.share_in_time(3 * SECOND, 0.05) == 1.0


def test_a_cold_server_warms_evenly_and_falls_by_what_is_sent_at_once() -> None:
    one = server()
    one.started_us = SECOND
    assert [one.capacity_share(at * SECOND) for at in (1, 5, 9)] == pytest.approx([0.3, 0.65, 1.0])
    room = (
        2.5 * 1.5 * one.capacity(SECOND) * one.load_per_core / one.slow_start_s
    )  # filled no sooner than it is warm
    assert not one.is_overloaded_by(SECOND, room * 0.99, 2.5, 1_500_000)
    assert one.is_overloaded_by(SECOND + 1000, room * 0.05, 2.5, 1_500_000)
    assert not one.is_overloaded_by(9 * SECOND, room * 9, 2.5, 1_500_000)  # warm


def test_more_load_never_brings_more_echoes_in_time() -> None:
    shares = []
    for load in range(0, 70, 5):
        one = server()
        one.add_session(1, float(load))
        shares.append(one.share_in_time(0, 0.05))
    assert shares == sorted(shares, reverse=True) and shares[0] == 1.0 and shares[-1] == 0.0


def test_a_burst_leaves_all_other_draws_as_they_are() -> None:
    burst = replace(SMALL, faults=(Fault("burst", 5, 4, times=3.0),))
    plain, other = draw_traffic(SMALL, 3), draw_traffic(burst, 3)
    assert len(other.at_us) > len(plain.at_us) and plain.established == other.established
    assert np.array_equal(plain.group[: plain.established], other.group[: plain.established])
    assert np.array_equal(plain.loads[: plain.established], other.loads[: plain.established])


def test_a_run_repeats_itself_to_the_last_figure() -> None:
    first, second = (score(SMALL, played(SMALL)[1]) for _ in range(2))
    assert first == second and score(SMALL, played(SMALL, 2)[1]) != first


def test_policies_see_the_same_clients() -> None:
    """Common random numbers: what is asked for differs by what a policy does with it only."""
    one, other = played(SMALL)[1], played(SMALL, policy=RandomChoice)[1]
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
def test_what_the_world_counts_adds_up_through_every_fault(fault: Fault) -> None:
    simulation, measurements = played(replace(SMALL, faults=(fault,)))
    standing = sum(c.established for node in simulation.nodes for c in node.clients.values())
    assert standing == sum(one.connections for one in simulation.servers) > 0
    for one in simulation.servers:
        held = [
            c for node in simulation.nodes for c in node.clients.values() if c.established and c.server is one
        ]
        assert one.load == pytest.approx(sum(c.load for c in held)) and sum(one.groups.values()) == len(held)
    assert (measurements.served <= measurements.wanted + 1e-9).all() and 0.2 < score(
        SMALL, measurements
    ).service <= 1
    assert all(len(node.clients) < 400 for node in simulation.nodes)


def test_a_setting_that_changes_amid_a_run_holds_from_then_on() -> None:
    """At all nodes that run, as at SIGHUP, and at those that start later."""
    changed = replace(
        SMALL,
        faults=(
            Fault("errors", 2, 15, part=1.0, share=1.0),
            Fault("settings", 8, tries=2),
            Fault("restart", 10, 1, 0.5),
        ),
    )
    assert [changed.settings(0, at).limits.max_attempts for at in (0, 7.9, 8, 20)] == [6, 6, 2, 2]

    tries: list[tuple[int, int]] = []

    class Counting:
        """How many attempts each request had, by when it came."""

        def __init__(self) -> None:
            self.came: dict[tuple[int, int], list[int]] = {}

        def node_started(self, node: int, life: int, settings: Settings) -> None:
            assert settings.limits.max_attempts == (2 if life > 1 else 6)

        def event_handled(self, now: int, node: int, event: Event, actions: list[Action]) -> None:
            if isinstance(event, Request):
                self.came[node, event.id] = [now, 0]
            for action in actions:
                if isinstance(action, StartAttempt):
                    self.came[node, action.request_id][1] += 1

        def run_ended(self, now: int, servers: object) -> None:
            tries.extend((at, count) for at, count in self.came.values())

    Simulation(changed, 1, RandomChoice, observers=(Counting(),)).run()
    before = [count for at, count in tries if 3 * SECOND < at < 7 * SECOND]
    after = [count for at, count in tries if at >= 8 * SECOND]
    assert max(before) > 2 >= max(after) > 0


def test_a_hung_server_s_connections_tell_next_to_no_load_until_it_is_back() -> None:
    simulation = Simulation(replace(SMALL, faults=(Fault("hang", 4, 1.5, 0.2),)), 1)
    told: list[tuple[int, float, float]] = []
    feed = simulation.handle_event

    def fed(node: Any, event: Event) -> None:
        if isinstance(event, SessionReport) and event.kind == SessionReportKind.LOAD:
            client = node.clients[event.request_id]
            told.append((simulation.now, event.value, client.load * 1000))
        feed(node, event)

    simulation.handle_event = fed  # type: ignore[method-assign]
    simulation.run()
    low = [at for at, value, load in told if value < 0.2 * load]
    assert low and min(low) >= 4 * SECOND and max(low) < 5.5 * SECOND


def test_a_class_that_is_absent_does_not_count_as_the_worst() -> None:
    rare = replace(SMALL, classes={"view": Class(share=1.0), "never": Class(share=0.0)})
    assert score(rare, played(rare)[1]).worst_class > 0.5


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("day {\n hours 3\n}", "f:2: day.hours: no such directive"),
        ("day {\n rate 3..4\n}", "f:2: day.rate: '3..4' is no such figure"),
        ("kind a {\n speed 2..1\n}", "f:2: kind.speed: '2..1' is no such figure"),
        ("kind a {\n speed 1..2..3\n}", "f:2: kind.speed: '1..2..3' is no such figure"),
        ("day {\n servers 2.5\n}", "f:2: day.servers: '2.5' is no such figure"),
        ("day {\n rate nan\n}", "f:2: day.rate: 'nan' is no such figure"),
        ("fault flood {\n at 3\n}", "f:1: fault: 'flood' is none of hang"),
        ("fault hang {\n}", "f:1: fault hang: at: is missing"),
        ("class a {\n}\nclass a {\n}", "f:3: class a: stands a second time"),
        ("day big {\n}", "f:1: day: a scenario has the blocks"),
    ],
)
def test_a_scenario_that_can_t_be_read_is_named_by_its_line(text: str, said: str) -> None:
    with pytest.raises(FileError) as fault:
        read(text, "f")
    assert str(fault.value).startswith(said)


def test_a_scenario_s_figures_are_taken() -> None:
    told = read("kind old {\n speed 0.7..0.9\n}\nfault hang {\n at 3\n part 0.5\n}", "f")
    assert told.kinds["old"].speed == (0.7, 0.9) and told.faults == (Fault("hang", 3.0, part=0.5),)
    assert told.day == Day() and told.classes == Scenario().classes


@pytest.mark.parametrize("spec", ["KP=0.1", "present,KP=0.1,KI=0", "random", "present"])
def test_a_policy_is_made_by_its_name(spec: str) -> None:
    made: Any = policy_factory(spec)(SMALL.settings(), 1)
    assert made.handle(0, Started())
    if "KP" in spec:
        assert vars(sys.modules[type(made.weights).__module__])["KP"] == 0.1 != weights.KP


@pytest.mark.parametrize(
    "spec", ["best", "NONE=1", "KP=high", "random,KP=1", "rev:", "rev:no-such", "rev:-h"]
)
def test_a_name_that_means_nothing_is_turned_down(spec: str) -> None:
    with pytest.raises(PolicySpecError, match=spec.split(",")[0].replace("-", ".")):
        policy_factory(spec)


def test_an_interval_covers_its_mean_as_often_as_it_says() -> None:
    """Also in two stages, where the number of runs hangs on the first ones."""
    rng, hits = np.random.default_rng(7), 0
    for _ in range(400):
        first = list(rng.normal(1.0, 2.0, 10))
        more = runs_for(first, 1.5, 0.95) - len(first)
        found = interval(first + list(rng.normal(1.0, 2.0, more)), 0.95, 10)
        assert found.high - found.low <= 1.5 + 1e-9
        hits += found.low <= 1.0 <= found.high
    assert 0.92 <= hits / 400 <= 0.985
    with pytest.raises(CompareError):
        interval([1.0], 0.95)


def test_two_sides_differ_by_their_modules_luck_alone() -> None:
    side = Side(TEXT, "f", "present")
    assert side.play(4, "A") == side.play(4, "A") != side.play(4, "B")


def test_compare_tells_a_difference_and_its_absence(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text(TEXT + "kind a {\n}\nkind old {\n speed 0.5..0.6\n}\nfault start {\n at 8\n lasts 1\n}\n")
    out = str(tmp_path / "kept")
    words = ("fleet", "compare", "present", "random", "-s", str(path), "--runs", "4", "--jobs", "2")
    told = json.loads(command(*words, "--json", "-o", out).stdout)
    assert told["runs"] == 4 and told["figures"]["probes"]["high"] < 0  # random choice asks nobody
    kept = json.loads(next(Path(out).glob("*.json")).read_text())
    assert kept["seeds"] == [1, 2, 3, 4] and [one["policy"] for one in kept["sides"]] == ["present", "random"]
    same = command("fleet", "compare", "present", "present", "-s", str(path), "--runs", "3", "--jobs", "2")
    assert same.returncode == 0 and "no difference seen" in same.stdout


def test_compare_turns_bad_input_down_at_once(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text("day {\n speed 3\n}\n")
    done = command("fleet", "compare", "present", "random", "-s", str(path))
    assert done.returncode == 2 and f"stepflow: {path}:2: day.speed: no such directive" in done.stderr
