"""Backpressure between the two sides of a relay, by Twisted's producers."""

from __future__ import annotations

from collections.abc import Callable

from stepflow.node.runtime.transports import Transport


class Backpressure:
    """Stops reading from one side while the other, whose producer this is, can't take more.

    A transport as the other's producer would be closed with it, before the relay knows how it ended.
    """

    def __init__(self, source: Transport, changed: Callable[[bool], None] = lambda paused: None) -> None:
        self._source, self._changed = source, changed

    def pauseProducing(self) -> None:
        """Stop reading: the other side is full."""
        self._source.pauseProducing()
        self._changed(True)

    def resumeProducing(self) -> None:
        """Read on: the other side has taken all."""
        self._source.resumeProducing()
        self._changed(False)

    def stopProducing(self) -> None:
        """Do nothing: the other side is closed, and the relay ends this one."""
