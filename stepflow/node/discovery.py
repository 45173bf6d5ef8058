"""Discovery: the calls that keep the endpoint list up to date, by polls of the policy or a watch of an agent.

`PolicyWatch` owns the calls of the policy's watch, `AgentWatch` those of an agent (docs/discovery.md). A
failed call is logged and counted. The policy gets a list update of kind `FAILED`, unless the call is retried
or the policy's next poll is scheduled already.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import h11

from stepflow.address import Address
from stepflow.interface import ListUpdateKind, SafetyRules
from stepflow.logs import get_logger
from stepflow.node.agent_watch import AgentWatch
from stepflow.node.core import Core
from stepflow.node.discovery_call import CallHandlers, DiscoveryCall, SingleCallFactory
from stepflow.node.list_transfer import ListTransfer
from stepflow.node.policy_watch import PolicyWatch
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Connector
from stepflow.upstream import EndpointGroup, EndpointListError
from stepflow.upstream.agent_schedule import call_interval_us
from stepflow.upstream.poll_schedule import unanswered_call_limit_us

log = get_logger()

CONNECT_TIMEOUT = timedelta(seconds=1)
AGENT_FIRST_ANSWER_TIMEOUT = timedelta(milliseconds=500)  # limit on a starting node's wait for the list
LIST_PATH = "/v1/servers"


class DiscoveryClient:
    """Calls discovery for the policy and passes the list updates to the core (`core.Discovery`).

    If lists are pushed, the policy doesn't poll: an agent on this machine holds the pushed list, and the
    whole list counts as known. An `AgentWatch` then keeps the watch (`start_agent_watch`): the policy gets
    lists, as on the simulator's wire, and neither requests them nor is notified of failed calls.

    `connect` takes an address, a factory and a timeout in seconds, and starts a connection. Each message that
    has changed the list is also passed to `on_applied`, if that is set.
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
        self._rules = SafetyRules()  # until `update_rules`
        self._policy_watch = PolicyWatch(
            self._new_watch_call, timers, self._policy_call_interval(), self._policy_call_failed
        )
        self._fetches: dict[DiscoveryCall, None] = {}
        self._agent_watch: AgentWatch | None = None  # if lists are pushed
        self._agent_fault = ""  # why the agent's last call failed; empty after a list
        self._on_first_answer: Callable[[], None] | None = None  # kept until the agent's first answer
        self.on_applied: Callable[[ListTransfer], None] | None = None
        self._has_received_list = False  # from discovery itself, not from the other process of a hand-over

    def start_agent_watch(self, on_first_answer: Callable[[], None]) -> None:
        """Start a watch of the agent, which is kept open for good.

        `on_first_answer` is called after the first answer, or after `AGENT_FIRST_ANSWER_TIMEOUT`. The agent's
        list counts as known from the start of this process: no request may go to an endpoint before
        `on_first_answer` is called.
        """
        self._agent_watch = AgentWatch(
            self._new_agent_call, self._timers, self._agent_call_interval(), self._agent_call_failed
        )
        self._on_first_answer = on_first_answer
        self._timers.after(AGENT_FIRST_ANSWER_TIMEOUT, self._report_first_answer)
        self._agent_watch.start()

    def update_rules(self, rules: SafetyRules) -> None:
        """Use the times of new settings from now on; to be called before the first watch, too."""
        self._rules = rules
        self._policy_watch.call_interval = self._policy_call_interval()
        if self._agent_watch is not None:
            self._agent_watch.call_interval = self._agent_call_interval()

    def start_watch(self) -> None:
        """Start a watch now, ahead of the policy's first poll, which that watch then serves as well.

        A process that replaces another one has to know soon what discovery tells; its predecessor, and the
        watch that it had, may end at any time. A failure is left to the policy's poll.
        """
        self._policy_watch.start_early()

    def watch(self, enabled: bool) -> None:
        """Start a watch from the revision held, replacing an open watch; or stop watching."""
        self._policy_watch.watch(enabled)

    def fetch(self) -> None:
        """Request the complete list once."""
        call = self._new_call(LIST_PATH, CallHandlers(self._value_received, self._fetch_ended))
        self._fetches[call] = None
        call.begin()

    def change_address(self, address: Address) -> None:
        """Replace all calls by calls to another address; the ends of the old calls aren't reported.

        The new watch starts from the revision held. What the old address has told still counts, and the new
        one may not answer for a while: so that is read first.
        """
        self.read_pending()
        self._address = address
        if self._agent_watch is not None:
            self._agent_watch.start()
        self._policy_watch.address_changed()
        for call in self._pop_fetches():
            call.close("replaced")
            self.fetch()

    def apply_transferred(self, transfer: ListTransfer) -> None:
        """Apply a message that the other process of a hand-over has received.

        Until this process has a list from discovery, it continues the other one's list. From then on, it
        ignores messages of another source, and those that its own list includes.
        """
        if self._has_received_list and transfer.source != str(self._address):
            return
        is_first_of_call = transfer.is_first_of_call and not self._has_received_list
        try:
            is_full, endpoints = self._group.apply(transfer.message, is_first_of_call)
        except EndpointListError as error:
            log.warning("invalid endpoint list of the other process", fault=error)
            return
        self._core.endpoint_list_updated(ListUpdateKind.FULL if is_full else ListUpdateKind.DELTA, endpoints)

    def read_pending(self) -> None:
        """Apply what discovery has written to open calls, and this process has not read yet."""
        if self._agent_watch is not None:
            self._agent_watch.read_pending()
        self._policy_watch.read_pending()
        for call in tuple(self._fetches):
            call.read_pending()

    def close(self) -> None:
        """Close all calls."""
        agent_watch, self._agent_watch, self._on_first_answer = self._agent_watch, None, None
        if agent_watch is not None:
            agent_watch.close()
        self.watch(False)
        for call in self._pop_fetches():
            call.close("closed")

    def _pop_fetches(self) -> dict[DiscoveryCall, None]:
        """Remove and return all fetches, so that their end isn't reported."""
        fetches, self._fetches = self._fetches, {}
        return fetches

    def _report_first_answer(self) -> None:
        on_first_answer, self._on_first_answer = self._on_first_answer, None
        if on_first_answer is not None:
            on_first_answer()

    def _policy_call_interval(self) -> timedelta:
        return timedelta(microseconds=unanswered_call_limit_us(self._rules.list_refresh_us))

    def _agent_call_interval(self) -> timedelta:
        return timedelta(microseconds=call_interval_us(self._rules))

    def _watch_path(self) -> str:
        return f"{LIST_PATH}?watch=1&from={self._group.revision}"

    def _new_watch_call(self, watch: PolicyWatch) -> DiscoveryCall:
        return self._new_call(self._watch_path(), CallHandlers(self._value_received, watch.ended))

    def _new_agent_call(self, watch: AgentWatch) -> DiscoveryCall:
        handlers = CallHandlers(self._value_received, watch.ended, watch.part_received)
        return self._new_call(self._watch_path(), handlers)

    def _new_call(self, path: str, handlers: CallHandlers) -> DiscoveryCall:
        request = h11.Request(method="GET", target=path, headers=[("host", str(self._address))])
        return DiscoveryCall(self._connect_call, request, self._timers, handlers)

    def _connect_call(self, call: DiscoveryCall) -> Connector:
        return self._connect(self._address, SingleCallFactory(call), CONNECT_TIMEOUT.total_seconds())

    def _value_received(self, call: DiscoveryCall, message: object) -> None:
        """Apply a list or a change to the list, and pass it to the core."""
        try:
            is_first_of_call, changes_before = not call.answered, self._group.change_count
            is_full, endpoints = self._group.apply(message, is_first_of_call)
        except EndpointListError as error:
            call.close(f"bad list: {error}")
            return
        call.answered = self._has_received_list = True
        self._counters.lists += 1
        self._policy_watch.list_received(call, is_first_of_call)
        if self._agent_watch is not None:
            self._agent_fault = ""
            self._agent_watch.list_received(call, is_first_of_call)
        self._core.endpoint_list_updated(ListUpdateKind.FULL if is_full else ListUpdateKind.DELTA, endpoints)
        if self.on_applied is not None and self._group.change_count != changes_before:
            self.on_applied(ListTransfer(message, is_first_of_call, str(self._address)))
        self._report_first_answer()

    def _fetch_ended(self, call: DiscoveryCall, reason: str) -> None:
        is_replaced = self._fetches.pop(call, call) is call
        if not is_replaced and not call.answered:
            self._policy_call_failed(reason, is_reported=True)

    def _policy_call_failed(self, reason: str, is_reported: bool) -> None:
        self._counters.lists_failed += 1
        log.info("discovery call failed", why=reason)
        if is_reported:
            # The core queues the event if the call failed while an action of the policy is carried out.
            self._core.endpoint_list_updated(ListUpdateKind.FAILED, ())

    def _agent_call_failed(self, reason: str) -> None:
        """Count the failure; log it unless it is the same as the last one since the last list."""
        self._counters.lists_failed += 1
        if reason != self._agent_fault:
            self._agent_fault = reason
            log.info("discovery call failed", why=reason)
