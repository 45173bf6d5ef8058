"""The watch of a discovery that is asked: the calls behind the watch that the policy asks for.

The policy schedules the polls; a poll starts a watch, and the policy is notified when that has failed. This
module retries some failures itself instead, and takes a watch that was started ahead of a poll for that poll.

A call may stay without an answer though discovery answers others: a connection that was cut off gives no sign
of that. So a further call is made beside it in the time that the settings leave. The older one stays open, as
it keeps its place in the queue of a discovery that serves one call after another.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.logs import get_logger
from stepflow.node.discovery_call import ANSWER_TIMEOUT, DiscoveryCall
from stepflow.node.runtime.clock import millis
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.watch_calls import WatchCalls

log = get_logger()

# After a change of the address, the first failures are retried soon and not reported to the policy: its
# backoff, which grows while discovery is unreachable, applies to the old address.
ADDRESS_CHANGE_RETRY_DELAY = timedelta(milliseconds=250)
ADDRESS_CHANGE_RETRY_SPAN = timedelta(seconds=2)


class PolicyWatch:
    """Keeps the watch that the policy asks for.

    Args of the constructor:
        new_call: Returns a call that asks for a watch and reports to the argument; not begun yet.
        call_interval: The time after which another call is made beside one that has brought no list; may be
            replaced at any time. From `ANSWER_TIMEOUT` on there is none: the call itself ends before.
        failed: Called with the reason when a call has failed, and with whether the policy has to be notified.
    """

    def __init__(
        self,
        new_call: Callable[[PolicyWatch], DiscoveryCall],
        timers: Timers,
        call_interval: timedelta,
        failed: Callable[[str, bool], None],
    ) -> None:
        self._new_call, self._timers, self._failed = new_call, timers, failed
        self.call_interval = call_interval
        self._is_wanted = False
        self._calls = WatchCalls()
        self._call_timer: Timer | None = None  # pending until a call is to be made beside the last one
        self._started_early = False  # before the policy's next poll, which this watch serves as well
        self._retry_timer: Timer | None = None
        self._retries_left = 0  # failures to retry here instead of reporting them to the policy

    def start_early(self) -> None:
        """Start a watch now, ahead of the policy's first poll. A failure is left to that poll."""
        self._is_wanted = self._started_early = True
        self._replace()

    def watch(self, enabled: bool) -> None:
        """Start a watch from the revision held, replacing an open watch; or stop watching."""
        started_early, self._started_early = self._started_early, False
        if enabled and started_early and self._is_wanted and self._is_open:
            return
        self._is_wanted, self._retries_left = enabled, 0
        self._replace()

    def address_changed(self) -> None:
        """Replace the watch by one at the new address."""
        # After a reported failure, the policy polls only at the end of its backoff, which may be too late.
        self._started_early = self._is_wanted and not self._is_open
        self._retries_left = ADDRESS_CHANGE_RETRY_SPAN // ADDRESS_CHANGE_RETRY_DELAY
        self._replace()

    def read_pending(self) -> None:
        """Apply what discovery has written, and this process has not read yet."""
        self._calls.read_pending()

    def list_received(self, call: DiscoveryCall, is_first_of_call: bool) -> None:
        """Make the call that has brought its first list the watch; later failures go to the policy."""
        if call not in self._calls:
            return
        self._retries_left = 0
        if is_first_of_call:
            self._cancel_call_timer()
            if self._calls.list_received(call):
                self._failed("silent", False)

    def ended(self, call: DiscoveryCall, reason: str) -> None:
        """Handle the end of a call; one that was replaced is ignored."""
        if not self._calls.remove(call):
            return
        if self._calls.watch is not None:  # the other call may still bring a list
            self._failed(reason, False)
            return
        self._cancel_call_timer()
        if self._retry():
            self._failed(reason, False)
            return
        started_early, self._started_early = self._started_early, False
        self._failed(reason, not started_early)  # otherwise the policy's next poll is scheduled already

    @property
    def _is_open(self) -> bool:
        return self._calls.watch is not None or self._retry_timer is not None

    def _retry(self) -> bool:
        """Schedule a retry of the watch; return False if the failure is to be reported to the policy."""
        if self._retries_left == 0:
            return False
        self._retries_left -= 1
        self._retry_timer = self._timers.after(ADDRESS_CHANGE_RETRY_DELAY, self._replace)
        return True

    def _replace(self) -> None:
        old, self._calls = self._calls, WatchCalls()
        self._cancel_call_timer()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._is_wanted:
            self._begin_call()
        old.close()

    def _begin_call(self) -> None:
        if self.call_interval < ANSWER_TIMEOUT:
            self._call_timer = self._timers.after(self.call_interval, self._call_again)
        if not self._calls.is_list_arriving:
            self._calls.begin(self._new_call(self))

    def _call_again(self) -> None:
        if self._calls.newer is None:
            log.info("discovery does not answer, calling again", interval_ms=millis(self.call_interval))
        self._begin_call()

    def _cancel_call_timer(self) -> None:
        if self._call_timer is not None:
            self._call_timer.cancel()
            self._call_timer = None
