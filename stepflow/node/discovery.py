"""Discovery: the calls that keep the endpoint list up to date, asked for by the policy or pushed by an agent.

It owns the calls and their retries, while the policy decides when to poll (docs/discovery.md). A call that
fails is logged and counted; where it is the policy's affair, it is told as an update that brought no list.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import h11

from stepflow.address import Address
from stepflow.interface import ListUpdateKind
from stepflow.logs import get_logger
from stepflow.node.core import Core
from stepflow.node.discovery_call import DiscoveryCall, SingleCallFactory
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Connector
from stepflow.upstream import EndpointGroup, EndpointListError
from stepflow.upstream.poll_schedule import ANSWER_TIMEOUT_US

log = get_logger()

ANSWER_TIMEOUT = timedelta(microseconds=ANSWER_TIMEOUT_US)
CONNECT_TIMEOUT = timedelta(seconds=1)
# After a change of the address the first failures are tried again soon, and are not the policy's affair:
# its waits, which grow while discovery is out of reach, were for the old address.
ADDRESS_CHANGE_RETRY_DELAY = timedelta(milliseconds=250)
ADDRESS_CHANGE_RETRY_SPAN = timedelta(seconds=2)
# An agent on the node's own machine answers at once and at no cost, or has nothing to say.
AGENT_ANSWER_TIMEOUT = timedelta(seconds=1)
AGENT_MIN_RETRY_DELAY = timedelta(milliseconds=100)  # doubled at each failure
AGENT_MAX_RETRY_DELAY = timedelta(seconds=1)
AGENT_FIRST_ANSWER_TIMEOUT = timedelta(milliseconds=500)  # the most that a start waits for the agent's list
LIST_PATH = "/v1/servers"


class DiscoveryClient:
    """Calls discovery when the policy asks, and tells the core what comes (`core.Discovery`).

    Where lists are pushed, the policy doesn't poll: an agent on this machine holds what was sent, and all of
    that counts as known. There the watch is this client's own affair (`keep_watch`): the policy gets lists,
    as on the simulator's wire, and neither asks for them nor is told that a call failed.

    `connect` begins a connection to an address, for a factory, which may take so many seconds to come up.
    """

    def __init__(
        self,
        connect: Callable[[Address, SingleCallFactory, float], Connector],
        address: Address,
        group: EndpointGroup,
        core: Core,
        timers: Timers,
        counters: Counters,
    ) -> None:
        self._connect, self._address = connect, address
        self._group, self._core, self._timers, self._counters = group, core, timers, counters
        self._watch_wanted = False  # by the policy
        self._watch: DiscoveryCall | None = None
        self._fetches: dict[DiscoveryCall, None] = {}
        # A change of the address has begun the watch, while the policy waits to poll again.
        self._watch_is_early = False
        self._retry_timer: Timer | None = None
        self._retries_left = 0  # failures of the watch that are not the policy's affair
        self._agent_keeps = False  # the watch is kept here, whatever the policy wants
        self._agent_retry_delay = AGENT_MIN_RETRY_DELAY
        self._first_answered: Callable[[], None] | None = None  # until a kept watch has its first answer

    def keep_watch(self, first_answered: Callable[[], None]) -> None:
        """Begin a watch of the agent, and begin it again whenever it ends.

        `first_answered` follows its first answer, or `AGENT_FIRST_ANSWER_TIMEOUT`. What the agent holds
        counts as known from this process's first moment: no request may go to an endpoint before.
        """
        self._agent_keeps = self._watch_wanted = True
        self._first_answered = first_answered
        self._timers.after(AGENT_FIRST_ANSWER_TIMEOUT, self._tell_first_answer)
        self._replace_watch()

    def watch(self, on: bool) -> None:
        """Ask for updates from the version that is held, in place of a watch that is open; or end it."""
        is_early, self._watch_is_early = self._watch_is_early, False
        is_open = self._watch is not None or self._retry_timer is not None
        if on and is_early and self._watch_wanted and is_open:
            return  # the answer to the call that the change of the address has begun serves this one too
        self._watch_wanted, self._retries_left = on, 0
        self._replace_watch()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        call = self._new_call(LIST_PATH)
        self._fetches[call] = None
        call.begin()

    def change_address(self, address: Address) -> None:
        """Go on at another address in one step: from the version held, and without telling of a failure."""
        self._address, self._agent_retry_delay = address, AGENT_MIN_RETRY_DELAY
        # A policy that was told of a failure polls again in its own time: that may be too late.
        is_open = self._watch is not None or self._retry_timer is not None
        self._watch_is_early = self._watch_wanted and not is_open
        self._retries_left = ADDRESS_CHANGE_RETRY_SPAN // ADDRESS_CHANGE_RETRY_DELAY
        self._replace_watch()
        for call in self._take_fetches():
            call.close("replaced")
            self.fetch()

    def close(self) -> None:
        """End all calls."""
        self._agent_keeps, self._first_answered = False, None
        self.watch(False)
        for call in self._take_fetches():
            call.close("closed")

    def _take_fetches(self) -> dict[DiscoveryCall, None]:
        """Forget all fetches, so that their end is told to nobody."""
        fetches, self._fetches = self._fetches, {}
        return fetches

    def _tell_first_answer(self) -> None:
        first_answered, self._first_answered = self._first_answered, None
        if first_answered is not None:
            first_answered()

    def _replace_watch(self) -> None:
        old, self._watch = self._watch, None
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._watch_wanted:
            self._watch = self._new_call(f"{LIST_PATH}?watch=1&from={self._group.revision}")
            self._watch.begin()
        if old is not None:  # it is no longer known here, so its end is told to nobody
            old.close("replaced")

    def _new_call(self, path: str) -> DiscoveryCall:
        address = self._address
        request = h11.Request(method="GET", target=path, headers=[("host", str(address))])
        timeout = CONNECT_TIMEOUT.total_seconds()
        return DiscoveryCall(
            lambda call: self._connect(address, SingleCallFactory(call), timeout),
            request,
            self._timers,
            AGENT_ANSWER_TIMEOUT if self._agent_keeps else ANSWER_TIMEOUT,
            self._value_received,
            self._call_ended,
        )

    def _value_received(self, call: DiscoveryCall, message: object) -> None:
        """Take a list, or a change of it, and tell the core."""
        try:
            is_full, endpoints = self._group.apply(message, is_first_of_call=not call.answered)
        except EndpointListError as error:
            call.close(f"bad list: {error}")
            return
        call.answered = True
        self._counters.lists += 1
        if call is self._watch:
            self._retries_left = 0  # the new address serves: what fails from now on is the policy's affair
            self._agent_retry_delay = AGENT_MIN_RETRY_DELAY
        self._core.endpoint_list_updated(ListUpdateKind.FULL if is_full else ListUpdateKind.DELTA, endpoints)
        if call is self._watch:
            self._tell_first_answer()

    def _call_ended(self, call: DiscoveryCall, reason: str) -> None:
        is_watch, is_fetch = call is self._watch, self._fetches.pop(call, call) is None
        if not is_watch and (call.answered or not is_fetch):
            return  # a whole list that came, or a call that was replaced
        self._counters.lists_failed += 1
        log.info("discovery call ended", why=reason)
        if is_watch:
            self._watch = None
            if self._retry_watch():
                return
            is_early, self._watch_is_early = self._watch_is_early, False
            if is_early:
                return  # the policy waits to poll again as it is
        # Never from within the policy's own call: it is told of the failure as of any other event.
        self._core.endpoint_list_updated(ListUpdateKind.FAILED, ())

    def _retry_watch(self) -> bool:
        """Begin the watch again after a while, if its failure is not the policy's affair."""
        if self._agent_keeps:
            delay = self._agent_retry_delay
            self._agent_retry_delay = min(2 * delay, AGENT_MAX_RETRY_DELAY)
        elif self._retries_left > 0:
            self._retries_left -= 1
            delay = ADDRESS_CHANGE_RETRY_DELAY
        else:
            return False
        self._retry_timer = self._timers.after(delay, self._replace_watch)
        return True
