"""The node's configuration: the platform's file, named by GW_CONFIG.

Responsible for reading the whole file, for the environment variables that supplement it, and for deciding
whether a new file may replace the current one. Owns nothing. Errors: ConfigError, one line that begins with
the file's path; it is marked transient if reading the file failed for a reason that may pass. Source:
docs/settings.md.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import msgspec

from stepflow.address import Address
from stepflow.errors import InputError, mark_read_error
from stepflow.settings import NodeSettings, SettingsError, parse_node_settings

DEFAULT_NAME = "node"
LIST_KEY = "known"  # key of the endpoint list, which may be long; a reload ignores it


class ConfigError(InputError):
    """The configuration is invalid or can't be read; the message is one line."""


class PlatformLimits(msgspec.Struct, frozen=True):
    """The limits of a process; unknown keys are ignored."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 4096


class PlatformFile(msgspec.Struct, frozen=True):
    """The platform's file; unknown keys are ignored, missing ones have defaults."""

    settings: dict[str, Any] = {}
    name: str = ""
    listen: str = ""
    discovery: str = ""
    ops: str | None = None
    seed: str = "0"
    limits: PlatformLimits = PlatformLimits()
    known: dict[str, Any] | None = None


class NodeConfig(NamedTuple):
    """A node's configuration; its fields are named after the keys of the file."""

    name: str
    listen: Address
    discovery: Address
    ops: Address | None  # the address for operators' HTTP requests
    seed: int
    sockets: int
    known: object  # the endpoint list, in discovery's format
    settings: NodeSettings
    tree: dict[str, object]  # the file's content, except for the endpoint list


class _Source:
    """The file and the environment, from which the configuration is read."""

    def __init__(self, path: str, file: PlatformFile, environ: Mapping[str, str]) -> None:
        self.path, self.file, self.environ = path, file, environ

    def text(self, key: str) -> str:
        """Return the file's value, or the environment's value if the file has none."""
        value: object = msgspec.structs.asdict(self.file)[key]
        return str(value or self.environ.get(f"GW_{key.upper()}", ""))

    def address(self, key: str) -> Address:
        return self._parse_address(key, self.text(key))

    def ops_address(self) -> Address | None:
        # Two processes of a node may share the file, but each needs an address of its own: the address in the
        # environment is this process's.
        text = self.environ.get("GW_OPS") or self.file.ops
        return self._parse_address("ops", text) if text else None

    def seed(self) -> int:
        try:
            return int(self.file.seed or "0", 16)
        except ValueError:
            raise self.error(f"seed: {self.file.seed!r} is not hexadecimal") from None

    def settings(self) -> NodeSettings:
        try:
            settings = parse_node_settings(self.file.settings)
        except (SettingsError, ValueError) as error:
            raise self.error(str(error)) from None
        if not self.file.settings.get("classes"):
            raise self.error("settings.classes: expected at least one class")
        return settings

    def error(self, text: str) -> ConfigError:
        """Return an error about the file."""
        return ConfigError(f"{self.path}: {text}")

    def _parse_address(self, key: str, text: str) -> Address:
        try:
            return Address.parse(text)
        except ValueError as error:
            raise self.error(f"{key}: {error}") from None


def load_config(environ: Mapping[str, str], replaced: NodeConfig | None = None) -> NodeConfig:
    """Return the configuration from the file named by GW_CONFIG.

    GW_NAME, GW_LISTEN and GW_DISCOVERY supply values that the file lacks. If `replaced` is given, the file
    needs all the keys of the file that it replaces: a truncated file would silently apply defaults.

    Raises:
        ConfigError: The file can't be read or is invalid, or may not replace the current one.
    """
    path = environ.get("GW_CONFIG", "")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    tree = _read_json_object(path)
    try:
        file = msgspec.convert(tree, PlatformFile)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {_describe(error)}") from None
    if replaced is not None and (key := find_missing_key(replaced.tree, tree)):
        raise ConfigError(f"{path}: {key} is missing or has another type than before")
    source = _Source(path, file, environ)
    # The order matters: of several errors, the first is reported.
    ops, seed = source.ops_address(), source.seed()
    listen, discovery = source.address("listen"), source.address("discovery")
    return NodeConfig(
        name=source.text("name") or DEFAULT_NAME,
        listen=listen,
        discovery=discovery,
        ops=ops,
        seed=seed,
        sockets=file.limits.sockets,
        known=file.known or {},
        settings=source.settings(),
        tree={key: value for key, value in tree.items() if key != LIST_KEY},
    )


def find_missing_key(before: object, now: object, path: str = "") -> str:
    """Return the path of the first key of `before` that `now` lacks or holds as another type, or ""."""
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return path
        pairs = [
            (before[key], now.get(key), f"{path}.{key}".lstrip(".")) for key in before if key != LIST_KEY
        ]
    elif isinstance(before, list) and before and all(isinstance(item, dict) for item in before):
        if not isinstance(now, list) or not now:
            return path
        # Entries may be added or removed, but each new entry needs the keys that all old entries have.
        common = {
            key: item for entry in before for key, item in entry.items() if all(key in x for x in before)
        }
        pairs = [(common, item, f"{path}.{i}") for i, item in enumerate(now)]
    else:
        return path if before is not None and type(now) is not type(before) else ""
    return next(filter(None, (find_missing_key(*pair) for pair in pairs)), "")


def _read_json_object(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as source:
            tree = json.load(source)
    except OSError as error:
        raise mark_read_error(ConfigError(f"{path}: {error.strerror}"), error) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: not a JSON object")
    return tree


_ERROR_PATH = re.compile(r" - at `\$\.?([^`]*)`$")


def _describe(error: msgspec.ValidationError) -> str:
    """Return the message of a msgspec error with the key in front."""
    text = str(error)
    found = _ERROR_PATH.search(text)
    return f"{found[1]}: {text[: found.start()]}" if found and found[1] else text
