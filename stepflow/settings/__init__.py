"""Parses the settings of a balancer, from the simulator's text or the JSON of a node's configuration."""

from stepflow.settings.errors import SettingsError
from stepflow.settings.parser import NodeSettings, parse_node_settings, parse_settings
from stepflow.settings.policy import merge_settings

__all__ = ["NodeSettings", "SettingsError", "merge_settings", "parse_node_settings", "parse_settings"]
