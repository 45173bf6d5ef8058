"""Import texts of this package's modules once more, under a private name.

An experiment compares the policy with itself under other constants, or with the policy of another revision.
Each such variant needs modules of its own: a constant that is changed in one must not change in another. A
`PrivatePackage` imports them from texts in memory, under a package name that nothing else uses; imports among
the texts lead to each other, every other import to the modules that all share.

A text that can't be compiled or imported raises whatever the import system raises; callers put it into words.
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
    """Modules of `stepflow` that are imported from texts, under a private package name.

    Args:
        texts: the text of each module by its path, such as `stepflow/policy/model.py`.
        owned: dotted names of the packages whose imports lead to these texts. Imports of anything else are
            shared with the rest of the process.
        label: what tracebacks call the texts.
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
        """The modules imported so far whose names below the package start with a prefix."""
        start = f"{self.name}.{prefix}"
        return [module for name, module in list(sys.modules.items()) if name.startswith(start)]

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Find a module of this package; the import system calls it for every module it does not have."""
        found = self._find(fullname)
        if found is None:
            return None
        file, is_package = found
        return importlib.machinery.ModuleSpec(
            fullname, self, origin=f"{self._label}: {file}", is_package=is_package
        )

    def get_source(self, fullname: str) -> str:
        """The text of a module, its own imports led to this package."""
        found = self._find(fullname)
        if found is None:
            raise ImportError(f"no module {fullname}", name=fullname)
        # A package that only the texts' paths imply, such as the root, is empty.
        return self._import.sub(rf"\g<1>{self.name}", self._texts.get(found[0], ""))

    def is_package(self, fullname: str) -> bool:
        """Whether a module of this package is itself a package."""
        found = self._find(fullname)
        return found is not None and found[1]

    def _find(self, fullname: str) -> tuple[str, bool] | None:
        """The path of a module's text and whether it is a package; None for a module that is not here."""
        root, _, module = fullname.partition(".")
        if root != self.name:
            return None
        # The root's own text would import the whole program: it stays empty.
        if not module:
            return "", True
        stem = f"{ROOT}/{module.replace('.', '/')}"
        if f"{stem}.py" in self._texts:
            return f"{stem}.py", False
        if any(path.startswith(f"{stem}/") for path in self._texts):
            return f"{stem}/__init__.py", True
        return None
