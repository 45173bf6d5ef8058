"""The modules of stepflow/fleet import each other in one direction, also those that only types need."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import stepflow.fleet

FOLDER = Path(str(stepflow.fleet.__file__)).parent
PACKAGE = "stepflow.fleet."


def imported_by(path: Path) -> set[str]:
    """The modules of this package that a file imports, at any place in it."""
    found = [
        node.module for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)
    ]
    return {name.removeprefix(PACKAGE) for name in found if name is not None and name.startswith(PACKAGE)}


def test_no_circle_of_imports_is_left_in_the_model() -> None:
    imports = {path.stem: imported_by(path) for path in FOLDER.glob("*.py")}
    assert imports["simulation"] >= {"clients", "attempts", "faults", "endpoint_list"}
    assert set(TopologicalSorter(imports).static_order()) == set(imports)  # raises CycleError
