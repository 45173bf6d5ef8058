"""The command line's interface for scripts: commands, options, defaults and exit codes."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from pathlib import Path

import click
import pytest

from stepflow import cli
from stepflow.cli import main

ROOT = Path(__file__).resolve().parent.parent

HELP = "-h, --help"
JSON = "--json"
RUNS, SEED, JOBS = "--runs INTEGER RANGE", "--seed INTEGER RANGE", "--jobs INTEGER RANGE"
LEVEL = "--level FLOAT RANGE"
OUT = "-o, --out PATH"

USAGES: dict[str, tuple[str, list[str]]] = {
    "": ("[OPTIONS] COMMAND [ARGS]...", ["--version", HELP]),
    "run": ("[OPTIONS]", [HELP]),
    "check": ("[OPTIONS] FILES...", [JSON, HELP]),
    "fleet": ("[OPTIONS] COMMAND [ARGS]...", [HELP]),
    "fleet convert": ("[OPTIONS] SOURCES...", [OUT, HELP]),
    "fleet inspect": ("[OPTIONS] TRACE", [JSON, HELP]),
    "fleet synth": ("[OPTIONS] SCENARIO", [OUT, SEED, "--policy TEXT", HELP]),
    "fleet fit": ("[OPTIONS] TRACE", [OUT, JSON, HELP]),
    "fleet compare": (
        "[OPTIONS] A B",
        [
            "-s, --scenario PATH",
            "--scenario-b PATH",
            RUNS,
            "--width FLOAT RANGE",
            LEVEL,
            SEED,
            JOBS,
            OUT,
            JSON,
            HELP,
        ],
    ),
    "fleet report": ("[OPTIONS] FOLDER", [OUT, HELP]),
    "fleet audit": ("[OPTIONS] SCENARIOS...", [RUNS, SEED, "--policy TEXT", JOBS, JSON, HELP]),
    "fleet replay": ("[OPTIONS] SCENARIO", [RUNS, "--predict INTEGER RANGE", LEVEL, SEED, JSON, HELP]),
}
"""For each command: the rest of its usage line, and its options with their types."""

BOUNDS = {
    "": [],
    "run": [],
    "check": [],
    "fleet": [],
    "fleet convert": ["required"],
    "fleet inspect": [],
    "fleet synth": ["required", "default: 1; x>=0", "default: present"],
    "fleet fit": [],
    "fleet compare": [
        "required",
        "default: 20; 2<=x<=1000",
        "x>=0.0001",
        "default: 0.95; 0.5<=x<=0.999",
        "default: 1; x>=0",
        "1<=x<=256",
    ],
    "fleet report": ["required"],
    "fleet audit": ["default: 5; 1<=x<=1000", "default: 1; x>=0", "default: present", "1<=x<=256"],
    "fleet replay": [
        "default: 3; 1<=x<=100",
        "default: 24; 3<=x<=1000",
        "default: 0.95; 0.5<=x<=0.999",
        "default: 1; x>=0",
    ],
}
"""For each command: the defaults and bounds of its options, in order."""


def help_of(command: str, capsys: pytest.CaptureFixture[str]) -> str:
    assert main([*command.split(), "--help"]) == 0
    return capsys.readouterr().out


@pytest.mark.parametrize("command", USAGES)
def test_command_has_its_arguments_and_options(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    text = help_of(command, capsys)
    usage, options = USAGES[command]
    assert text.splitlines()[0] == " ".join(filter(None, ["Usage: stepflow", command, usage]))
    section = text.partition("\nOptions:\n")[2].partition("\n\n")[0]
    assert re.findall(r"^  (-\S.*?)(?:  .*)?$", section, re.MULTILINE) == options
    flat = re.sub(r"\s+", " ", section)
    assert re.findall(r"\[([^\]]*(?:required|default|x[<>])[^\]]*)\]", flat) == BOUNDS[command]


@pytest.mark.parametrize(
    ("command", "names"),
    [
        ("", ["check", "fleet", "run"]),
        ("fleet", ["audit", "compare", "convert", "fit", "inspect", "replay", "report", "synth"]),
    ],
)
def test_group_has_its_commands(command: str, names: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    section = help_of(command, capsys).partition("\nCommands:\n")[2].partition("\n\n")[0]
    assert re.findall(r"^  (\w\S*)  ", section, re.MULTILINE) == names


def test_help_lists_the_exit_codes(capsys: pytest.CaptureFixture[str]) -> None:
    assert "Exit codes: 0 done, 1 failed, 2 bad input, 130 stopped by Ctrl-C." in help_of("", capsys)


@pytest.mark.parametrize(
    ("words", "code", "message"),
    [
        (["dance"], 2, "No such command 'dance'."),
        (["check"], 2, "Missing argument 'FILES...'."),
        (["run", "x"], 2, "Got unexpected extra argument (x)"),
        (["fleet"], 2, "Usage: stepflow fleet [OPTIONS] COMMAND [ARGS]..."),
        (["fleet", "convert", "."], 2, "Missing option '-o' / '--out'."),
        (["fleet", "compare", "a", "b"], 2, "Missing option '-s' / '--scenario'."),
        (["fleet", "audit", "--runs", "0", "x"], 2, "0 is not in the range 1<=x<=1000."),
        (["fleet", "inspect", "/no/trace"], 2, "stepflow: /no/trace/trace.json: No such file or directory"),
    ],
)
def test_invalid_command_has_its_exit_code_and_message(
    words: list[str], code: int, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(words) == code
    assert message in capsys.readouterr().err


@pytest.mark.parametrize(
    ("error", "code", "message"),
    [
        (
            ModuleNotFoundError(name="pyarrow.parquet"),
            1,
            "stepflow: pyarrow.parquet is missing: pip install 'stepflow[fleet]'\n",
        ),
        (click.exceptions.Abort(), 130, ""),
    ],
)
def test_exception_in_a_command_has_its_exit_code_and_message(
    error: Exception,
    code: int,
    message: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def raises(*words: object, **keywords: object) -> None:
        raise error

    monkeypatch.setattr(cli.stepflow, "main", raises)
    assert main(["check"]) == code
    assert capsys.readouterr().err == message


@pytest.mark.parametrize("words", [[], ["run"]])
def test_node_without_a_configuration_file_exits_with_2(words: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "stepflow", *words],
        capture_output=True,
        text=True,
        timeout=60,
        env={"PYTHONPATH": str(ROOT)},
        cwd=ROOT,
    )
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr == "stepflow: GW_CONFIG is not set\n"


def test_package_has_its_names() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert project["name"] == "stepflow" and list(project["scripts"]) == ["stepflow"]
    assert list(project["optional-dependencies"]) == ["fleet"]
