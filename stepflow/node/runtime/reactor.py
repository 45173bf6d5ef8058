"""Twisted's reactor, configured to keep serving through clock steps and shortages of the machine.

It changes three behaviors of Twisted, through names that Twisted doesn't document:

- Twisted schedules calls by `time.time`. After the wall clock is set back, a due call waits until the clock
  has caught up; after it is set forward, calls are made too early, including timeouts of connections. Here
  calls are scheduled by the monotonic clock.
- Twisted keeps a file descriptor in reserve. Once no other is left, it uses the reserved one to accept and
  close all waiting clients. Here the clients wait until a descriptor is free.
- Twisted raises the error of a failed epoll_ctl(2) in whatever call starts or stops reading or writing. Here
  the registration of a descriptor for which the kernel lacks memory is retried after a short delay.
"""

# Twisted's reactors have no types.
# mypy: disallow-untyped-calls=False

from __future__ import annotations

import errno
import time
from contextlib import suppress
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from stepflow.node.runtime.transports import DelayedCall, Reactor

_SHORTAGE_ERRNOS = frozenset({errno.ENOMEM, errno.ENOSPC})
_WATCH_RETRY_DELAY_S = 0.005


class ServingReactor(EPollReactor):
    """Twisted's epoll(7) reactor, which retries registrations that fail for lack of memory.

    In the methods, `xer` is the reader or writer; `primary` and `other` are the sets of descriptors that are
    watched for `event` and for `other_event`; `selectables` maps descriptors to the watched objects.
    """

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        self._retries: dict[tuple[Any, int], DelayedCall] = {}
        super().__init__()

    def _add(
        self,
        xer: Any,
        primary: set[int],
        other: set[int],
        selectables: dict[int, Any],
        event: int,
        other_event: int,
    ) -> None:
        """Start watching `xer` for `event`; retry later if the kernel lacks memory."""
        self._cancel_retry(xer, event)
        arguments = (xer, primary, other, selectables, event, other_event)
        try:
            cast(Any, super())._add(*arguments)
        except OSError as error:
            if error.errno not in _SHORTAGE_ERRNOS:
                raise
            self._retries[xer, event] = cast(Any, self).callLater(_WATCH_RETRY_DELAY_S, self._add, *arguments)

    def _remove(
        self,
        xer: Any,
        primary: set[int],
        other: set[int],
        selectables: dict[int, Any],
        event: int,
        other_event: int,
    ) -> None:
        """Stop watching `xer` for `event` in this turn: its descriptor may be closed and reused."""
        self._cancel_retry(xer, event)
        descriptor = xer.fileno()
        watches_other = descriptor in other
        try:
            cast(Any, super())._remove(xer, primary, other, selectables, event, other_event)
        except OSError as error:
            if error.errno not in _SHORTAGE_ERRNOS:
                raise
            self._forget(descriptor)
            if watches_other:
                self._add(xer, other, primary, selectables, other_event, event)

    def _forget(self, descriptor: int) -> None:
        """Remove a descriptor from epoll and from all sets."""
        with suppress(OSError):
            self._poller.unregister(descriptor)
        self._reads.discard(descriptor)
        self._writes.discard(descriptor)
        self._selectables.pop(descriptor, None)

    def _cancel_retry(self, xer: Any, event: int) -> None:
        if not self._retries:
            return
        retry = self._retries.pop((xer, event), None)
        if retry is not None and retry.active():
            retry.cancel()


def serving_reactor() -> Reactor:
    """Install the process's reactor; call once, before anything imports `twisted.internet.reactor`."""
    cast(Any, tcp)._reservedFD = cast(Any, tcp)._NullFileDescriptorReservation()
    reactor = ServingReactor()
    installReactor(reactor)
    return cast(Reactor, reactor)
