"""Lazy imports: defers modules that libraries import but a node never uses, to save memory.

structlog imports asyncio, pickle and its test helpers; Twisted imports a cookie jar, and with it a mail
parser, for one name that it exports. With two hundred nodes on one machine, each module is in memory 200
times. `install` defers such modules until one of their names is accessed; then they load in full. No library
is changed, and programs that don't call `install` are not affected.

`python -m benchmarks.footprint` measures the saving; a test limits the number of modules that `run` loads.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import LazyLoader, module_from_spec
from types import ModuleType

# No importer reads a name of these modules during its own import, so an empty module is enough at first.
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
# The names of asyncio that Twisted reads during its import, and the submodules that define them.
ASYNCIO_SUBMODULES = {
    "AbstractEventLoop": "asyncio.events",
    "Future": "_asyncio",
    "iscoroutine": "asyncio.coroutines",
}


class LazyFinder:
    """A finder for `sys.meta_path` whose loader loads a lazy module at the first access to a name."""

    @classmethod
    def find_spec(
        cls, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a lazy module; None for other modules, which leaves them to the next finder."""
        if name not in LAZY_MODULES:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = LazyLoader(spec.loader)
        return spec


class LazyAsyncio(ModuleType):
    """asyncio, loaded lazily: known names and submodules one by one, any other name loads it in full."""

    def __getattr__(self, name: str) -> object:
        spec = self.__spec__
        if spec is None or (name.startswith("__") and name != "__all__"):
            raise AttributeError(name)
        if submodule := ASYNCIO_SUBMODULES.get(name):
            return getattr(import_module(submodule), name)
        if PathFinder.find_spec(f"{spec.name}.{name}", self.__path__) is not None:
            return import_module(f"{spec.name}.{name}")
        # For any other name, this object becomes the full package.
        self.__class__ = ModuleType  # type: ignore[assignment]
        assert spec.loader is not None
        spec.loader.exec_module(self)
        return getattr(self, name)


def install() -> None:
    """Defer the lazy modules; call it before they are imported, since loaded modules are not affected."""
    if "asyncio" not in sys.modules and (spec := PathFinder.find_spec("asyncio")) is not None:
        package = module_from_spec(spec)
        package.__class__ = LazyAsyncio
        sys.modules["asyncio"] = package
    if LazyFinder not in sys.meta_path:
        sys.meta_path.insert(0, LazyFinder)
