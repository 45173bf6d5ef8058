"""The watch of a discovery that is asked: the calls behind the watch that the policy asks for.

The policy schedules the polls; a poll starts a watch, and the policy is notified when that has failed. This
module retries some failures itself instead, and reads a watch that was started ahead of a poll as that poll.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.node.discovery_call import DiscoveryCall
from stepflow.node.runtime.timers import Timer, Timers

# After a change of the address, the first failures are retried soon and not reported to the policy: its
# backoff, which grows while discovery is unreachable, applies to the old address.
ADDRESS_CHANGE_RETRY_DELAY = timedelta(milliseconds=250)
ADDRESS_CHANGE_RETRY_SPAN = timedelta(seconds=2)


class PolicyWatch:
    """Keeps the watch that the policy asks for.

    Args of the constructor:
        new_call: Returns a call that asks for a watch and reports to the argument; not begun yet.
        failed: Called with the reason when a call has failed, and with whether the policy has to be notified.
    """

    def __init__(
        self,
        new_call: Callable[[PolicyWatch], DiscoveryCall],
        timers: Timers,
        failed: Callable[[str, bool], None],
    ) -> None:
        self._new_call, self._timers, self._failed = new_call, timers, failed
        self._is_wanted = False
        self._call: DiscoveryCall | None = None
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
        if self._call is not None:
            self._call.read_pending()

    def list_received(self, call: DiscoveryCall) -> None:
        """Note a list: later failures are reported to the policy."""
        if call is self._call:
            self._retries_left = 0

    def ended(self, call: DiscoveryCall, reason: str) -> None:
        """Handle the end of a call; one that was replaced is ignored."""
        if call is not self._call:
            return
        self._call = None
        if self._retry():
            self._failed(reason, False)
            return
        started_early, self._started_early = self._started_early, False
        self._failed(reason, not started_early)  # otherwise the policy's next poll is scheduled already

    @property
    def _is_open(self) -> bool:
        return self._call is not None or self._retry_timer is not None

    def _retry(self) -> bool:
        """Schedule a retry of the watch; return False if the failure is to be reported to the policy."""
        if self._retries_left == 0:
            return False
        self._retries_left -= 1
        self._retry_timer = self._timers.after(ADDRESS_CHANGE_RETRY_DELAY, self._replace)
        return True

    def _replace(self) -> None:
        old, self._call = self._call, None
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._is_wanted:
            self._call = self._new_call(self)
            self._call.begin()
        if old is not None:  # no longer `self._call`, so its end isn't reported
            old.close("replaced")
