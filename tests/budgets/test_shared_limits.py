"""Tests shared limits on a virtual network that loses, delays and duplicates messages and restarts processes.

Injected defects show that the checker detects usage above a limit.
"""

from __future__ import annotations

import doctest
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from standins.members import SECOND, WINDOW_US, FaultRates, VirtualNetwork
from stepflow.budgets import shared_limits, timing
from stepflow.budgets.errors import BudgetError, TooManyMembersError
from stepflow.budgets.leases import LeaseVoter
from stepflow.budgets.loans import Loans
from stepflow.budgets.shared_limits import OutgoingMessage, SharedLimits
from stepflow.budgets.timing import FULL_LIMIT
from stepflow.members import LeaseRequest, LoanGrant, LoanRequest, Membership
from tests.test_terms import LEAN, loaded

HEALTHY = FaultRates(
    loss=0.01, duplicates=0.0, long_delays=0.0, cuts=0.0, partitions=0.0, pauses=0.0, kills=0.0
)


def max_in_window(seeds: range, **faults: Any) -> int:
    """Return the maximum usage within a window, over these seeds and 1 to 7 members."""
    maximum = 0
    for seed in seeds:
        network = VirtualNetwork(seed, 1 + seed % 7, FaultRates(**faults))
        network.run(20)
        maximum = max(maximum, network.checker.max_in_window)
    return maximum


def max_in_window_with_uneven_demand(seeds: int) -> int:
    """Return the maximum usage on a healthy network where one member demands three times its base share."""
    maximum = 0
    for seed in range(seeds):
        network = VirtualNetwork(seed, 3, HEALTHY, lambda member: 3.0 if member == 0 else 0.5)
        network.run(12)
        maximum = max(maximum, network.checker.max_in_window)
    return maximum


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_no_window_exceeds_the_limit(first: int) -> None:
    """Reproduce a failing seed with VirtualNetwork(seed, 1 + seed % 7, FaultRates()).run(20)."""
    assert 0.9 * FULL_LIMIT < max_in_window(range(first, first + 10)) <= FULL_LIMIT


def test_a_restarted_member_of_two_accounts_for_loans_of_its_predecessor() -> None:
    """Guards against a second use of an amount that the predecessor had lent (the benchmark's seed 169)."""
    assert max_in_window(range(169, 170)) <= FULL_LIMIT


def test_no_window_exceeds_the_limit_on_a_network_that_mostly_fails() -> None:
    seeds = range(1000, 1014)
    used = max_in_window(seeds, loss=0.5, duplicates=0.5, long_delays=0.3, cuts=2.0, kills=0.5)
    assert used <= FULL_LIMIT


def test_no_window_exceeds_the_limit_where_shares_follow_demand() -> None:
    assert max_in_window_with_uneven_demand(6) <= FULL_LIMIT


def inject_short_guard_durations(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "guard_duration_us", lambda duration_us: duration_us // 4)


def inject_use_right_after_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    original = SharedLimits.__init__

    def init_without_waiting(self: SharedLimits, *arguments: Any) -> None:
        original(self, *arguments)
        self._usable_from_us = self._leasable_from_us = self._voter.votes_from_us = arguments[-1]

    monkeypatch.setattr(SharedLimits, "__init__", init_without_waiting)


def inject_votes_for_every_candidate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseVoter, "vote", lambda self, now, owner, candidate: True)


def inject_loans_that_do_not_reduce_the_share(monkeypatch: pytest.MonkeyPatch) -> None:
    original = SharedLimits._answer_loan_request

    def answer_without_recording(self: SharedLimits, now: int, request: LoanRequest) -> list[OutgoingMessage]:
        answers = original(self, now, request)
        for account in self._accounts.values():
            account.lent = Loans()
        return answers

    monkeypatch.setattr(SharedLimits, "_answer_loan_request", answer_without_recording)


