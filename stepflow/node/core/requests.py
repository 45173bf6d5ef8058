"""The table of open requests, and the answers to clients.

`RequestTable` owns the contexts of all open requests. A request is answered, its answer counted and its slot
freed only here.
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
    """All open requests by id, up to a maximum number.

    A request is open until it is answered and its last attempt has ended.
    """

    def __init__(self, clock: Clock, counters: Counters, slots: int) -> None:
        self._counters = counters
        self._contexts: SlotTable[RequestContext] = SlotTable(slots)
        self._class_counts: list[ClassCounts] = []
        self.log = RequestLog(clock, counters)
        self.shutting_down = False  # requests are no longer accepted or retried

    def update_settings(self, settings: Settings) -> None:
        """Count requests by the classes of these settings from now on."""
        self._class_counts = [
            self._counters.for_class(request_class.name) for request_class in settings.classes
        ]

    def __len__(self) -> int:
        return len(self._contexts)

    def __iter__(self) -> Iterator[RequestContext]:
        """Iterate over the contexts held now; the table may change during the iteration."""
        return iter(self._contexts)

    def get(self, request_id: int) -> RequestContext | None:
        """Return the context of a request, or None once the request is released."""
        return self._contexts.get(request_id)

    def add(self, context: RequestContext) -> bool:
        """Add a request and set its id; return False if the table is full."""
        request_id = self._contexts.add(context)
        if request_id is None:
            return False
        context.request = context.request._replace(id=request_id)
        return True

    def release(self, context: RequestContext) -> None:
        """Free the slot of a request if it is answered and its last attempt has ended."""
        if context.answered and context.attempt is None:
            self._contexts.remove(context.id)

    def count_attempt(self, context: RequestContext) -> None:
        """Count an attempt whose OPEN line was sent completely."""
        context.possible_runs += 1
        self._counters.attempts += 1
        self._class_counts[context.request.class_index].attempts += 1

    def reject_unaccepted(self, request: Request, client_request_id: str, reason: str) -> None:
        """Count a request that is rejected without being accepted; the caller sends the answer."""
        self.log.not_accepted(client_request_id, reason)
        self._count_rejected(request)

    def mark_established(self, context: RequestContext) -> None:
        """Record that the request's session is established, which is its answer.

        The caller connects the client with the attempt.
        """
        context.established = context.answered = True
        self._count_served(context)
        self.log.answered(context, "UP", "endpoint answer")

    def mark_disconnected(self, context: RequestContext) -> None:
        """Record that the client disconnected before its answer; the request no longer needs an answer."""
        context.answered = True
        self._counters.left += 1
        self.log.answered(context, "none", "client disconnected")

    def complete(self, context: RequestContext, answer: bytes) -> None:
        """Answer a request that its endpoint completed without a session."""
        context.answered = True
        self._count_served(context)
        self.log.answered(context, "BYE", "endpoint answer")
        context.downstream.complete(answer)

    def reject(self, context: RequestContext, retry_after: timedelta) -> None:
        """Answer a request that had no effect, unless it is answered already."""
        if context.answered:
            return
        context.answered = True
        self._count_rejected(context.request)
        self.log.answered(context, "BUSY", self._decided_by())
        context.downstream.reject(retry_after)
        self.release(context)

    def fail(self, context: RequestContext) -> None:
        """Answer a request whose effect is unknown, unless it is answered already."""
        if context.answered:
            return
        context.answered = True
        self._counters.failed += 1
        self.log.answered(context, "ERR", self._decided_by())
        self._class_counts[context.request.class_index].failed += 1
        context.downstream.fail()
        self.release(context)

    def _decided_by(self) -> str:
        """Return the log's reason for an answer that came from no endpoint."""
        return "node shutting down" if self.shutting_down else "policy decision"

    def _count_rejected(self, request: Request) -> None:
        self._counters.rejected += 1
        self._class_counts[request.class_index].refused += 1

    def _count_served(self, context: RequestContext) -> None:
        self._counters.served += 1
        self._class_counts[context.request.class_index].served += 1
