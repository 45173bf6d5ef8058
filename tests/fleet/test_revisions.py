"""Policies of other revisions: conversion between their interface and this one, and equal decisions."""

from __future__ import annotations

import subprocess
from collections.abc import Sequence
from pathlib import Path

import pytest

from stepflow import interface
from stepflow.fleet.policy_specs import policy_factory
from stepflow.fleet.private_package import PrivatePackage
from stepflow.fleet.revisions import Converter, RevisionError, RevisionPolicy, align_fields, load_revision
from stepflow.fleet.scenario import Fault, Scenario
from stepflow.fleet.servers import Server
from stepflow.fleet.simulation import Simulation
from stepflow.interface import (
    Action,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    Event,
    Idempotency,
    ListUpdateKind,
    MigrateSession,
    RejectRequest,
    Request,
    RequestClass,
    SafetyRules,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SetTimer,
    Settings,
    StartAttempt,
    StartHealthCheck,
)
from tests.fleet.test_fleet import SMALL

OLDER = "5fd6943"  # the last revision before the interface was renamed
ROOT = Path(__file__).parent.parent.parent


@pytest.fixture(autouse=True)
def require_older_commit() -> None:
    """Fail with a clear reason, instead of git's error, if the clone's history does not contain OLDER."""
    result = subprocess.run(
        ["git", "cat-file", "-t", OLDER], cwd=ROOT, capture_output=True, text=True, check=False
    )
    if result.stdout.strip() != "commit":
        pytest.fail(
            f"this clone lacks commit {OLDER}, which these tests load: clone with the full history "
            f"({result.stderr.strip()})"
        )


class Transcript:
    """All events and actions of the nodes' policies in a run."""

    def __init__(self) -> None:
        self.lines: list[tuple[int, int, Event, tuple[Action, ...]]] = []

    def node_started(self, node: int, incarnation: int, settings: Settings) -> None:
        pass

    def event_handled(self, now: int, node: int, event: Event, actions: list[Action]) -> None:
        self.lines.append((now, node, event, tuple(actions)))

    def run_ended(self, now: int, servers: Sequence[Server]) -> None:
        pass


def transcript(scenario: Scenario, spec: str) -> Transcript:
    found = Transcript()
    Simulation(scenario, 1, policy_factory(spec), observers=(found,)).run()
    return found


@pytest.mark.parametrize(
    "faults",
    [
        (),
        (Fault("hang", 4, 5, 0.2), Fault("settings", 8, tries=2), Fault("restart", 9, 1, 0.5)),
        (Fault("burst", 4, 4, times=2.2), Fault("drain", 5, 6, 0.2), Fault("list-down", 7, 2)),
    ],
    ids=["calm", "hang", "burst"],
)
def test_a_revision_before_the_renaming_makes_the_same_decisions_as_the_present_one(
    faults: tuple[Fault, ...],
) -> None:
    scenario = Scenario(SMALL.day, SMALL.kinds, SMALL.classes, faults)
    older, present = transcript(scenario, f"rev:{OLDER}"), transcript(scenario, "present")
    kinds = {type(action) for *_, actions in present.lines for action in actions}
    assert {StartAttempt, StartHealthCheck, SetTimer} <= kinds
    for line, other in zip(older.lines, present.lines, strict=True):
        assert line == other
        # Named tuples of equal values are equal whatever their types.
        assert [type(action) for action in line[3]] == [type(action) for action in other[3]]


def test_changing_a_constant_of_a_revision_affects_only_that_policy() -> None:
    scenario = Scenario(SMALL.day, SMALL.kinds, SMALL.classes)
    changed, plain = transcript(scenario, f"rev:{OLDER},KP=0.1"), transcript(scenario, f"rev:{OLDER}")
    assert changed.lines != plain.lines
    assert plain.lines == transcript(scenario, "present").lines


def converters() -> tuple[PrivatePackage, Converter, Converter]:
    package, make = load_revision(OLDER)
    policy = make(Settings(), 1)
    assert isinstance(policy, RevisionPolicy)
    return package, policy._to_revision, policy._from_revision


def test_nested_values_are_converted_to_the_fields_at_the_same_position() -> None:
    package, to_revision, from_revision = converters()
    theirs = vars(package.load("interface"))
    request = Request(3, 0, 900, 2.5, 1, 77, 5, True, False, True)
    adopted = to_revision.convert(SessionAdopted(request, "s-1"))
    assert type(adopted) is theirs["Adopted"] and type(adopted.request) is theirs["Request"]
    assert (adopted.server, adopted.request.key, adopted.request.repeated) == ("s-1", 77, True)
    update = to_revision.convert(
        EndpointListUpdate(ListUpdateKind.FULL, (Endpoint("s-1", 0, 1, 2, 0, 1.5, 40),))
    )
    assert type(update.form) is theirs["ListForm"] and type(update.servers[0]) is theirs["Server"]
    assert update.servers[0].started_us == 40
    report = to_revision.convert(SessionReport(3, 0, "s-1", 1, 2.0))
    assert type(report) is theirs["Note"] and report.value == 2.0
    settings = to_revision.convert(
        Settings(
            balancers=3,
            classes=(RequestClass("save", idempotency=Idempotency.BY_KEY, priority_weight=4.0),),
            rules=SafetyRules(slow_start_share=0.4),
            tick_us=77,
        )
    )
    assert settings.classes[0].effect is theirs["Effect"].KEYED and settings.classes[0].worth == 4.0
    assert (settings.balancers, settings.rules.cold_share, settings.tick_us) == (3, 0.4, 77)
    for action in (theirs["Refuse"](3, 50), theirs["Move"](4)):
        assert type(from_revision.convert(action)) in (RejectRequest, MigrateSession)
        assert tuple(from_revision.convert(action)) == tuple(action)
    assert from_revision.convert(theirs["Result"].FULL) is AttemptResult.FULL


def test_every_type_of_the_interface_has_a_counterpart_in_the_older_interface() -> None:
    _, to_revision, _ = converters()
    values = (vars(interface)[name] for name in interface.__all__)
    types = [kind for kind in values if isinstance(kind, type) and kind.__module__.startswith("stepflow.")]
    assert len(types) >= 35 and [kind for kind in types if not to_revision.knows(kind)] == []


@pytest.mark.parametrize(
    ("ours", "theirs", "pairs"),
    [
        ("a b c", "a b c", "aa bb cc"),
        ("a new c", "a old c", "aa newold cc"),
        ("a b c new", "a b c", "aa bb cc"),
        ("a new added c", "a old c", "aa newold cc"),
        ("a new c", "a old gone c", "aa newold cc"),
        ("new c other", "old c former", "newold cc otherformer"),
    ],
)
def test_fields_are_paired_by_name_and_in_between_by_position(ours: str, theirs: str, pairs: str) -> None:
    assert ["".join(pair) for pair in align_fields("Type", ours.split(), theirs.split())] == pairs.split()


def test_fields_in_a_different_order_are_rejected() -> None:
    with pytest.raises(RevisionError, match="field a of Type is at a different position"):
        align_fields("Type", ["b", "a"], ["a", "b"])


@pytest.mark.parametrize("older", ["0863f85", "8a7383b"])
def test_settings_of_the_first_revisions_are_converted_although_fields_were_added_and_removed(
    older: str,
) -> None:
    """These revisions decide differently from the present one, but must serve the scenario as well."""
    found = transcript(Scenario(SMALL.day, SMALL.kinds, SMALL.classes), f"rev:{older}")
    assert sum(isinstance(event, SessionEstablished) for _, _, event, _ in found.lines) > 50
