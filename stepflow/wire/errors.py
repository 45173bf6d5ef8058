"""Errors of stepflow.wire."""


class WireError(Exception):
    """A frame or record that can't be read; its text is one line."""
