"""The calls of one watch of the list: one, and at times a newer one beside it that may replace it."""

from __future__ import annotations

from stepflow.node.discovery_call import DiscoveryCall


class WatchCalls:
    """At most two calls, of which the first that brings a list becomes the watch.

    Attributes:
        watch: The older call: the watch, or what is to become it. It ends at its own time limits.
        newer: A call that was begun beside the older one while that gave no sign of life.
    """

    def __init__(self) -> None:
        self.watch: DiscoveryCall | None = None
        self.newer: DiscoveryCall | None = None

    def __contains__(self, call: DiscoveryCall) -> bool:
        return call in (self.watch, self.newer)

    @property
    def is_list_arriving(self) -> bool:
        """Whether the newer call has received a part of its list."""
        return self.newer is not None and self.newer.has_partial_value

    def begin(self, call: DiscoveryCall) -> None:
        """Begin a call: the only one, or one beside it, in place of the newer one if there is any."""
        self._close_newer()
        if self.watch is None:
            self.watch = call
        else:
            self.newer = call
        call.begin()

    def list_received(self, call: DiscoveryCall) -> bool:
        """Make a call that has brought its first list the watch, and close the other one.

        Returns whether the other one was the older.
        """
        older = self.watch if call is self.newer else None
        if older is None:
            self._close_newer()
            return False
        self.watch, self.newer = call, None
        older.close("silent")
        return True

    def remove(self, call: DiscoveryCall) -> bool:
        """Forget a call that has ended; return False if it had been replaced."""
        if call is self.newer:
            self.newer = None
        elif call is self.watch:
            self.watch, self.newer = self.newer, None
        else:
            return False
        return True

    def read_pending(self) -> None:
        """Apply what discovery has written, and this process has not read yet."""
        for call in (self.watch, self.newer):
            if call is not None:
                call.read_pending()

    def close(self) -> None:
        """Close all calls; their ends count as those of replaced calls."""
        calls, self.watch, self.newer = (self.watch, self.newer), None, None
        for call in calls:
            if call is not None:
                call.close("replaced")

    def _close_newer(self) -> None:
        call, self.newer = self.newer, None
        if call is not None:
            call.close("replaced")
