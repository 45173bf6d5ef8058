"""What holds for all nodes together, between real processes; benchmarks/terms.py plays 20 and 30 of them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from standins.ramp import outage, ramp
from tests.node_kit import SETTINGS

NODES = 5
TOLD = {**SETTINGS, "azs": ["room"]}


@pytest.mark.parametrize(("cold", "killed"), [(2, 0), (2, 3), (7, 0)])
def test_cold_servers_get_no_more_than_the_ramp_and_chance_of_all_processes(
    cold: int, killed: int, tmp_path: Path
) -> None:
    assert 0 < asyncio.run(ramp(tmp_path, NODES, 8, cold, killed, TOLD)) <= 1


def test_the_list_is_had_within_6_s_by_processes_whose_calls_nobody_answered(tmp_path: Path) -> None:
    assert asyncio.run(outage(tmp_path, NODES, 0.05, 7.3, TOLD)) < 6
