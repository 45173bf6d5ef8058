"""Figures of a session: load or delay of messages."""

from __future__ import annotations

import json
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.interface import SessionReportKind
from stepflow.node.upstreams.session_reports import SessionReportClassifier
from stepflow.settings import parse_node_settings
from tests.node_kit import SETTINGS


def reader(load: bool = True, delay: bool = True) -> SessionReportClassifier:
    tree = json.loads(json.dumps(SETTINGS))
    tree["domain"].update(tells_load=load, tells_delay=delay)
    return SessionReportClassifier(parse_node_settings(tree))


LOADS = [8000.0, 30000.0, 11000.0, 4000.0, 20000.0, 9000.0, 900.0, 60000.0]


@pytest.mark.parametrize(("load", "delay", "told"), [(True, False, "LOAD"), (False, True, "DELAY")])
def test_where_one_note_is_told_each_load_x_is_that_one(load: bool, delay: bool, told: str) -> None:
    notes = reader(load, delay)
    values = (20.0, 9000.0, 0.0)
    assert [notes.classify("s-1", timedelta(), value).name for value in values] == [told] * 3


def test_a_delay_of_messages_is_told_from_a_load_by_its_size_and_its_beat() -> None:
    """In a jam of 20 ms, then 900, a connection seemed to ask for next to nothing (herd+mass, seed 3)."""
    notes, at = reader(), timedelta(seconds=100)
    assert {notes.classify("s-1", at, value) for value in LOADS} == {SessionReportKind.LOAD}
    seen = [
        notes.classify("s-1", at + timedelta(seconds=second), value)
        for second, value in ((1, 19.0), (2, 47.0), (3.01, 430.0), (3.5, 900.0), (4, 940.0), (4, 15000.0))
    ]
    delay, load = SessionReportKind.DELAY, SessionReportKind.LOAD
    assert seen == [delay, delay, delay, load, delay, load]  # off the beat, 900 is a small load
    assert notes.classify("s-2", at + timedelta(seconds=5), 940.0) is load  # each peer has a beat of its own
    assert notes.classify("s-1", at + timedelta(seconds=20), 940.0) is load  # and it is forgotten


@given(st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=20))
def test_no_number_that_a_peer_may_send_raises(values: list[float]) -> None:
    notes = reader()
    for i, value in enumerate(values):
        assert notes.classify(f"s-{i % 3}", timedelta(seconds=i), value) in SessionReportKind
