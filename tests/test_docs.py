"""The pages speak of the text as it stands: files, names, tests, log events and counters."""

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
PATH = re.compile(r"`((?:stepflow|tests|standins|benchmarks|docs|deploy|example)/[\w./-]*)`")


def name_of(path: Path) -> str:
    return str(path.relative_to(ROOT))


def logged_events(path: Path) -> Iterator[str]:
    """The fixed texts of a module's log calls."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        logger = node.func.value
        if isinstance(logger, ast.Name) and logger.id == "log" and node.func.attr in LEVELS and node.args:
            text = node.args[0]
            if isinstance(text, ast.Constant) and isinstance(text.value, str):
                yield text.value


def counted_names(path: Path) -> Iterator[str]:
    """The counters that a module adds to: assignments like `counters.moved += 1`."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Attribute)):
            continue
        if ast.unparse(node.target.value).endswith("counters"):
            yield node.target.attr


def rows_of(page: str, heading: str) -> set[tuple[str, str]]:
    """The first two cells of each row of the table under a heading, without their backquotes."""
    section = (ROOT / page).read_text().split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    rows = (line.split("|") for line in section.splitlines() if line.startswith("| `"))
    return {(cells[1].strip().strip("`"), cells[2].strip().strip("`")) for cells in rows}


def test_each_log_event_stands_beside_its_module() -> None:
    in_code = {(event, name_of(path)) for path in SOURCES for event in logged_events(path)}
    assert rows_of("docs/reading.md", "From a log line to its code") == in_code


def test_each_counter_stands_beside_the_modules_that_add_to_it() -> None:
    names = {field.name for field in fields(Counters)} - {"classes"}
    in_code = {(name, name_of(path)) for path in SOURCES for name in counted_names(path) if name in names}
    in_code = {(name, module) for name, module in in_code if module.startswith("stepflow/node/")}
    assert rows_of("docs/reading.md", "From a counter to its code") == in_code
    assert {name for name, _ in in_code} == names


@pytest.mark.parametrize("page", PAGES)
def test_each_path_on_a_page_exists(page: str) -> None:
    named = PATH.findall((ROOT / page).read_text())
    assert [path for path in named if not (ROOT / path).exists()] == []
