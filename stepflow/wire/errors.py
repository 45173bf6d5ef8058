"""Errors of stepflow.wire."""


class WireError(Exception):
    """A frame or record can't be decoded; the message is one line."""
