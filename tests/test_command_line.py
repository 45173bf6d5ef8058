"""The command line, and the start of a node with valid and invalid files."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from tests.command_kit import command


def test_check_names_each_invalid_file(tmp_path: Path) -> None:
    broken = tmp_path / "broken.conf"
    broken.write_text("log {\n level loud\n}\n")
    done = command("check", "example/config.json", "deploy/stepflow.conf", str(broken))
    assert done.returncode == 2 and done.stdout.count(": ok") == 2
    assert done.stderr.startswith(f"{broken}:2: log.level: ")
    results = [json.loads(line) for line in command("check", "--json", str(broken)).stdout.splitlines()]
    assert [result["ok"] for result in results] == [False] and results[0]["fault"].startswith(f"{broken}:2: ")


@pytest.mark.parametrize(
    ("words", "code", "message"),
    [
        (["--help"], 0, "Usage: stepflow"),
        (["dance"], 2, "No such command 'dance'"),
        (["check"], 2, "Missing"),
    ],
)
def test_command_line_shows_help_and_usage_errors(words: list[str], code: int, message: str) -> None:
    done = command(*words)
    assert done.returncode == code and message in done.stdout + done.stderr


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"settings": []}, "settings: Expected `object`, got `array`"),
        ({"settings": {}}, "settings.classes: expected at least one class"),
        ({"name": None}, "name: Expected `str`, got `null`"),
        ({"limits": {"sockets": 8}}, "limits.sockets: Expected `int` >= 64"),
        ({"known": [1]}, "known: Expected `object | null`, got `array`"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, change: dict[str, object], message: str
) -> None:
    """Regression: `"settings": []` started a node without classes, and `"name": null` a node named None."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads(Path("example/config.json").read_text()), **change}))
    done = command(GW_CONFIG=str(path))
    assert done.returncode == 2 and done.stderr == f"stepflow: {path}: {message}\n"


def test_invalid_operator_file_prevents_the_start(tmp_path: Path) -> None:
    path = tmp_path / "op.conf"
    path.write_text("log {\n form\n}\n")
    done = command(GW_CONFIG="example/config.json", STEPFLOW_CONF=str(path))
    assert done.returncode == 2 and done.stderr.endswith(f"{path}:2: log.form: takes one value, not 0\n")


def test_version_is_shown_from_a_checkout() -> None:
    """Regression: click found no version of a package that is not installed, and raised an exception."""
    done = command("--version")
    assert done.returncode == 0 and re.fullmatch(r"stepflow \d+\.\d+\.\d+\n", done.stdout)


def test_folder_without_journals_is_an_input_error(tmp_path: Path) -> None:
    done = command("fleet", "convert", str(tmp_path), "-o", str(tmp_path / "trace"))
    assert done.returncode == 2 and done.stderr == f"stepflow: {tmp_path}: contains no journals\n"
