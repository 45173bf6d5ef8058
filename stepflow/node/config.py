"""The node's configuration: the file that GW_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from stepflow.node.ports import Endpoint
from stepflow.settings import NodeSettings, SettingsError, node_settings


class ConfigError(Exception):
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


class NodeConfig(NamedTuple):
    """All that a node is told at its start."""

    name: str
    listen: Endpoint
    discovery: Endpoint
    ops: Endpoint | None  # the operators' address
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
        with open(path, "rb") as file:
            tree = json.load(file)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"{path}: not JSON: {fault}") from None
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: not a JSON object")

    if before is not None and (key := lacks(before.tree, tree)):
        raise ConfigError(f"{path}: {key} is missing, or not what it was")

    def told(key: str) -> object:
        return tree.get(key) or environ.get(f"GW_{key.upper()}", "")

    def endpoint(key: str) -> Endpoint:
        try:
            return Endpoint.parse(told(key))
        except ValueError as fault:
            raise ConfigError(f"{path}: {key}: {fault}") from None

    # Two processes of a node may share the file, and each has an address of its own: what the environment
    # says is this process's.
    ops = environ.get("GW_OPS") or tree.get("ops")
    try:
        ops_endpoint = Endpoint.parse(ops) if ops else None
    except ValueError as fault:
        raise ConfigError(f"{path}: ops: {fault}") from None
    limits = tree.get("limits") or {}
    sockets = limits.get("sockets", 4096) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigError(f"{path}: limits.sockets: {sockets!r} is not a number from 64")
    try:
        seed = int(str(tree.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError(f"{path}: seed: {tree.get('seed')!r} is not hexadecimal") from None
    try:
        settings = node_settings(tree.get("settings") or {})
    except (SettingsError, ValueError) as fault:
        raise ConfigError(f"{path}: {fault}") from None
    return NodeConfig(
        name=str(told("name") or "node"),
        listen=endpoint("listen"),
        discovery=endpoint("discovery"),
        ops=ops_endpoint,
        seed=seed,
        sockets=sockets,
        known=tree.get("known") or {},
        settings=settings,
        tree={key: value for key, value in tree.items() if key != "known"},
    )
