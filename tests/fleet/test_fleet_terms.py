"""Guarantees of all nodes together, tested with real processes; benchmarks/terms.py runs 20 and 30 nodes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from standins.ramp import measure_outage, measure_slow_start
from tests.node_kit import SETTINGS

NODES = 5
NODE_SETTINGS = {**SETTINGS, "azs": ["room"]}


@pytest.mark.parametrize(("cold", "killed"), [(2, 0), (2, 3), (7, 0)])
def test_sessions_of_all_nodes_at_cold_endpoints_stay_within_the_slow_start_limit_and_chance(
    cold: int, killed: int, tmp_path: Path
) -> None:
    assert 0 < asyncio.run(measure_slow_start(tmp_path, NODES, 8, cold, killed, NODE_SETTINGS)) <= 1


def test_nodes_with_unanswered_calls_get_the_list_within_6_s_after_discovery_recovers(tmp_path: Path) -> None:
    assert asyncio.run(measure_outage(tmp_path, NODES, 0.05, 7.3, NODE_SETTINGS)) < 6
