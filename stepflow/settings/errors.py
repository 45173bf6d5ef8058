"""Errors of stepflow.settings."""


class SettingsError(ValueError):
    """A setting can't be parsed; the message is one line and names the key."""
