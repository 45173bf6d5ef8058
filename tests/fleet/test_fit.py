"""Fitting a scenario to a trace: recovered parameters, intervals, poor fits and extrapolation."""

from __future__ import annotations

import json
from pathlib import Path

import numpy as np
import pytest

from stepflow.fleet import Trace, convert
from stepflow.fleet.compare import Comparison, Run, Side
from stepflow.fleet.fitting import FitError, fit, scenario_text
from stepflow.fleet.fitting.estimators import exponential_mean, poisson_rate
from stepflow.fleet.policy_specs import policy_factory
from stepflow.fleet.scenario import Day, Fault, Fitted, Scenario, TraceMaximum, read
from stepflow.fleet.simulation import Simulation
from stepflow.fleet.synth import synth
from tests.command_kit import command
from tests.fleet.test_trace import Script

MADE = """
day {
    seconds 40
    servers 6
    nodes 2
    rate 9
    life 25
    groups 30
}
kind fast-3c {
    share 0.5
    cores 3
    speed 1.9..2.1
}
kind old-3c {
    share 0.5
    cores 3
    speed 0.75..0.85
}
class view {
    share 0.6
}
class save-edge {
    share 0.4
    load 5
    life 2
    worth 3
}
class rare {
    share 0
}
"""


@pytest.fixture(scope="module")
def trace(tmp_path_factory: pytest.TempPathFactory) -> Trace:
    folder = tmp_path_factory.mktemp("synth")
    paths = synth(read(MADE, "made"), 3, folder / "journals", policy_factory("present"))
    convert(paths, folder / "trace")
    return Trace(folder / "trace")


def test_a_fit_recovers_the_parameters_that_made_the_trace(trace: Trace) -> None:
    found = fit(trace)
    for name, true in {
        "rate": 9.0,
        "life": 25.0,
        "utilization": 0.5,
        "life of view, s": 25 / 1.4,
        "life of save-edge, s": 50 / 1.4,
        "a load holds, s": 12.0,
    }.items():
        one = found.of(name)
        assert one.low * 0.93 <= true <= one.high * 1.07, one
    view, save = found.classes["view"], found.classes["save-edge"]
    assert save.load[0] / view.load[0] == pytest.approx(5, rel=0.25)
    assert view.swing_sigma == pytest.approx(0.4, rel=0.15) and view.load_sigma == pytest.approx(0.6, rel=0.2)
    assert view.share == pytest.approx(0.6, abs=0.08) and save.worth == 3
    fast, old = found.kinds["fast-3c"], found.kinds["old-3c"]
    assert (fast[2] + fast[3]) / (old[2] + old[3]) == pytest.approx(2.5, rel=0.15)
    assert 0.02 < found.noise < 0.08 and found.servers == 6 and found.nodes == 2


def test_a_fitted_scenario_can_be_played_and_draws_from_its_intervals(trace: Trace) -> None:
    reread = read(scenario_text(fit(trace), "here"), "fitted")
    assert reread.classes["rare"].share == 0  # a class without connections keeps a share of 0
    assert reread.fitted.rate is not None and reread.fitted.rate[0] < reread.day.rate < reread.fitted.rate[1]
    rates = [reread.sampled(seed).day.rate for seed in range(200)]
    low, high = reread.fitted.rate
    assert 0.88 <= np.mean([low <= rate <= high for rate in rates]) <= 0.99
    assert len({Simulation(reread, seed).scenario.day.life for seed in (1, 2)}) == 2
    assert reread.extrapolations(reread.trace_maximum.utilization) == []


def test_a_scenario_beyond_its_trace_is_reported_as_extrapolation() -> None:
    """The trace is that of a calm day, the scenario asks about overload."""
    trace_maximum = TraceMaximum(rate=12.0, utilization=0.5)
    calm = Scenario(Day(rate=10), trace_maximum=trace_maximum)
    assert calm.extrapolations(0.52) == [] and Scenario(Day(rate=99)).extrapolations(9.0) == []
    (burst,) = Scenario(
        Day(rate=10), faults=(Fault("burst", 3, times=2.2),), trace_maximum=trace_maximum
    ).extrapolations(0.52)
    (full,) = calm.extrapolations(0.8)
    assert "22 connections a second" in burst and "0.8 of the fleet's capacity" in full


