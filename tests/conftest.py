"""KNOWN-RED.txt: tests that fail for a real fault, named with its cause and its issue, three at the most.

They are passed over and told at the end, whatever they did; any other failing test fails the run, and so does
a fourth line.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3


def known_red(root: Path) -> dict[str, str]:
    """The listed tests, with what the line says of them."""
    path = root / "KNOWN-RED.txt"
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt has {len(lines)} lines, {MOST} at the most")
    found: dict[str, str] = {}
    for line in lines:
        test, _, said = line.partition(" ")
        if "::" not in test or len(said.split()) < 2:
            raise pytest.UsageError(f"KNOWN-RED.txt: not a test, its cause and its issue: {line!r}")
        found[test] = said.strip()
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config.rootpath)
    for item in items:
        if said := listed.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=f"KNOWN-RED: {said}", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for outcome, word in (("xfailed", "fails"), ("xpassed", "passes: take its line out of KNOWN-RED.txt")):
        for report in terminalreporter.getreports(outcome):
            if "KNOWN-RED" in str(getattr(report, "wasxfail", "")):
                terminalreporter.write_line(f"known red: {report.nodeid} {word} ({report.wasxfail})")
