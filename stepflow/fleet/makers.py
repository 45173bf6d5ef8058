"""What may be compared: the decision module, as it is or was, with other figures, or a baseline."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence
from functools import lru_cache
from pathlib import Path
from types import ModuleType
from typing import Any

from stepflow import interface as face
from stepflow import policy as present
from stepflow.faults import BadInput
from stepflow.fleet.baselines import Maker, RandomChoice

FILE = "stepflow/policy.py"


class SpecError(BadInput):
    """What is wrong with the name of a policy."""


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
        source = Path(str(present.__file__)).read_text()
    elif base.startswith("rev:") and len(base) > 4:
        source = _of_revision(base[4:])
    else:
        raise SpecError(f"{spec}: {base!r} is none of present, random, rev:REVISION or NAME=FIGURE")
    return of_source(source, spec, changes)


def _of_revision(revision: str) -> str:
    command = ["git", "show", "--end-of-options", f"{revision}:{FILE}"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    except OSError as fault:
        raise SpecError(f"rev:{revision}: git: {fault.strerror}") from None
    if done.returncode:
        said = done.stderr.strip().splitlines()
        raise SpecError(f"rev:{revision}: {said[-1] if said else 'git knows no such revision'}")
    return done.stdout


def of_source(source: str, spec: str, changes: Sequence[str] = ()) -> Maker:
    """The policy of a text, as a module of its own, so that its figures are nobody else's."""
    module = ModuleType(f"stepflow.policy<{spec}>")
    sys.modules[module.__name__] = module
    try:
        exec(compile(source, module.__name__, "exec"), module.__dict__)
    except Exception as fault:
        raise SpecError(f"{spec}: the module can't be loaded: {fault}") from None
    for change in changes:
        name, _, text = change.partition("=")
        before = module.__dict__.get(name)
        if not name.isupper() or not isinstance(before, int | float):
            raise SpecError(f"{spec}: the module has no figure {name!r}")
        try:
            value = float(text)
        except ValueError:
            raise SpecError(f"{spec}: {name}: {text!r} is not a number") from None
        module.__dict__[name] = int(value) if isinstance(before, int) else value
    made: Any = module.__dict__["Policy"]

    def make(settings: face.Settings, seed: int) -> Any:
        return made(settings, seed)

    return make
