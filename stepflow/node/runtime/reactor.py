"""Twisted's reactor, set up for a process that must go on serving whatever happens to its machine.

Some of Twisted's ways are changed, by names that Twisted doesn't document:

- It times its calls by `time.time`. Once the wall clock is set back, a due call waits until the clock has
  caught up; set forward, calls come too early, time-outs of connections among them. Here it counts on the
  monotonic clock.
- It keeps a file descriptor in reserve. Once no other is left, it accepts and closes all clients that wait,
  by means of that one. Here they wait until a descriptor is free.
- It raises what epoll_ctl(2) fails with, in the midst of whatever starts or stops to read or write. Here a
  connection that the kernel has no memory to watch is watched a moment later.
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

_SCARCE = frozenset({errno.ENOMEM, errno.ENOSPC})
_WATCH_RETRY_DELAY_S = 0.005


class ServingReactor(EPollReactor):
    """Twisted's reactor of epoll(7), which watches what it could not watch at once a moment later.

    Of its methods' arguments, `primary` and `other` are the sets of descriptors that are watched for `event`
    and for `other_event`, and `selectables` the watched objects by their descriptors.
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
        """Watch for an event too."""
        self._cancel_retry(xer, event)
        arguments = (xer, primary, other, selectables, event, other_event)
        try:
            cast(Any, super())._add(*arguments)
        except OSError as error:
            if error.errno not in _SCARCE:
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
        """Watch for an event no more; in this turn, since the descriptor may be closed and used again."""
        self._cancel_retry(xer, event)
        descriptor = xer.fileno()
        watches_other = descriptor in other
        try:
            cast(Any, super())._remove(xer, primary, other, selectables, event, other_event)
        except OSError as error:
            if error.errno not in _SCARCE:
                raise
            self._forget(descriptor)
            if watches_other:
                self._add(xer, other, primary, selectables, other_event, event)

    def _forget(self, descriptor: int) -> None:
        """Watch a descriptor for nothing."""
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
    """Install the process's reactor; once, before anything else imports Twisted's."""
    cast(Any, tcp)._reservedFD = cast(Any, tcp)._NullFileDescriptorReservation()
    reactor = ServingReactor()
    installReactor(reactor)
    return cast(Reactor, reactor)
