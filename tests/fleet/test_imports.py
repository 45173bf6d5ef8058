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


def name_of(path: Path) -> str:
    """A file's module by its name within this package; a package's own module by the package's."""
    parts = path.relative_to(FOLDER).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" and len(parts) > 1 else parts)


def test_no_circle_of_imports_is_left_in_the_model() -> None:
    imports = {name_of(path): imported_by(path) for path in FOLDER.rglob("*.py")}
    assert imports["simulation"] >= {"clients", "attempts", "faults", "endpoint_list"}
    assert set(TopologicalSorter(imports).static_order()) == set(imports)  # raises CycleError
