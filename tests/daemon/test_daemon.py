"""The operator's file and the command line: what they take, and how plainly they turn the rest down."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.daemon import FileError, Log, OperatorFile, Record, parse, read, read_text
from tests.node_kit import Node, Peer, opening

KEY = "0123456789abcdef"


def test_a_whole_file_is_read() -> None:
    told = read_text(
        f"""
        # what the log looks like
        log {{
            form json   # for the collector
        }}
        record {{
            folder "/var/lib/step flow"
            key {KEY}
            segment 64M
            segments 3
        }}
        """,
        "f",
    )
    assert told == OperatorFile(Log(form="json"), Record("/var/lib/step flow", KEY, 64 << 20, 3))


def test_the_file_that_is_shipped_switches_nothing_on() -> None:
    assert read("deploy/stepflow.conf") == OperatorFile()


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("log {\n form yaml\n}", "f:2: log.form: Invalid enum value 'yaml'"),
        ("log {\n color on\n}", "f:2: log.color: no such directive"),
        ("\n\nshout {\n}", "f:3: shout: no such directive"),
        ("log {\n form text\n form json\n}", "f:3: log.form: stands a second time"),
        ("log {\n}\nlog {\n}", "f:3: log: stands a second time"),
        ("log {\n form\n}", "f:2: log.form: takes one value, not 0"),
        ("log json", "f:1: log: not a block"),
        ("log {\n form text", "f:1: log: its block is never closed"),
        ("}", "f:1: '}' without a block"),
        ("{", "f:1: a block without a name"),
        ("log {\n form {\n }\n}", "f:2: form: a block in the block 'log'"),
        ("log { form text }", "f:1: log: a brace amid a line"),
        ('log {\n form "text\n}', "f:2: a quote that is never closed"),
        (f"record {{\n folder x\n key {KEY}\n segment 3T\n}}", "f:4: record.segment: '3T' is not a size"),
        (
            f"record {{\n folder x\n key {KEY}\n segment 1K\n}}",
            "f:4: record.segment: Expected `int` >= 65536",
        ),
        (f"record {{\n folder x\n key {KEY}\n segments no\n}}", "f:4: record.segments: 'no' is not a whole"),
        ("record {\n folder x\n key short\n}", "f:3: record.key: Expected `str` of length >= 16"),
        ("record {\n folder x\n}", "f:1: record: Object missing required field `key`"),
    ],
)
def test_what_is_wrong_is_named_with_its_line(text: str, said: str) -> None:
    with pytest.raises(FileError) as fault:
        read_text(text, "f")
    assert str(fault.value).startswith(said) and "\n" not in str(fault.value)


@given(st.text(alphabet="ab{}#\" \n\t\\'", max_size=60))
def test_no_text_brings_more_than_a_file_error(text: str) -> None:
    try:
        lines = [one.line for one in parse(text, "f")]
    except FileError as fault:
        assert str(fault).startswith("f:")
    else:
        assert lines == sorted(lines)


def command(*words: str, **env: str) -> subprocess.CompletedProcess[str]:
    """Run one command to its end."""
    return subprocess.run(
        [sys.executable, "-m", "stepflow", *words],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **env},
    )


def test_check_names_each_file_that_would_not_be_taken(tmp_path: Path) -> None:
    broken = tmp_path / "broken.conf"
    broken.write_text("log {\n level loud\n}\n")
    done = command("check", "example/config.json", "deploy/stepflow.conf", str(broken))
    assert done.returncode == 2 and done.stdout.count(": ok") == 2
    assert done.stderr.startswith(f"{broken}:2: log.level: ")
    told = [json.loads(line) for line in command("check", "--json", str(broken)).stdout.splitlines()]
    assert [one["ok"] for one in told] == [False] and told[0]["fault"].startswith(f"{broken}:2: ")


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (["--help"], 0, "Usage: stepflow"),
        (["dance"], 2, "No such command 'dance'"),
        (["check"], 2, "Missing"),
    ],
)
def test_the_command_line_helps_and_turns_down(words: list[str], code: int, said: str) -> None:
    done = command(*words)
    assert done.returncode == code and said in done.stdout + done.stderr


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"settings": []}, "settings: Expected `object`, got `array`"),
        ({"settings": {}}, "settings.classes: there is none"),
        ({"name": None}, "name: Expected `str`, got `null`"),
        ({"limits": {"sockets": 8}}, "limits.sockets: Expected `int` >= 64"),
        ({"known": [1]}, "known: Expected `object | null`, got `array`"),
    ],
)
def test_the_platform_s_file_is_held_to_its_form(
    tmp_path: Path, change: dict[str, object], said: str
) -> None:
    """`"settings": []` started a node without any class, and `"name": null` one called None."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads(Path("example/config.json").read_text()), **change}))
    done = command(GW_CONFIG=str(path))
    assert done.returncode == 2 and done.stderr == f"stepflow: {path}: {said}\n"


def test_a_broken_operator_s_file_starts_no_node(tmp_path: Path) -> None:
    path = tmp_path / "op.conf"
    path.write_text("log {\n form\n}\n")
    done = command(GW_CONFIG="example/config.json", STEPFLOW_CONF=str(path))
    assert done.returncode == 2 and done.stderr.endswith(f"{path}:2: log.form: takes one value, not 0\n")


def test_the_log_is_json_where_the_file_says_so_and_text_again_after_a_reload(tmp_path: Path) -> None:
    path = tmp_path / "op.conf"
    path.write_text("log {\n form json\n}\n")
    node = Node(Peer("s-1"))
    node.env["STEPFLOW_CONF"] = str(path)
    with node:
        assert node.client(opening()).read() == "UP r1"
        path.write_text("log {\n form yaml\n}\n")
        node.process.send_signal(signal.SIGHUP)
        told = json.loads(node.wait_log("turned down").string)
        assert told["level"] == "warning" and told["fault"].startswith(f"{path}:2: log.form: ")
        path.write_text("log {\n form text\n}\n")
        node.process.send_signal(signal.SIGHUP)
        node.wait_log("level=info event=reloaded ")


def test_the_version_is_told_from_a_checkout_too() -> None:
    """Where the package is not installed the library had no version to find, and ended in a traceback."""
    done = command("--version")
    assert done.returncode == 0 and re.fullmatch(r"stepflow \d+\.\d+\.\d+\n", done.stdout)


def test_a_folder_without_journals_is_bad_input(tmp_path: Path) -> None:
    done = command("fleet", "convert", str(tmp_path), "-o", str(tmp_path / "trace"))
    assert done.returncode == 2 and done.stderr == f"stepflow: {tmp_path}: no journal in it\n"