def test_a_comparison_reports_extrapolation_with_the_scenario_s_name() -> None:
    side = Side("trace {\n utilization 0.5\n}\n", "f", "present")
    rows = [(1, Run({"peak_load": 0.5}), Run({"peak_load": 0.7}))]
    assert Comparison((side, side), 0.95, 2, rows, 2).extrapolations() == [
        "f: up to 0.7 of the fleet's capacity, but the trace reached 0.5 at most"
    ]


def test_the_estimate_of_lives_includes_censored_sessions() -> None:
    """Half of the sessions are still established at the end: the complete lives alone are far too short."""
    rng, hits, complete_means = np.random.default_rng(5), 0, []
    for _ in range(200):
        lives, watched = rng.exponential(50.0, 150), rng.uniform(0, 60, 150)
        ended = lives <= watched
        one = exponential_mean("life", np.minimum(lives, watched), ended, np.full(150, True))
        hits += one.low <= 50 <= one.high
        complete_means.append(lives[ended].mean())
    assert 0.9 <= hits / 200 <= 0.99 and np.mean(complete_means) < 30


def test_lives_that_are_not_exponential_are_flagged_as_a_poor_fit() -> None:
    rng = np.random.default_rng(5)
    all_true, sound = np.full(400, True), 0
    for _ in range(100):
        spans = rng.exponential(10.0, 400)
        sound += not exponential_mean("life", spans, all_true, all_true).flaw
    assert sound >= 93
    assert "not exponential" in exponential_mean("life", rng.uniform(9, 11, 400), all_true, all_true).flaw


def test_a_life_without_observed_ends_has_no_upper_bound() -> None:
    one = exponential_mean("life", np.full(5, 10.0), np.full(5, False), np.full(5, True))
    assert one.events == 0 and not one.known and one.low > 0


def test_a_rate_without_events_has_an_upper_bound() -> None:
    assert poisson_rate("rate", 0, 30.0).low == 0 and poisson_rate("rate", 0, 30.0).high == pytest.approx(
        0.123, abs=0.001
    )


def test_a_trace_of_one_session_is_fitted_in_part_and_an_empty_one_is_an_error(tmp_path: Path) -> None:
    script = Script()
    script.open(1, 100)
    script.up(1, 120)
    script.end(1, 4000)
    found = fit(script.save(tmp_path))
    assert any("loads of" in one for one in found.absent) and any("speeds" in one for one in found.absent)
    reread = read(scenario_text(found, "here"), "f")
    assert reread.fitted == Fitted(rate=reread.fitted.rate, life=reread.fitted.life)
    (tmp_path / "none").mkdir()
    with pytest.raises(FitError, match="contains no connection"):
        fit(Script().save(tmp_path / "none"))


def test_the_commands_from_synth_to_compare_work_in_sequence(tmp_path: Path) -> None:
    day, journals, made = tmp_path / "day.conf", tmp_path / "journals", str(tmp_path / "trace")
    day.write_text("day {\n seconds 15\n servers 4\n nodes 1\n rate 6\n life 10\n}\n")
    assert command("fleet", "synth", str(day), "-o", str(journals), "--seed", "2").returncode == 0
    again = command("fleet", "synth", str(day), "-o", str(journals))
    assert again.returncode == 2 and ": already exists" in again.stderr
    assert command("fleet", "convert", str(journals / "n0"), "-o", made).returncode == 0
    out = str(tmp_path / "fitted.conf")
    fit_run = command("fleet", "fit", made, "-o", out)
    assert (
        fit_run.returncode == 0
        and "rate" in fit_run.stdout
        and command("fleet", "fit", made, "-o", out).returncode == 2
    )
    names = {one["name"] for one in json.loads(command("fleet", "fit", made, "--json").stdout)["estimates"]}
    assert {"rate", "life", "utilization"} <= names
    with open(out, "a") as file:
        file.write("fault burst {\n at 5\n times 9\n}\n")
    done = command("fleet", "compare", "present", "random", "-s", out, "--runs", "2", "--jobs", "2")
    assert done.returncode == 0 and "warning: it extrapolates" in done.stderr