@pytest.mark.parametrize(
    "inject",
    [
        inject_short_guard_durations,
        inject_use_right_after_the_start,
        inject_votes_for_every_candidate,
        inject_loans_that_do_not_reduce_the_share,
    ],
)
def test_an_injected_defect_is_detected(
    inject: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    inject(monkeypatch)
    assert max(max_in_window(range(21), kills=0.6), max_in_window_with_uneven_demand(6)) > FULL_LIMIT


@pytest.mark.parametrize("count", [1, 2, 3, 5, 7])
def test_most_of_the_limit_is_used_on_a_healthy_network(count: int) -> None:
    network = VirtualNetwork(1, count, HEALTHY)
    network.run(10)
    before = network.checker.total
    network.run(10)
    assert network.checker.total - before > 0.88 * 10 * FULL_LIMIT


def test_shares_follow_demand() -> None:
    """One of three members has the highest demand; with fixed shares it could use only a third."""
    network = VirtualNetwork(2, 3, HEALTHY, lambda member: 3.0 if member == 0 else 0.3)
    network.run(10)
    before = network.used_by_member[0]
    network.run(10)
    assert network.used_by_member[0] - before > 0.45 * 10 * FULL_LIMIT


def test_the_leased_share_of_a_dead_member_is_used_again_and_its_reserved_share_is_not() -> None:
    network = VirtualNetwork(3, 3, HEALTHY)
    network.run(10)
    network.members[2].is_up = False
    used = []
    for _ in range(3):
        before = network.checker.total
        network.run(5, start=False)
        used.append((network.checker.total - before) / 5 / FULL_LIMIT)
    assert 0.8 < used[1] < 11 / 12 and 0.8 < used[2] < 11 / 12


def two_of_three() -> tuple[SharedLimits, SharedLimits]:
    first, second = (
        SharedLimits(Membership(number, 1, range(3), 0), WINDOW_US, random.Random(number), 0)
        for number in range(2)
    )
    return first, second


def exchange_until_leased(first: SharedLimits, second: SharedLimits, now: int) -> int:
    """Exchange messages until both hold their leases; return the time of the last round."""
    for _ in range(20):
        now += 300_000
        for candidate, voter in ((first, second), (second, first)):
            for receiver, message in candidate.tick(now):
                if receiver == voter.membership.own_number:
                    for _, answer in voter.receive(now, message):
                        candidate.receive(now, answer)
    return now


def borrow() -> tuple[SharedLimits, int, LoanGrant]:
    """Return a borrower, the time, and the grant that answers its loan request."""
    borrower, lender = two_of_three()
    now = exchange_until_leased(borrower, lender, 0)
    borrower.try_use(now, 5, FULL_LIMIT)
    [request] = [
        message
        for receiver, message in borrower.tick(now + 1)
        if isinstance(message, LoanRequest) and receiver == 1
    ]
    [(_, grant)] = lender.receive(now + 2, request)
    assert isinstance(grant, LoanGrant)
    return borrower, now, grant


def test_a_member_without_a_majority_has_its_reserved_share_only() -> None:
    first, second = two_of_three()
    now = exchange_until_leased(first, second, 0)
    assert first.available_share(now) > first.base_share  # also leases the share of the third, silent member
    assert first.available_share(now + 3 * SECOND) == first.reserved_share


def test_a_loan_that_has_ended_while_the_process_was_stopped_adds_nothing() -> None:
    borrower, now, grant = borrow()
    late = now + 10 * SECOND
    assert borrower.receive(late, grant) == []
    assert borrower.available_share(late, 5) == borrower.reserved_share


def test_a_loan_grant_counts_once_and_only_with_the_request_s_nonce() -> None:
    borrower, now, grant = borrow()
    before = borrower.available_share(now + 3, 5)
    borrower.receive(now + 3, grant._replace(nonce=grant.nonce ^ 2))
    assert borrower.available_share(now + 3, 5) == before
    for _ in range(3):
        borrower.receive(now + 3, grant)
    assert borrower.available_share(now + 3, 5) == before + grant.amount > before


def test_a_superseded_process_uses_and_sends_nothing() -> None:
    first, second = two_of_three()
    now = exchange_until_leased(first, second, 0)
    first.receive(now, LeaseRequest(0, 2, 9, frozenset()))
    assert not first.try_use(now, 0, 1) and first.tick(now) == []


def test_the_number_of_limits_is_bounded() -> None:
    first, _ = two_of_three()
    now = 5 * SECOND
    assert sum(first.try_use(now, limit, 1) for limit in range(1000)) == shared_limits.MAX_LIMITS
    first.tick(now + 2 * SECOND)
    assert first.try_use(now + 2 * SECOND, 5000, 1)


def test_the_example_in_the_docs_runs() -> None:
    page = Path(__file__).resolve().parents[2] / "docs" / "budgets.md"
    failed, tried = doctest.testfile(str(page), module_relative=False)
    assert (failed, tried > 8) == (0, True)


def test_a_node_does_not_load_shared_limits() -> None:
    modules = {"stepflow.members", "stepflow.budgets.shared_limits", "stepflow.node.member_port"}
    assert not modules & loaded(LEAN)


def test_too_many_members_are_rejected() -> None:
    with pytest.raises(TooManyMembersError) as error:
        SharedLimits(Membership(0, 1, range(65), 0), WINDOW_US, random.Random(1), 0)
    assert isinstance(error.value, BudgetError) and isinstance(error.value, ValueError)
