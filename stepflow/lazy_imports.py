"""What `run` does not load: parts of libraries that are imported in passing, and that a node never calls.

structlog brings asyncio, pickle and its own tests' means; Twisted brings a cookie jar, and with it a mail
parser, for one name that it passes on. Two hundred nodes on a machine pay for each of them 200 times. `begin`
puts such modules off until something asks for a name of theirs; then they load in full, as ever. Nothing is
left out, and no library is changed.

Measured by `python -m benchmarks.footprint`; a test holds the count of modules that `run` loads.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import LazyLoader, module_from_spec
from types import ModuleType

# Modules that nobody reads a name of while they are imported, so that a stand-in will do until then.
PUT_OFF = frozenset(
    {
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
# Twisted takes three names from asyncio, for callers that await: these parts of it hold them.
ASYNCIO = {"AbstractEventLoop": "asyncio.events", "Future": "_asyncio", "iscoroutine": "asyncio.coroutines"}


class LazyFinder:
    """Finds what is put off, and gives it a loader that waits."""

    @classmethod
    def find_spec(
        cls, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if name not in PUT_OFF:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = LazyLoader(spec.loader)
        return spec


class LazyAsyncio(ModuleType):
    """The package whose names come from its parts, as long as those that are known are enough."""

    def __getattr__(self, name: str) -> object:
        spec = self.__spec__
        if spec is None or (name.startswith("__") and name != "__all__"):
            raise AttributeError(name)
        if part := ASYNCIO.get(name):
            return getattr(import_module(part), name)
        if PathFinder.find_spec(f"{spec.name}.{name}", self.__path__) is not None:
            return import_module(f"{spec.name}.{name}")
        # Something unforeseen is asked for: from here on the package itself.
        self.__class__ = ModuleType  # type: ignore[assignment]
        assert spec.loader is not None
        spec.loader.exec_module(self)
        return getattr(self, name)


def install() -> None:
    """Put them off; what is loaded already stays."""
    if "asyncio" not in sys.modules and (spec := PathFinder.find_spec("asyncio")) is not None:
        package = module_from_spec(spec)
        package.__class__ = LazyAsyncio
        sys.modules["asyncio"] = package
    if LazyFinder not in sys.meta_path:
        sys.meta_path.insert(0, LazyFinder)
