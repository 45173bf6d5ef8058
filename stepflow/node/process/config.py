"""The node's configuration: the file that GW_CONFIG names."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import msgspec

from stepflow.address import Address
from stepflow.errors import InputError, mark_read_error
from stepflow.settings import NodeSettings, SettingsError, parse_node_settings


class ConfigError(InputError):
    """What is wrong with the configuration, in one line."""


def lacks(before: object, now: object, path: str = "") -> str:
    """The first key that stands in one file and not in a later one, or stands there for another thing."""
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return path
        pairs = [(before[key], now.get(key), f"{path}.{key}".lstrip(".")) for key in before if key != "known"]
    elif isinstance(before, list) and before and all(isinstance(item, dict) for item in before):
        if not isinstance(now, list) or not now:
            return path
        every = {key: item for item in before for key, item in item.items() if all(key in x for x in before)}
        pairs = [(every, item, f"{path}.{i}") for i, item in enumerate(now)]
    else:
        return path if before is not None and type(now) is not type(before) else ""
    return next(filter(None, (lacks(*pair) for pair in pairs)), "")


class PlatformLimits(msgspec.Struct, frozen=True):
    """What a process may hold; keys that are not named here pass."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 4096


class PlatformFile(msgspec.Struct, frozen=True):
    """The form of the platform's file; keys that are not named here pass, absent ones have stand-ins."""

    settings: dict[str, Any] = {}
    name: str = ""
    listen: str = ""
    discovery: str = ""
    ops: str | None = None
    seed: str = "0"
    limits: PlatformLimits = PlatformLimits()
    known: dict[str, Any] | None = None


_PATH = re.compile(r" - at `\$\.?([^`]*)`$")


def named(fault: msgspec.ValidationError) -> str:
    """What the schema library found, the key first."""
    text = str(fault)
    found = _PATH.search(text)
    return f"{found[1]}: {text[: found.start()]}" if found and found[1] else text


class NodeConfig(NamedTuple):
    """All that a node is told at its start."""

    name: str
    listen: Address
    discovery: Address
    ops: Address | None  # the operators' address
    seed: int
    sockets: int
    known: object  # in discovery's form
    settings: NodeSettings
    tree: dict[str, object]  # the file itself, but for the list


def load(environ: Mapping[str, str], before: NodeConfig | None = None) -> NodeConfig:
    """Read the file named by GW_CONFIG; GW_NAME, GW_LISTEN and GW_DISCOVERY stand in for what it lacks.

    A file that replaces another has to have all its keys: one that was cut short would bring defaults.
    """
    path = environ.get("GW_CONFIG", "")
    if not path:
        raise ConfigError("GW_CONFIG names no configuration file")
    try:
        with open(path, "rb") as source:
            tree = json.load(source)
    except OSError as fault:
        raise mark_read_error(ConfigError(f"{path}: {fault.strerror}"), fault) from None
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"{path}: not JSON: {fault}") from None
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: not a JSON object")
    try:
        file = msgspec.convert(tree, PlatformFile)
    except msgspec.ValidationError as fault:
        raise ConfigError(f"{path}: {named(fault)}") from None

    if before is not None and (key := lacks(before.tree, tree)):
        raise ConfigError(f"{path}: {key} is missing, or not what it was")

    def told(key: str) -> str:
        return getattr(file, key) or environ.get(f"GW_{key.upper()}", "")

    def endpoint(key: str) -> Address:
        try:
            return Address.parse(told(key))
        except ValueError as fault:
            raise ConfigError(f"{path}: {key}: {fault}") from None

    # Two processes of a node may share the file, and each has an address of its own: what the environment
    # says is this process's.
    ops = environ.get("GW_OPS") or file.ops
    try:
        ops_endpoint = Address.parse(ops) if ops else None
    except ValueError as fault:
        raise ConfigError(f"{path}: ops: {fault}") from None
    try:
        seed = int(file.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"{path}: seed: {file.seed!r} is not hexadecimal") from None
    listen, discovery = endpoint("listen"), endpoint("discovery")
    try:
        settings = parse_node_settings(file.settings)
    except (SettingsError, ValueError) as fault:
        raise ConfigError(f"{path}: {fault}") from None
    if not file.settings.get("classes"):
        raise ConfigError(f"{path}: settings.classes: there is none")
    return NodeConfig(
        name=told("name") or "node",
        listen=listen,
        discovery=discovery,
        ops=ops_endpoint,
        seed=seed,
        sockets=file.limits.sockets,
        known=file.known or {},
        settings=settings,
        tree={key: value for key, value in tree.items() if key != "known"},
    )
