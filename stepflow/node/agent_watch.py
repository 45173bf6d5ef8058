"""The watch of an agent that pushes lists: the calls that keep one open and replace it when it fails.

An agent that is silent may answer the calls that it holds, or only new ones, once it speaks again. So this
module keeps one call open and makes further calls beside it; the first that brings a list becomes the watch.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.logs import get_logger
from stepflow.node.discovery_call import DiscoveryCall
from stepflow.node.runtime.clock import millis
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.watch_calls import WatchCalls
from stepflow.upstream.agent_schedule import SILENCE_LIMIT_US

log = get_logger()

SILENCE_LIMIT = timedelta(microseconds=SILENCE_LIMIT_US)


class AgentWatch:
    """Keeps a watch of the agent open.

    While the watch gives no sign of life, a newer call is made beside it, and made anew after each
    `call_interval`, however long the agent stays silent.

    Args of the constructor:
        new_call: Returns a call that asks for a watch and reports to the argument; not begun yet.
        call_interval: The time between two calls; may be replaced at any time.
        failed: Called with the reason when a call has failed; a newer call that is replaced doesn't count.
    """

    def __init__(
        self,
        new_call: Callable[[AgentWatch], DiscoveryCall],
        timers: Timers,
        call_interval: timedelta,
        failed: Callable[[str], None],
    ) -> None:
        self._new_call, self._timers, self._failed = new_call, timers, failed
        self.call_interval = call_interval
        self._calls = WatchCalls()
        self._is_in_value = False  # the watch has begun a value and not ended it
        self._calls_since_list = 0
        self._pace_timer: Timer | None = None  # pending for `call_interval` after each call
        self._alive_timer: Timer | None = None  # pending while the watch counts as alive

    def start(self) -> None:
        """Call the agent now, in place of all calls so far."""
        self.close()
        self._call()

    def close(self) -> None:
        """Close all calls."""
        _cancel(self._pace_timer)
        _cancel(self._alive_timer)
        self._calls.close()

    def read_pending(self) -> None:
        """Apply what the agent has written, and this process has not read yet."""
        self._calls.read_pending()

    def list_received(self, call: DiscoveryCall, is_first_of_call: bool) -> None:
        """Make the call that has brought its first list the watch, and close the other one."""
        if not is_first_of_call or call not in self._calls:
            return
        if self._calls.list_received(call):
            self._failed("silent")
        self._is_in_value = False
        self._set_alive_for(SILENCE_LIMIT)
        if self._calls_since_list > 1:
            log.info("agent answers again", calls=self._calls_since_list)
        self._calls_since_list = 0

    def part_received(self, call: DiscoveryCall) -> None:
        """Note a sign of life: a part of the answer, after its values have been handled.

        A watch that was silent for too long may have missed changes, and stays suspect.
        """
        if call is not self._calls.watch or not _is_pending(self._alive_timer):
            return
        if not call.has_partial_value:
            self._is_in_value = False
            self._set_alive_for(SILENCE_LIMIT)
        elif not self._is_in_value:  # a change has begun to arrive, and has to be complete soon
            self._is_in_value = True
            self._set_alive_for(self.call_interval)

    def ended(self, call: DiscoveryCall, reason: str) -> None:
        """Handle the end of a call; one that was replaced is ignored."""
        is_watch = call is self._calls.watch
        if not self._calls.remove(call):
            return
        if is_watch:
            _cancel(self._alive_timer)
        self._failed(reason)
        self._call_if_due()

    def _set_alive_for(self, span: timedelta) -> None:
        _cancel(self._alive_timer)
        self._alive_timer = self._timers.after(span, self._call_if_due)

    def _call_if_due(self) -> None:
        """Call again if the watch is not known to be alive and the last call was `call_interval` ago."""
        if not _is_pending(self._alive_timer) and not _is_pending(self._pace_timer):
            self._call()

    def _call(self) -> None:
        self._pace_timer = self._timers.after(self.call_interval, self._call_if_due)
        if self._calls.is_list_arriving:
            return
        if self._calls_since_list == 1:
            log.info("agent does not answer, calling again", interval_ms=millis(self.call_interval))
        self._calls_since_list += 1
        self._calls.begin(self._new_call(self))


def _is_pending(timer: Timer | None) -> bool:
    return timer is not None and timer.is_pending


def _cancel(timer: Timer | None) -> None:
    if timer is not None:
        timer.cancel()
