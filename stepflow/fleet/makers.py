"""What may be compared: the decision module, as it is or was, with other figures, or a baseline."""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Mapping, Sequence
from functools import lru_cache
from graphlib import TopologicalSorter
from itertools import count
from pathlib import Path
from types import ModuleType
from typing import Any

from stepflow import policy as present
from stepflow.errors import InputError
from stepflow.fleet.baselines import Maker, RandomChoice
from stepflow.interface import Settings

HOME = "stepflow.policy"
FOLDER, FILE = "stepflow/policy/", "stepflow/policy.py"  # as it stands, and as it was in one file
_IMPORT = re.compile(rf"^from {re.escape(HOME)}\.(\w+) import", re.MULTILINE)

Sources = Mapping[str, str]  # the text of each module by its name; that of "" is a policy in one file

_numbers = count(1)


class SpecError(InputError):
    """What is wrong with the name of a policy."""


def sources() -> dict[str, str]:
    """The module of this checkout."""
    folder = Path(str(present.__file__)).parent
    return {path.stem: path.read_text() for path in sorted(folder.glob("*.py")) if path.stem != "__init__"}


@lru_cache(maxsize=32)
def maker(spec: str) -> Maker:
    """The policy that a text names: parts with commas between them.

    `present` is the module of this checkout, `random` the baseline, `rev:REVISION` the module as git holds
    it; NAME=FIGURE behind a module sets one of the module's figures, such as KP=0.3.
    """
    base, *changes = spec.split(",")
    if "=" in base:
        base, changes = "present", [base, *changes]
    if base == "random":
        if changes:
            raise SpecError(f"{spec}: random choice has no figures")
        return RandomChoice
    if base == "present" and not changes:
        return present.Policy
    if base == "present":
        source: Sources = sources()
    elif base.startswith("rev:") and len(base) > 4:
        source = _of_revision(base[4:])
    else:
        raise SpecError(f"{spec}: {base!r} is none of present, random, rev:REVISION or NAME=FIGURE")
    return of_source(source, spec, changes)


def _of_revision(revision: str) -> dict[str, str]:
    listing, _ = _git(revision, "ls-tree", "--name-only", "--end-of-options", revision, FOLDER)
    paths = [Path(line) for line in (listing or "").splitlines()]
    found = {
        path.stem: _git(revision, "show", "--end-of-options", f"{revision}:{path}")[0] or ""
        for path in paths
        if path.suffix == ".py" and path.stem != "__init__"
    }
    if found:
        return found
    text, said = _git(revision, "show", "--end-of-options", f"{revision}:{FILE}")
    if text is None:
        raise SpecError(f"rev:{revision}: {said}")
    return {"": text}


def _git(revision: str, *arguments: str) -> tuple[str | None, str]:
    """The output of a git command about a revision, or what git said instead."""
    command = ["git", *arguments]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    except OSError as fault:
        raise SpecError(f"rev:{revision}: git: {fault.strerror}") from None
    said = done.stderr.strip().splitlines()
    return (None if done.returncode else done.stdout), said[-1] if said else "git knows no such revision"


def _import_order(source: Sources) -> list[str]:
    """The names of the modules, each behind those that it imports."""
    imported = {name: set(_IMPORT.findall(text)) & source.keys() for name, text in source.items()}
    return list(TopologicalSorter(imported).static_order())


def of_source(source: Sources, spec: str, changes: Sequence[str] = ()) -> Maker:
    """The policy of some texts, as modules of their own, so that their figures are nobody else's."""
    home = f"stepflow_policy_{next(_numbers)}"
    sys.modules[home] = ModuleType(home)
    modules = []
    for room in _import_order(source):
        text = source[room]
        module = ModuleType(f"{home}.{room}")
        sys.modules[module.__name__] = module
        modules.append(module)
        # The modules find each other under their own names; those of other packages are shared.
        text = text.replace(f"from {HOME}.", f"from {home}.")
        try:
            exec(compile(text, f"{spec}: {room or 'policy'}", "exec"), module.__dict__)
        except Exception as fault:
            raise SpecError(f"{spec}: the module can't be loaded: {fault}") from None
    for change in changes:
        name, _, told = change.partition("=")
        holders = [module for module in modules if name.isupper() and name in module.__dict__]
        before = holders[0].__dict__[name] if holders else None
        if not isinstance(before, int | float):
            raise SpecError(f"{spec}: the module has no figure {name!r}")
        try:
            value = float(told)
        except ValueError:
            raise SpecError(f"{spec}: {name}: {told!r} is not a number") from None
        for module in holders:
            module.__dict__[name] = int(value) if isinstance(before, int) else value
    made: Any = next(module.__dict__["Policy"] for module in modules if "Policy" in module.__dict__)

    def make(settings: Settings, seed: int) -> Any:
        return made(settings, seed)

    return make
