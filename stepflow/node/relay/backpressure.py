"""Backpressure between the two sides of a relay, through Twisted's producer interface."""

from __future__ import annotations

from collections.abc import Callable

from stepflow.node.runtime.transports import Transport


class Backpressure:
    """Pauses reading from `source` while the other side's write buffer is full.

    Register it as a streaming producer on the other side's transport. `on_change` is called with True when
    reading is paused and with False when it resumes. The source transport itself is not registered: Twisted
    closes a producer along with its consumer, before the relay knows how the consumer's connection ended.
    """

    def __init__(self, source: Transport, on_change: Callable[[bool], None] = lambda paused: None) -> None:
        self._source, self._on_change = source, on_change

    def pauseProducing(self) -> None:
        """Pause reading: the other side's buffer is full."""
        self._source.pauseProducing()
        self._on_change(True)

    def resumeProducing(self) -> None:
        """Resume reading: the other side's buffer is empty."""
        self._source.resumeProducing()
        self._on_change(False)

    def stopProducing(self) -> None:
        """Do nothing: the other side is closed, and the relay closes the source."""
