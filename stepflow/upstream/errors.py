"""Errors of stepflow.upstream."""


class DiscoveryDataError(ValueError):
    """Base class of errors in data from discovery. The message is logged."""


class JsonStreamError(DiscoveryDataError):
    """A malformed or overlong value in the stream; the rest of the stream can't be parsed."""


class EndpointListError(DiscoveryDataError):
    """A malformed endpoint list, or one with a malformed entry; no part of it was applied."""
