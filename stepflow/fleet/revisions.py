"""The policy of another git revision, behind the interface of this checkout.

A policy uses the types of `stepflow.interface`, which were renamed more than once. A revision is therefore
loaded with its own interface and all pure modules that it imports, as texts from git under a private package
name; an adapter converts settings and events to the revision's types and its actions back.

A type is found by its name or by one of `FORMER_NAMES`. Its fields are matched by name, and renamed fields by
their position between the matched ones: the order of a type's fields is part of the simulator's wire format
and of recorded journals, so it never changes. A field that one side lacks is left out or takes its default.

A revision that can't be loaded raises RevisionError, which names it. git is run in the current directory.
"""

from __future__ import annotations

import dataclasses
import subprocess
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum
from types import ModuleType
from typing import Any, get_args

from stepflow import interface
from stepflow.errors import InputError
from stepflow.fleet.private_package import ROOT, PrivatePackage
from stepflow.interface import Action, Event, Settings

FORMER_NAMES: Mapping[str, tuple[str, ...]] = {
    # Settings.
    "DeduplicationScope": ("Scope",),
    "Idempotency": ("Effect",),
    "SafetyRules": ("Rules",),
    # Events.
    "AttemptEnded": ("Outcome",),
    "AttemptResult": ("Result",),
    "ClientDisconnected": ("ClientGone",),
    "Endpoint": ("Server",),
    "EndpointListUpdate": ("ServerList",),
    "HealthCheckEnded": ("Probed",),
    "ListUpdateKind": ("ListForm",),
    "PeerMessageReceived": ("PeerMessage",),
    "SessionAdopted": ("Adopted",),
    "SessionEstablished": ("Established",),
    "SessionReport": ("Note",),
    "SessionReportKind": ("NoteKind",),
    "TimerFired": ("Timer",),
    # Actions.
    "CancelAttempt": ("Cancel",),
    "CloseIdleConnections": ("CloseIdle",),
    "FailRequest": ("Fail",),
    "FetchEndpointList": ("FetchList",),
    "LogMessage": ("Log",),
    "MigrateSession": ("Move",),
    "RejectRequest": ("Refuse",),
    "SendPeerMessage": ("Tell",),
    "StartAttempt": ("Send",),
    "StartHealthCheck": ("Probe",),
    "WatchEndpointList": ("Watch",),
}
"""Names that types of the interface had in earlier revisions (docs/glossary.md)."""

GIT_TIMEOUT_S = 30


class RevisionError(InputError):
    """The policy of a revision can't be loaded."""


class RevisionPolicy:
    """A policy of another revision, with this checkout's types for events, settings and actions.

    Events of types that the revision does not have are dropped.
    """

    def __init__(self, policy: Any, to_revision: Converter, from_revision: Converter) -> None:
        self.policy = policy
        self._to_revision, self._from_revision = to_revision, from_revision

    def handle(self, now: int, event: Event) -> list[Action]:
        """Pass an event to the revision's policy; return its actions."""
        if not self._to_revision.knows(type(event)):
            return []
        actions = self.policy.handle(now, self._to_revision.convert(event))
        return [self._from_revision.convert(action) for action in actions]

    def update_settings(self, settings: Settings) -> None:
        """Replace the policy's settings."""
        # Up to 5fd6943 the method was called retune; the first revisions have neither method.
        update = getattr(self.policy, "update_settings", None) or self.policy.retune
        update(self._to_revision.convert(settings))


class Converter:
    """Converts values of one interface's types to another's, including nested values."""

    def __init__(self, types: Mapping[type, type]) -> None:
        self._types = types
        self._fields = {
            source: align_fields(target.__name__, _field_names(source), _field_names(target))
            for source, target in types.items()
        }

    def knows(self, kind: type) -> bool:
        """Return whether a type has a counterpart."""
        return kind in self._types

    def convert(self, value: Any) -> Any:
        """Convert a value; a value of any other type is returned unchanged."""
        target = self._types.get(type(value))
        if target is None:
            return tuple(map(self.convert, value)) if type(value) is tuple else value
        if isinstance(value, IntEnum):
            return target(int(value))
        fields = self._fields[type(value)]
        return target(**{theirs: self.convert(getattr(value, ours)) for ours, theirs in fields})


