"""Limits on the lengths of files and functions, and on the number of constructor arguments."""

from __future__ import annotations

import ast
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_FILE_LINES = 350
MAX_FUNCTION_LINES = 40
MAX_CONSTRUCTOR_ARGUMENTS = 6  # not counting self
LONG_FUNCTION_REASON = "Long: "  # precedes the reason in the docstring of a function over the limit

FILES = sorted((ROOT / "stepflow").rglob("*.py"))
Definition = ast.FunctionDef | ast.AsyncFunctionDef


def name_of(path: Path) -> str:
    return str(path.relative_to(ROOT))


def functions_of(path: Path) -> Iterator[tuple[str, Definition]]:
    """Yield each function of a file with its name: the path, the class if any, the function."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        for child in ast.iter_child_nodes(node):
            if isinstance(child, Definition):
                owner = f"{node.name}." if isinstance(node, ast.ClassDef) else ""
                yield f"{name_of(path)}:{owner}{child.name}", child


def is_too_long(function: Definition) -> bool:
    """Whether a function without its docstring exceeds the limit and its docstring gives no reason."""
    docstring = ast.get_docstring(function) or ""
    end = function.end_lineno or function.lineno
    lines = end - function.lineno + 1 - (len(docstring.splitlines()) if docstring else 0)
    return lines > MAX_FUNCTION_LINES and LONG_FUNCTION_REASON not in docstring


def has_too_many_arguments(function: Definition) -> bool:
    """Whether a constructor has more arguments than the limit."""
    arguments = function.args
    count = len(arguments.posonlyargs) + len(arguments.args) + len(arguments.kwonlyargs) - 1
    return function.name == "__init__" and count > MAX_CONSTRUCTOR_ARGUMENTS


def test_no_file_exceeds_the_limit_of_lines() -> None:
    assert [name_of(path) for path in FILES if len(path.read_text().splitlines()) > MAX_FILE_LINES] == []


@pytest.mark.parametrize("check", [is_too_long, has_too_many_arguments])
def test_no_function_exceeds_the_limits_of_length_and_arguments(check: Callable[[Definition], bool]) -> None:
    found = [name for path in FILES for name, function in functions_of(path) if check(function)]
    assert found == []
