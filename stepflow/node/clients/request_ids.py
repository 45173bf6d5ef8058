"""The ids of requests that must not be taken again.

An id is new for every connection (PROTOCOL, "Clients to nodes"). One that comes again would run twice: while
its first request is open, and also once that one's client has left, if an endpoint may have run it. Owns both
sets of ids. The second one is bounded: of the ids that may have run, at least the latest `GENERATION_SIZE`
are kept.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

GENERATION_SIZE = 4096  # ids; two generations take below 1 MB


class RequestIds:
    """The ids of open requests, and the latest of those that may have run.

    `on_closed` is called with each id that is closed here and may have run, if it is set.
    """

    def __init__(self) -> None:
        self.on_closed: Callable[[int], None] | None = None
        self._open: set[int] = set()
        self._latest: set[int] = set()  # closed, and may have run
        self._earlier: set[int] = set()  # the generation before

    def open(self, id: int) -> bool:
        """Open a request; return False if its id is open, or may have run."""
        if id in self._open or id in self._latest or id in self._earlier:
            return False
        self._open.add(id)
        return True

    def adopt(self, id: int) -> None:
        """Open the request of a session that another process of this node has opened before."""
        self._open.add(id)

    def close(self, id: int, may_have_run: bool) -> None:
        """Close a request; its id can be taken again unless it may have run."""
        self._open.discard(id)
        if may_have_run:
            self.remember((id,))
            if self.on_closed is not None:
                self.on_closed(id)

    def remember(self, ids: Iterable[int]) -> None:
        """Record that requests with these ids may have run, here or in another process of this node."""
        for id in ids:
            if len(self._latest) >= GENERATION_SIZE:
                self._earlier, self._latest = self._latest, set()
            self._latest.add(id)

    def remembered(self) -> list[int]:
        """Return the closed ids that may have run, those of the earlier generation first."""
        return [*self._earlier, *self._latest]
