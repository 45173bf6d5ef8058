"""The table of requests, and the answers that clients get.

`RequestTable` owns the contexts of all requests that are not over. It is the one place that answers a request
and the one that frees its slot, and so the one that counts answers.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from stepflow.interface import Request, Settings
from stepflow.node.core.interfaces import RequestContext
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import ClassCounts, Counters
from stepflow.node.runtime.request_log import RequestLog
from stepflow.node.runtime.slots import SlotTable


class RequestTable:
    """All requests that are not over, by id; bounded in number."""

    def __init__(self, clock: Clock, counters: Counters, slots: int) -> None:
        self._counters = counters
        self._contexts: SlotTable[RequestContext] = SlotTable(slots)
        self._class_counts: list[ClassCounts] = []
        self.log = RequestLog(clock, counters)
        self.shutting_down = False  # requests are neither accepted nor retried any more

    def update_settings(self, settings: Settings) -> None:
        """Count by the classes of these settings from now on."""
        self._class_counts = [self._counters.of(request_class.name) for request_class in settings.classes]

    def __len__(self) -> int:
        return len(self._contexts)

    def __iter__(self) -> Iterator[RequestContext]:
        """The contexts held now; the table may change meanwhile."""
        return iter(self._contexts)

    def get(self, request_id: int) -> RequestContext | None:
        """The context of a request, or None once it is over."""
        return self._contexts.get(request_id)

    def add(self, context: RequestContext) -> bool:
        """Take a request in and give it its id; False where the table is full."""
        request_id = self._contexts.add(context)
        if request_id is None:
            return False
        context.request = context.request._replace(id=request_id)
        return True

    def release(self, context: RequestContext) -> None:
        """Free the slot of a request that is over: answered, with no attempt out."""
        if context.answered and context.attempt is None:
            self._contexts.remove(context.id)

    def count_attempt(self, context: RequestContext) -> None:
        """Count an attempt whose line was sent whole."""
        self._counters.attempts += 1
        self._class_counts[context.request.class_index].attempts += 1

    def reject_unaccepted(self, request: Request, client_request_id: str, reason: str) -> None:
        """Count a request that is rejected without being accepted; its answer is the caller's."""
        self.log.not_accepted(client_request_id, reason)
        self._count_rejected(request)

    def mark_established(self, context: RequestContext) -> None:
        """Note that the session of a request is established, which is its answer; joining is the caller's."""
        context.established = context.answered = True
        self._count_served(context)
        self.log.answered(context, "UP", "the peer's answer")

    def mark_disconnected(self, context: RequestContext) -> None:
        """Note that the client left before its answer: none is owed any more."""
        context.answered = True
        self._counters.left += 1
        self.log.answered(context, "none", "the client left")

    def complete(self, context: RequestContext, answer: bytes) -> None:
        """Answer a request that its endpoint served without a session."""
        context.answered = True
        self._count_served(context)
        self.log.answered(context, "BYE", "the peer's answer")
        context.downstream.complete(answer)

    def reject(self, context: RequestContext, retry_after: timedelta) -> None:
        """Answer a request that had no effect, unless it has an answer."""
        if context.answered:
            return
        context.answered = True
        self._count_rejected(context.request)
        self.log.answered(context, "BUSY", self._decided_by())
        context.downstream.reject(retry_after)
        self.release(context)

    def fail(self, context: RequestContext) -> None:
        """Answer a request whose effect is unknown, unless it has an answer."""
        if context.answered:
            return
        context.answered = True
        self._counters.failed += 1
        self.log.answered(context, "ERR", self._decided_by())
        self._class_counts[context.request.class_index].failed += 1
        context.downstream.fail()
        self.release(context)

    def _decided_by(self) -> str:
        """What decided an answer that no endpoint gave, for the log."""
        return "the node leaves" if self.shutting_down else "the module"

    def _count_rejected(self, request: Request) -> None:
        self._counters.rejected += 1
        self._class_counts[request.class_index].refused += 1

    def _count_served(self, context: RequestContext) -> None:
        self._counters.served += 1
        self._class_counts[context.request.class_index].served += 1
