"""The policy as a module: its events, and the size of its files."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from stepflow import rendezvous
from stepflow.policy import Policy, state
from tests.policy.driver import plain_settings


def test_not_an_event() -> None:
    with pytest.raises(TypeError, match="not an event"):
        Policy(plain_settings(), 1).handle(0, "hello")  # type: ignore[arg-type]


def test_module_size() -> None:
    """All files that hold decisions count, and the deploy file names them."""
    root = Path(__file__).parents[2]
    files = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    rooms = {str(path.relative_to(root)) for path in Path(state.__file__).parent.glob("*.py")}
    assert rooms | {str(Path(rendezvous.__file__).relative_to(root))} == set(files)
    lengths = {name: len((root / name).read_text().splitlines()) for name in files}
    assert max(lengths.values()) <= 350, lengths
    lines = [line for name in files for line in (root / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110
