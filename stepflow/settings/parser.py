"""Parses the settings of the simulator and of a node's configuration."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from stepflow.interface import Settings
from stepflow.settings.errors import SettingsError
from stepflow.settings.formats import pairs_of_json, pairs_of_text
from stepflow.settings.policy import read_policy_settings
from stepflow.settings.reader import SettingsReader

DEFAULT_CONNECT_TIMEOUT = timedelta(milliseconds=200)
DEFAULT_IDLE_CLOSE = timedelta(seconds=15)


class NodeSettings(NamedTuple):
    """The settings of a node: those of its policy and those of its connections to endpoints."""

    policy: Settings
    connect_timeout: timedelta
    idle_close: timedelta  # a health check connection is closed after this time without a health check
    reports_load: bool = True  # endpoints send `LOAD X` with their load
    reports_delay: bool = False  # endpoints send `LOAD X` with the latency of messages


def parse_settings(text: str) -> Settings:
    """Parse the simulator's text.

    Raises:
        SettingsError: A value has the wrong type or is out of range.
    """
    return read_policy_settings(SettingsReader(pairs_of_text(text)))


def parse_node_settings(tree: object) -> NodeSettings:
    """Parse the nested JSON of a node's configuration.

    Raises:
        SettingsError: The JSON is not an object, a value has the wrong type or is out of range, or two
            classes have the same name.
    """
    if not isinstance(tree, dict):
        raise SettingsError("settings: not a JSON object")
    reader = SettingsReader(pairs_of_json(tree))
    policy = read_policy_settings(reader)
    if len({cls.name for cls in policy.classes}) < len(policy.classes):
        raise SettingsError("two classes have the same name")
    return NodeSettings(
        policy=policy,
        connect_timeout=reader.duration("policy_limits.connect_timeout_us", DEFAULT_CONNECT_TIMEOUT),
        idle_close=reader.duration("policy_limits.idle_close_us", DEFAULT_IDLE_CLOSE),
        reports_load=reader.flag("domain.tells_load", True),
        reports_delay=reader.flag("domain.tells_delay", False),
    )
