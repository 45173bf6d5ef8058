"""The imports between the modules of stepflow/fleet have no cycle, including imports only for types."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import stepflow.fleet

FOLDER = Path(str(stepflow.fleet.__file__)).parent
PACKAGE = "stepflow.fleet."


def imported_by(path: Path) -> set[str]:
    """Return the modules of this package that a file imports anywhere."""
    found = [
        node.module for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)
    ]
    return {name.removeprefix(PACKAGE) for name in found if name is not None and name.startswith(PACKAGE)}


def name_of(path: Path) -> str:
    """Return a file's module name within this package; for an `__init__.py`, the name of its package."""
    parts = path.relative_to(FOLDER).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" and len(parts) > 1 else parts)


def test_modules_of_the_fleet_simulation_have_no_import_cycle() -> None:
    imports = {name_of(path): imported_by(path) for path in FOLDER.rglob("*.py")}
    assert imports["simulation"] >= {"clients", "attempts", "faults", "endpoint_list"}
    assert set(TopologicalSorter(imports).static_order()) == set(imports)  # raises CycleError
