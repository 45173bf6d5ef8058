"""The settings of a balancer: one parser for the simulator's text and the JSON of a node's configuration."""

from stepflow.settings.errors import SettingsError
from stepflow.settings.parser import NodeSettings, parse_node_settings, parse_settings
from stepflow.settings.policy import merge_settings

__all__ = ["NodeSettings", "SettingsError", "merge_settings", "parse_node_settings", "parse_settings"]
