"""Fixtures for tests of real nodes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.preload import Machine


@pytest.fixture
def machine(tmp_path: Path) -> Iterator[Machine]:
    """A machine without injected faults; `machine_kit.with_faults` runs a node on it."""
    yield Machine(tmp_path)
