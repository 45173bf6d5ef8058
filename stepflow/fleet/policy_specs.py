"""Policies by name: this checkout's or a git revision's, possibly with changed constants, or a baseline."""

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

PolicyTexts = Mapping[str, str]  # source text of each module of a policy, by module name


class PolicySpecError(InputError):
    """A policy's spec is invalid, or its policy can't be loaded."""


def policy_texts() -> dict[str, str]:
    """Return the source texts of this checkout's policy."""
    folder = Path(str(present.__file__)).parent
    return {path.stem: path.read_text() for path in sorted(folder.glob("*.py"))}


@lru_cache(maxsize=32)
def policy_factory(spec: str) -> PolicyFactory:
    """Return the factory of the policy that a comma-separated spec names.

    `present` is the policy of this checkout, `random` the baseline, `rev:REVISION` the policy of a git
    revision. Each further NAME=VALUE sets a constant of the policy, such as KP=0.3. A spec that begins with
    NAME=VALUE changes `present`.
    """
    base, *changes = spec.split(",")
    if "=" in base:
        base, changes = "present", [base, *changes]
    if base == "random":
        if changes:
            raise PolicySpecError(f"{spec}: random has no constants to set")
        return RandomChoice
    if base == "present" and not changes:
        return present.Policy
    if base == "present":
        return factory_from_texts(policy_texts(), spec, changes)
    if base.startswith("rev:") and len(base) > len("rev:"):
        return _factory_from_revision(base.removeprefix("rev:"), spec, changes)
    raise PolicySpecError(f"{spec}: {base!r} is not one of present, random, rev:REVISION or NAME=VALUE")


def _factory_from_revision(revision: str, spec: str, changes: Sequence[str]) -> PolicyFactory:
    try:
        package, make = load_revision(revision)
    except RevisionError as error:
        raise PolicySpecError(str(error)) from None
    _change_constants(package, spec, changes)
    return make


def factory_from_texts(texts: PolicyTexts, spec: str, changes: Sequence[str] = ()) -> PolicyFactory:
    """Return the factory of a policy from source texts, loaded as modules with constants of their own."""
    texts = {f"{POLICY.replace('.', '/')}/{module}.py": text for module, text in texts.items()}
    package = PrivatePackage(texts, (POLICY,), spec)
    try:
        policy_class: Any = package.load("policy").__dict__["Policy"]
    except Exception as error:
        raise PolicySpecError(f"{spec}: the policy can't be loaded: {error}") from None
    _change_constants(package, spec, changes)

    def make(settings: Settings, seed: int) -> Any:
        return policy_class(settings, seed)

    return make


def _change_constants(package: PrivatePackage, spec: str, changes: Sequence[str]) -> None:
    """Set constants of a policy (NAME=VALUE each) in every module that defines or imports them."""
    for change in changes:
        name, _, text = change.partition("=")
        modules = [module for module in package.loaded("policy") if name.isupper() and hasattr(module, name)]
        current = getattr(modules[0], name) if modules else None
        if not isinstance(current, int | float):
            raise PolicySpecError(f"{spec}: the policy has no numeric constant {name!r}")
        try:
            value = float(text)
        except ValueError:
            raise PolicySpecError(f"{spec}: {name}: {text!r} is not a number") from None
        for module in modules:
            setattr(module, name, int(value) if isinstance(current, int) else value)
