"""The pages agree with the code: the paths that they quote, the log events and the counters."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path

import pytest

from stepflow.node.runtime.counters import Counters

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "stepflow").rglob("*.py"))
LEVELS = {"debug", "info", "warning", "error", "exception"}
PAGES = ("README.md", "docs/architecture.md", "docs/endings.md", "docs/glossary.md", "docs/reading.md")
QUOTED_PATH = re.compile(r"`((?:stepflow|tests|standins|benchmarks|docs|deploy|example)/[\w./-]*)`")


def relative_path(path: Path) -> str:
    return str(path.relative_to(ROOT))


def logged_events(path: Path) -> Iterator[str]:
    """Yield the constant event texts of a module's log calls."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        logger = node.func.value
        if isinstance(logger, ast.Name) and logger.id == "log" and node.func.attr in LEVELS and node.args:
            text = node.args[0]
            if isinstance(text, ast.Constant) and isinstance(text.value, str):
                yield text.value


def incremented_counters(path: Path) -> Iterator[str]:
    """Yield the counters that a module increments, as in `counters.moved += 1`."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Attribute)):
            continue
        if ast.unparse(node.target.value).endswith("counters"):
            yield node.target.attr


def table_rows(page: str, heading: str) -> set[tuple[str, str]]:
    """Return the first two cells of each row of the table under a heading, without backquotes."""
    section = (ROOT / page).read_text().split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    rows = (line.split("|") for line in section.splitlines() if line.startswith("| `"))
    return {(cells[1].strip().strip("`"), cells[2].strip().strip("`")) for cells in rows}


def test_reading_page_lists_each_log_event_with_its_module() -> None:
    in_code = {(event, relative_path(path)) for path in SOURCES for event in logged_events(path)}
    assert table_rows("docs/reading.md", "From a log line to its code") == in_code


def test_reading_page_lists_each_counter_with_the_modules_that_increment_it() -> None:
    names = {field.name for field in fields(Counters)} - {"classes"}
    in_code = {
        (name, relative_path(path))
        for path in SOURCES
        for name in incremented_counters(path)
        if name in names
    }
    in_code = {(name, module) for name, module in in_code if module.startswith("stepflow/node/")}
    assert table_rows("docs/reading.md", "From a counter to its code") == in_code
    assert {name for name, _ in in_code} == names


@pytest.mark.parametrize("page", PAGES)
def test_each_path_quoted_on_a_page_exists(page: str) -> None:
    quoted = QUOTED_PATH.findall((ROOT / page).read_text())
    assert [path for path in quoted if not (ROOT / path).exists()] == []
