"""Policies by name: the policy of this checkout or of a git revision, with other constants, or a baseline."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import lru_cache
from pathlib import Path
from typing import Any

from stepflow import policy as present
from stepflow.errors import InputError
from stepflow.fleet.baselines import PolicyFactory, RandomChoice
from stepflow.fleet.private_package import PrivatePackage
from stepflow.fleet.revisions import RevisionError, load_revision
from stepflow.interface import Settings

POLICY = "stepflow.policy"

PolicyTexts = Mapping[str, str]  # the text of each of the policy's modules, by the module's name


class PolicySpecError(InputError):
    """What is wrong with the name of a policy."""


def policy_texts() -> dict[str, str]:
    """The texts of this checkout's policy."""
    folder = Path(str(present.__file__)).parent
    return {path.stem: path.read_text() for path in sorted(folder.glob("*.py"))}


@lru_cache(maxsize=32)
def policy_factory(spec: str) -> PolicyFactory:
    """The policy that a text names: parts with commas between them.

    `present` is the policy of this checkout, `random` the baseline, `rev:REVISION` the policy as git holds
    it; NAME=VALUE behind one sets one of its constants, such as KP=0.3.
    """
    base, *changes = spec.split(",")
    if "=" in base:
        base, changes = "present", [base, *changes]
    if base == "random":
        if changes:
            raise PolicySpecError(f"{spec}: random choice has no figures")
        return RandomChoice
    if base == "present" and not changes:
        return present.Policy
    if base == "present":
        return factory_from_texts(policy_texts(), spec, changes)
    if base.startswith("rev:") and len(base) > len("rev:"):
        return _of_revision(base.removeprefix("rev:"), spec, changes)
    raise PolicySpecError(f"{spec}: {base!r} is none of present, random, rev:REVISION or NAME=FIGURE")


def _of_revision(revision: str, spec: str, changes: Sequence[str]) -> PolicyFactory:
    try:
        package, make = load_revision(revision)
    except RevisionError as error:
        raise PolicySpecError(str(error)) from None
    _change_constants(package, spec, changes)
    return make


def factory_from_texts(texts: PolicyTexts, spec: str, changes: Sequence[str] = ()) -> PolicyFactory:
    """The policy of some texts, as modules of their own, so that their constants are nobody else's."""
    texts = {f"{POLICY.replace('.', '/')}/{module}.py": text for module, text in texts.items()}
    package = PrivatePackage(texts, (POLICY,), spec)
    try:
        made: Any = package.load("policy").__dict__["Policy"]
    except Exception as error:
        raise PolicySpecError(f"{spec}: the module can't be loaded: {error}") from None
    _change_constants(package, spec, changes)

    def make(settings: Settings, seed: int) -> Any:
        return made(settings, seed)

    return make


def _change_constants(package: PrivatePackage, spec: str, changes: Sequence[str]) -> None:
    """Set constants of the policy, NAME=VALUE each, in every module that defines or imports them."""
    for change in changes:
        name, _, text = change.partition("=")
        holders = [module for module in package.loaded("policy") if name.isupper() and hasattr(module, name)]
        before = getattr(holders[0], name) if holders else None
        if not isinstance(before, int | float):
            raise PolicySpecError(f"{spec}: the module has no figure {name!r}")
        try:
            value = float(text)
        except ValueError:
            raise PolicySpecError(f"{spec}: {name}: {text!r} is not a number") from None
        for module in holders:
            setattr(module, name, int(value) if isinstance(before, int) else value)
