"""Which failures KNOWN-RED.txt allows, and which it does not."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert False\n\n\ndef test_other():\n    assert {other}\n"


def run(folder: Path, lines: str, other: bool = True, red: str = "False") -> tuple[int, str]:
    """Run pytest with this project's conftest on two tests in a new folder; return exit code and output."""
    (folder / "tests").mkdir()
    shutil.copy(Path(__file__).with_name("conftest.py"), folder / "tests")
    (folder / "tests" / "test_it.py").write_text(
        TESTS.format(other=other).replace("assert False", f"assert {red}")
    )
    (folder / "pytest.ini").write_text("[pytest]\n")
    if lines:
        (folder / "KNOWN-RED.txt").write_text(lines)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


LINE = "tests/test_it.py::test_red the peer hangs, issue 30\n"


def test_listed_failure_does_not_fail_the_run_and_is_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, LINE)
    assert code == 0 and "known red: tests/test_it.py::test_red fails" in output and "issue 30" in output


def test_listed_test_that_passes_is_printed_as_passing(tmp_path: Path) -> None:
    code, output = run(tmp_path, LINE, red="True")
    assert code == 0 and "known red: tests/test_it.py::test_red passes" in output


@pytest.mark.parametrize(
    ("lines", "other", "message"),
    [
        ("", True, "1 failed"),
        (LINE, False, "1 failed"),
        (LINE * 4, True, "4 lines, 3 at the most"),
        ("tests/test_it.py::test_red\n", True, "expected a test id, its cause and its issue"),
    ],
)
def test_unlisted_failures_and_invalid_lists_fail_the_run(
    tmp_path: Path, lines: str, other: bool, message: str
) -> None:
    code, output = run(tmp_path, lines, other)
    assert code != 0 and message in output
