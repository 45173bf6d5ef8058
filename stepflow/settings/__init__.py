"""The settings of a balancer: one parser for the simulator's text and the node's JSON."""

from stepflow.settings.parser import (
    NodeSettings,
    SettingsError,
    merge_settings,
    parse_node_settings,
    parse_settings,
)

__all__ = ["NodeSettings", "SettingsError", "merge_settings", "parse_node_settings", "parse_settings"]
