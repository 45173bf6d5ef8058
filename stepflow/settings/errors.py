"""Errors of stepflow.settings."""


class SettingsError(ValueError):
    """A setting that can't be read; its text is one line, and names the key."""
