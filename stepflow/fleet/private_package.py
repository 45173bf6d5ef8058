"""Import modules of this package again from source texts, under a private package name.

An experiment compares the policy with a copy that has other constants, or with that of another revision.
Each variant needs its own modules, since changing a constant in one variant must not change the others. A
`PrivatePackage` imports them from texts in memory, under a unique package name. Imports among the texts
resolve to each other; all other imports resolve to the modules that the whole process shares.

A text that can't be compiled or imported raises the import system's own exception; callers turn it into a
message.
"""

from __future__ import annotations

import importlib
import importlib.abc
import importlib.machinery
import re
import sys
from collections.abc import Mapping, Sequence
from itertools import count
from types import ModuleType

ROOT = "stepflow"

_serial_numbers = count(1)


class PrivatePackage(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Modules of `stepflow` imported from source texts, under a private package name.

    Args:
        texts: the source text of each module by its path, such as `stepflow/policy/model.py`.
        owned: dotted names of the packages whose imports resolve to these texts. All other imported modules
            are shared with the rest of the process.
        label: name of the texts in tracebacks.
    """

    def __init__(self, texts: Mapping[str, str], owned: Sequence[str], label: str) -> None:
        self.name = f"{ROOT}_private_{next(_serial_numbers)}"
        self._texts, self._label = texts, label
        names = "|".join(re.escape(name) for name in owned)
        self._import = re.compile(rf"^(\s*(?:from|import)\s+)(?={names})(?:{ROOT})\b", re.MULTILINE)
        sys.meta_path.append(self)

    def load(self, module: str) -> ModuleType:
        """Import a module by its name below the package, such as `policy`."""
        return importlib.import_module(f"{self.name}.{module}")

    def loaded(self, prefix: str) -> list[ModuleType]:
        """Return the modules imported so far whose names below the package start with a prefix."""
        start = f"{self.name}.{prefix}"
        return [module for name, module in list(sys.modules.items()) if name.startswith(start)]

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Find a module of this package; the import system calls this for every module not yet imported."""
        found = self._find(fullname)
        if found is None:
            return None
        file, is_package = found
        return importlib.machinery.ModuleSpec(
            fullname, self, origin=f"{self._label}: {file}", is_package=is_package
        )

    def get_source(self, fullname: str) -> str:
        """Return the text of a module, with its imports redirected to this package."""
        found = self._find(fullname)
        if found is None:
            raise ImportError(f"no module {fullname}", name=fullname)
        # A package that has no text of its own, only modules below it (such as the root), is empty.
        return self._import.sub(rf"\g<1>{self.name}", self._texts.get(found[0], ""))

    def is_package(self, fullname: str) -> bool:
        """Return whether a module of this package is itself a package."""
        found = self._find(fullname)
        return found is not None and found[1]

    def _find(self, fullname: str) -> tuple[str, bool] | None:
        """Return the path of a module's text and whether it is a package; None if there is none."""
        root, _, module = fullname.partition(".")
        if root != self.name:
            return None
        # The root package is empty, since its own text would import the whole program.
        if not module:
            return "", True
        stem = f"{ROOT}/{module.replace('.', '/')}"
        if f"{stem}.py" in self._texts:
            return f"{stem}.py", False
        if any(path.startswith(f"{stem}/") for path in self._texts):
            return f"{stem}/__init__.py", True
        return None
