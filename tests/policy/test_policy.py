"""The policy as a module: its events, and the size of its files."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from stepflow import rendezvous
from stepflow.policy import Policy, state
from tests.policy.driver import plain_settings


def test_handling_an_object_that_is_no_event_raises_type_error() -> None:
    with pytest.raises(TypeError, match="not an event"):
        Policy(plain_settings(), 1).handle(0, "hello")  # type: ignore[arg-type]


def test_each_policy_file_is_short_and_listed_in_the_deploy_file() -> None:
    """Each file that holds decisions is short, and the deploy file names it."""
    root = Path(__file__).parents[2]
    files = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    modules = {str(path.relative_to(root)) for path in Path(state.__file__).parent.glob("*.py")}
    assert modules | {str(Path(rendezvous.__file__).relative_to(root))} == set(files)
    lengths = {name: len((root / name).read_text().splitlines()) for name in files}
    assert max(lengths.values()) <= 350, lengths
    lines = [line for name in files for line in (root / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110
