"""Errors of stepflow.upstream."""


class DiscoveryDataError(ValueError):
    """The base of what is wrong with data of discovery; its text goes to the log."""


class JsonStreamError(DiscoveryDataError):
    """A value of the stream that can't be read; nothing after it can be either."""


class EndpointListError(DiscoveryDataError):
    """A message that is no endpoint list, or has a bad entry; nothing of it was applied."""