def load_revision(revision: str) -> tuple[PrivatePackage, Callable[[Settings, int], RevisionPolicy]]:
    """Load the policy of a git revision.

    Returns the package of its modules, in which a caller can change constants, and a factory of its policies.
    """
    label = f"rev:{revision}"
    package = PrivatePackage(read_texts(revision), (ROOT,), label)
    try:
        policy, theirs = package.load("policy"), package.load("interface")
        types = _counterparts(theirs)
        to_revision = Converter(types)
        from_revision = Converter({theirs: ours for ours, theirs in types.items()})
    except Exception as error:
        raise RevisionError(f"{label}: the policy can't be loaded: {error}") from None
    policy_class: Any = policy.__dict__["Policy"]

    def make(settings: Settings, seed: int) -> RevisionPolicy:
        return RevisionPolicy(policy_class(to_revision.convert(settings), seed), to_revision, from_revision)

    return package, make


def read_texts(revision: str) -> dict[str, str]:
    """Return the texts of a revision's modules by path, except those that do I/O."""
    label = f"rev:{revision}"
    output = _git(label, "ls-tree", "-r", "--full-tree", "--name-only", "--end-of-options", revision)
    paths = [path for path in output.splitlines() if path.startswith(f"{ROOT}/") and path.endswith(".py")]
    skipped = tuple(f"{ROOT}/{name}/" for name in ("cli", "daemon", "fleet", "node", "traffic"))
    texts = {
        path: _git(label, "show", "--end-of-options", f"{revision}:{path}")
        for path in paths
        if not path.startswith(skipped)
    }
    if not any(path.startswith(f"{ROOT}/policy") for path in texts):
        raise RevisionError(f"{label}: the revision has no {ROOT}/policy")
    return texts


def _git(label: str, *words: str) -> str:
    """Run git and return its standard output."""
    try:
        done = subprocess.run(
            ["git", *words], capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=False
        )
    except OSError as error:
        raise RevisionError(f"{label}: git: {error.strerror}") from None
    except subprocess.TimeoutExpired:
        raise RevisionError(f"{label}: git took more than {GIT_TIMEOUT_S} s") from None
    if done.returncode:
        complaint = done.stderr.strip().splitlines()
        raise RevisionError(f"{label}: {complaint[-1] if complaint else 'unknown revision'}")
    return done.stdout


def _counterparts(theirs: ModuleType) -> dict[type, type]:
    """Return the revision's type for each type of this checkout's interface that the revision has.

    Raises RevisionError if an event or action of the revision has no counterpart here, since it could not be
    converted; FORMER_NAMES then lacks a name.
    """
    types: dict[type, type] = {}
    for name in interface.__all__:
        ours = getattr(interface, name)
        for candidate in (name, *FORMER_NAMES.get(name, ())):
            found = getattr(theirs, candidate, None)
            if isinstance(ours, type) and isinstance(found, type):
                types[ours] = found
                break
    for union in (theirs.Event, theirs.Action):
        for kind in get_args(union):
            if kind not in types.values():
                raise RevisionError(f"this checkout's interface has no counterpart of {kind.__name__}")
    return types


def align_fields(kind: str, ours: Sequence[str], theirs: Sequence[str]) -> list[tuple[str, str]]:
    """Return pairs of field names that mean the same in two revisions of a type.

    Fields of the same name form a pair. Fields between two such pairs are paired in order; a field left over
    is one that the other revision lacks. Raises RevisionError if fields of the same name are in different
    orders.
    """
    pairs, done = [], 0
    rest = list(theirs)
    for position, name in enumerate(ours):
        if name not in theirs:
            continue
        if name not in rest:
            raise RevisionError(f"field {name} of {kind} is at a different position than in this checkout")
        place = rest.index(name)
        pairs += [*zip(ours[done:position], rest[:place], strict=False), (name, name)]
        done, rest = position + 1, rest[place + 1 :]
    return pairs + list(zip(ours[done:], rest, strict=False))


def _field_names(kind: type) -> tuple[str, ...]:
    if dataclasses.is_dataclass(kind):
        return tuple(field.name for field in dataclasses.fields(kind))
    names: tuple[str, ...] = getattr(kind, "_fields", ())
    return names
