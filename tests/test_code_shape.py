"""The shape of the code: lengths of files and functions, and arguments of constructors."""

from __future__ import annotations

import ast
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_FILE_LINES = 350
MAX_FUNCTION_LINES = 40
MAX_CONSTRUCTOR_ARGUMENTS = 6  # beside self
LONG_FUNCTION_REASON = "Long: "  # in the docstring of a longer function, before its reason

FILES = sorted((ROOT / "stepflow").rglob("*.py"))
Definition = ast.FunctionDef | ast.AsyncFunctionDef


def name_of(path: Path) -> str:
    return str(path.relative_to(ROOT))


def functions_of(path: Path) -> Iterator[tuple[str, Definition]]:
    """Each function of a file by its name there, with that of its class."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        for child in ast.iter_child_nodes(node):
            if isinstance(child, Definition):
                owner = f"{node.name}." if isinstance(node, ast.ClassDef) else ""
                yield f"{name_of(path)}:{owner}{child.name}", child


def is_long(function: Definition) -> bool:
    """Whether a function is over the limit, less its docstring, which gives no reason for that."""
    docstring = ast.get_docstring(function) or ""
    end = function.end_lineno or function.lineno
    lines = end - function.lineno + 1 - (len(docstring.splitlines()) if docstring else 0)
    return lines > MAX_FUNCTION_LINES and LONG_FUNCTION_REASON not in docstring


def is_wide(function: Definition) -> bool:
    """Whether a constructor takes more arguments than the limit."""
    arguments = function.args
    count = len(arguments.posonlyargs) + len(arguments.args) + len(arguments.kwonlyargs) - 1
    return function.name == "__init__" and count > MAX_CONSTRUCTOR_ARGUMENTS


def test_no_file_is_longer_than_the_limit() -> None:
    assert [name_of(path) for path in FILES if len(path.read_text().splitlines()) > MAX_FILE_LINES] == []


@pytest.mark.parametrize("check", [is_long, is_wide])
def test_no_function_is_longer_or_wider_than_the_limit(check: Callable[[Definition], bool]) -> None:
    found = [name for path in FILES for name, function in functions_of(path) if check(function)]
    assert found == []
