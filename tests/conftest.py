"""Checks of the whole test run.

KNOWN-RED.txt lists at most three tests that fail because of a real fault, each with its cause and issue.
Their results don't affect the run, and are printed at its end. Any other failing test fails the run, and so
does a fourth line in the file.

A test that leaves many descriptors open fails.
"""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

MAX_LISTED = 3
MAX_OPEN_DESCRIPTORS = 256  # a quarter of the usual limit of a process
CLOSE_TIMEOUT_S = 10.0


@pytest.fixture(autouse=True)
def descriptors_are_closed() -> Iterator[None]:
    """Guards against tests whose open connections make later tests of the same process fail."""
    yield
    deadline = time.monotonic() + CLOSE_TIMEOUT_S
    while (count := len(os.listdir("/proc/self/fd"))) > MAX_OPEN_DESCRIPTORS:
        assert time.monotonic() < deadline, f"{count} open descriptors, {MAX_OPEN_DESCRIPTORS} allowed"
        gc.collect()
        time.sleep(0.05)


def known_red(root: Path) -> dict[str, str]:
    """Return the listed tests, with the cause and the issue from their lines."""
    path = root / "KNOWN-RED.txt"
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_LISTED:
        raise pytest.UsageError(f"KNOWN-RED.txt has {len(lines)} lines, {MAX_LISTED} at the most")
    tests: dict[str, str] = {}
    for line in lines:
        test, _, cause = line.partition(" ")
        if "::" not in test or len(cause.split()) < 2:
            raise pytest.UsageError(f"KNOWN-RED.txt: expected a test id, its cause and its issue: {line!r}")
        tests[test] = cause.strip()
    return tests


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config.rootpath)
    for item in items:
        if cause := listed.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=f"KNOWN-RED: {cause}", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for outcome, word in (("xfailed", "fails"), ("xpassed", "passes: take its line out of KNOWN-RED.txt")):
        for report in terminalreporter.getreports(outcome):
            if "KNOWN-RED" in str(getattr(report, "wasxfail", "")):
                terminalreporter.write_line(f"known red: {report.nodeid} {word} ({report.wasxfail})")
