"""Lazy imports: puts off modules that libraries import in passing and a node never calls, to save memory.

structlog imports asyncio, pickle and helpers for its own tests; Twisted imports a cookie jar, and with it a
mail parser, for one name that it exports. Two hundred nodes on one machine pay for each module 200 times.
`install` puts such modules off until something asks for one of their names; then they load in full. No
library is changed, and programs that don't call `install` are not affected.

`python -m benchmarks.footprint` measures what is saved; a test limits the count of modules that `run` loads.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import LazyLoader, module_from_spec
from types import ModuleType

# No importer reads a name of these while it is imported itself, so that an empty module will do until later.
LAZY_MODULES = frozenset(
    {
        "hashlib",
        "http.cookiejar",
        "logging",
        "pickle",
        "structlog.dev",
        "structlog.stdlib",
        "structlog.testing",
        "structlog.threadlocal",
        "structlog.tracebacks",
        "structlog.twisted",
    }
)
# The names that Twisted takes from asyncio while it is imported, and the submodules that define them.
ASYNCIO_SUBMODULES = {
    "AbstractEventLoop": "asyncio.events",
    "Future": "_asyncio",
    "iscoroutine": "asyncio.coroutines",
}


class LazyFinder:
    """A finder of `sys.meta_path` that gives the lazy modules a loader that waits for the first name."""

    @classmethod
    def find_spec(
        cls, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return a lazy module's spec; None for other modules, which the next finder then looks for."""
        if name not in LAZY_MODULES:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = LazyLoader(spec.loader)
        return spec


class LazyAsyncio(ModuleType):
    """asyncio, whose known names and submodules are imported one by one; any other name loads it in full."""

    def __getattr__(self, name: str) -> object:
        spec = self.__spec__
        if spec is None or (name.startswith("__") and name != "__all__"):
            raise AttributeError(name)
        if submodule := ASYNCIO_SUBMODULES.get(name):
            return getattr(import_module(submodule), name)
        if PathFinder.find_spec(f"{spec.name}.{name}", self.__path__) is not None:
            return import_module(f"{spec.name}.{name}")
        # An unforeseen name: from here on this is the package itself.
        self.__class__ = ModuleType  # type: ignore[assignment]
        assert spec.loader is not None
        spec.loader.exec_module(self)
        return getattr(self, name)


def install() -> None:
    """Put the lazy modules off; those that are loaded already stay. Call it before they are imported."""
    if "asyncio" not in sys.modules and (spec := PathFinder.find_spec("asyncio")) is not None:
        package = module_from_spec(spec)
        package.__class__ = LazyAsyncio
        sys.modules["asyncio"] = package
    if LazyFinder not in sys.meta_path:
        sys.meta_path.insert(0, LazyFinder)
