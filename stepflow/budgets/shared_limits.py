"""A whole that is bounded for all nodes together, and what of it this one may surely spend.

The rule: in no window does the sum of what all processes spend exceed the whole, whichever messages are
lost, late, doubled, whichever links are cut, whoever is paused, killed or started again (docs/budgets.md).

- The whole is a million parts in a million; each place has an equal part, its home part.
- A quarter of that is kept: its place may spend it whatever it hears.
- The rest is leased: who holds it has a majority's votes, each for LEASE_US from when it asked. A voter gives
  a part to nobody else before that is over and what was spent meanwhile has left every window. So a part of a
  place that is gone serves again, and a place that hears no majority holds what is kept only. Of two places
  neither is a majority without the other: there nothing is leased, and each holds its home part.
- What a place does not need of its home part it lends, again counted from when it was asked.

Durations alone are compared, each on one clock. Clocks may run apart by DRIFT.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from stepflow.members import Kind, Message, Standing, View
from stepflow.members.datagrams import MOST_PARTS

ONE = 1_000_000  # a whole, in its parts
KEPT = 4  # of a home part so much is never leased: one in four
LEASE_US = 2_000_000
RENEW_US = 600_000  # between two rounds of asking
LEND_US = 1_500_000
DRIFT = 0.01  # the most that two clocks run apart, as a share
SLACK_US = 20_000  # between a decision and what it leads to
LEND_EVERY_US = (100_000, 1_600_000)  # between two questions for one whole: doubled while unanswered
MOST_WHOLES = 256  # that are counted at a time


def longer(span_us: int) -> int:
    """A span that is over at no clock before it is over at this one."""
    return int(span_us * (1 + 2 * DRIFT)) + SLACK_US


class Vote(NamedTuple):
    holder: int
    until_us: int  # its lease may last so long, by this voter's clock


class Loan(NamedTuple):
    """All that one place has of another, in place of what it had: a loan is renewed without a gap."""

    place: int
    amount: int
    until_us: int


def owed(loans: list[Loan], now: int) -> int:
    """The sum over places of the most that each may have."""
    most: dict[int, int] = {}
    for loan in loans:
        if loan.until_us > now:
            most[loan.place] = max(most.get(loan.place, 0), loan.amount)
    return sum(most.values())


class Spent:
    """What was spent of one whole within the window, and what of it is lent and borrowed."""

    def __init__(self) -> None:
        self.log: deque[tuple[int, int]] = deque()
        self.sum = 0
        self.lent: list[Loan] = []
        self.borrowed: list[Loan] = []
        self.asked: tuple[int, int] = (0, 0)  # the nonce of the last question, and when it went
        self.next_us, self.wait_us = 0, LEND_EVERY_US[0]  # when the next one may go, and how long after it
        self.need, self.short_us = 0, -LEASE_US  # what could not be spent, and when that was seen last

    def fade(self, now: int, window_us: int) -> None:
        """Forget what has left the window, also that of a slower clock, and loans that are over."""
        while self.log and self.log[0][0] <= now - window_us:
            self.sum -= self.log.popleft()[1]
        self.lent = [loan for loan in self.lent if loan.until_us > now]
        self.borrowed = [loan for loan in self.borrowed if loan.until_us > now]


class Shares:
    """One process's part in dividing wholes among the places of its view: events and `now` in, messages out.

    All of a view's places ask each other, so a fleet of many nodes is divided into views of a few, each with
    its fixed part of the whole.
    """

    def __init__(self, view: View, window_us: int, rng: random.Random, now: int) -> None:
        self.view, self.window_us, self._rng = view, longer(window_us), rng
        count = len(view.places)
        if max(view.places) >= MOST_PARTS:
            raise ValueError(f"a view of places beyond {MOST_PARTS - 1}")
        self.home = ONE // count
        self.kept = self.home // KEPT if count > 1 else self.home
        self.part = self.home - self.kept  # what of a home part may go elsewhere
        self._leased = count > 2  # one of two alone is no majority: there both parts stay where they are
        self._quorum = count // 2 + 1
        # A process of this name may have spent, lent and voted a moment ago.
        self._spends_from = now + self.window_us
        self._holds_from = now + longer(LEND_US) + self.window_us
        self._votes_from = now + longer(LEASE_US) + self.window_us
        self._votes: dict[int, Vote] = {}
        self._leases: dict[int, int] = {}  # by part: until when, by this clock
        self._round = (0, 0)  # its nonce, and when it was asked
        self._granted: dict[int, set[int]] = {}  # by part: who has in this round
        self._spent: dict[int, Spent] = {}

    # What may be spent.

    def may_spend(self, now: int, whole: int = 0) -> int:
        """How much of a whole this process holds now, whether or not it was spent."""
        if now < self._spends_from or self.view.superseded:
            return 0
        held = self.kept
        if now >= self._holds_from:
            parts = sum(until > now for until in self._leases.values()) if self._leased else 1
            held += self.part * parts
        if (spent := self._spent.get(whole)) is not None:
            held += owed(spent.borrowed, now) - owed(spent.lent, now)
        return max(0, held)

    def spend(self, now: int, whole: int, amount: int) -> bool:
        """Spend so much of a whole (parts in a million) if it is surely this process's; else it is needed."""
        spent = self._of(whole)
        if spent is None:
            return False
        spent.fade(now, self.window_us)
        if spent.sum + amount > self.may_spend(now, whole):
            spent.need, spent.short_us = max(spent.need, amount), now
            return False
        spent.log.append((now, amount))
        spent.sum += amount
        return True

    def _of(self, whole: int) -> Spent | None:
        if whole not in self._spent and len(self._spent) >= MOST_WHOLES:
            return None
        return self._spent.setdefault(whole, Spent())

    # What is told.

    def poll(self, now: int) -> list[tuple[int, Message]]:
        """What to send now: questions for leases now and then, and for loans where something is needed."""
        sent: list[tuple[int, Message]] = []
        if self.view.superseded:
            return sent
        others = [place for place in self.view.places if place != self.view.me]
        if others and (not self._round[0] or now - self._round[1] >= RENEW_US):
            wanted = self._wanted(now)
            self._round = (self._rng.getrandbits(32) | 1, now)
            self._granted = {part: set() for part in wanted}
            ask = self._message(Kind.RENEW, self._round[0], parts=_bits(wanted))
            for part in wanted:
                if self._vote(now, part, self.view.me):
                    self._count(now, part, self.view.me)
            sent += [(place, ask) for place in others]
        near = [place for place in others if self.view.standing(now, place) == Standing.ALIVE]
        for whole, spent in tuple(self._spent.items()):
            spent.fade(now, self.window_us)
            if spent.need and near and now >= spent.next_us:
                sent.append(self._question(now, whole, spent, near))
            elif not (spent.log or spent.lent or spent.borrowed or spent.need):
                del self._spent[whole]
        return sent

    def _question(self, now: int, whole: int, spent: Spent, near: list[int]) -> tuple[int, Message]:
        """Ask a neighbour for a loan: whose own is over first, if that is soon, else any."""
        spent.asked = (self._rng.getrandbits(32) | 1, now)
        spent.next_us, spent.wait_us = now + spent.wait_us, min(2 * spent.wait_us, LEND_EVERY_US[1])
        last = {loan.place: loan for loan in spent.borrowed if loan.place in near}
        due = min(last.values(), key=lambda loan: loan.until_us, default=None)
        soon = due is not None and due.until_us < now + LEND_US // 2
        place = due.place if due is not None and soon else self._rng.choice(near)
        most = (last[place].amount if place in last else 0) + max(spent.need, self.home // 4)
        spent.need = 0
        return place, self._message(Kind.LEND, spent.asked[0], whole=whole, amount=most)

    def heard(self, now: int, message: Message) -> list[tuple[int, Message]]:
        """Take a message of a neighbour, and say what to answer."""
        if not self.view.heard(now, message.place, message.incarnation) or self.view.superseded:
            return []
        if message.kind == Kind.RENEW:
            given = [part for part in _set(message.parts) if self._vote(now, part, message.place)]
            return [(message.place, self._message(Kind.GRANTED, message.nonce, parts=_bits(given)))]
        if message.kind == Kind.GRANTED:
            if message.nonce == self._round[0]:
                for part in _set(message.parts):
                    self._count(now, part, message.place)
        elif message.kind == Kind.LEND:
            return self._lend(now, message)
        elif (spent := self._spent.get(message.whole)) is not None and message.nonce == spent.asked[0]:
            asked = spent.asked[1]
            spent.asked = (0, asked)  # one answer to a question, however often it comes
            if (until := asked + min(message.for_us, LEND_US)) > now:
                spent.borrowed.append(Loan(message.place, min(message.amount, ONE), until))
                spent.next_us, spent.wait_us = now, LEND_EVERY_US[0]
        return []

    def _message(self, kind: Kind, nonce: int, **more: int) -> Message:
        return Message(kind, self.view.me, self.view.incarnation, nonce, **more)

    # Leases.

    def _wanted(self, now: int) -> list[int]:
        """Its home part, and those of places that are gone whose next one it is."""
        wanted = [self.view.me]
        places, mine = self.view.places, self.view.places.index(self.view.me)
        for step in range(1, len(places)):
            place = places[mine - step]
            if self.view.standing(now, place) != Standing.GONE:
                break
            wanted.append(place)
        return wanted

    def _vote(self, now: int, part: int, holder: int) -> bool:
        """Whether this process keeps a part for who asks; its place comes before others."""
        if part not in self.view.places or now < self._votes_from:
            return False
        if part != holder and self.view.standing(now, part) != Standing.GONE:
            return False
        vote = self._votes.get(part)
        if vote is not None and vote.holder != holder and now < vote.until_us + self.window_us:
            return False
        self._votes[part] = Vote(holder, now + longer(LEASE_US))
        return True

    def _count(self, now: int, part: int, voter: int) -> None:
        granted = self._granted.get(part)
        if granted is None:
            return
        granted.add(voter)
        if len(granted) >= self._quorum:
            self._leases[part] = self._round[1] + LEASE_US

    # Loans.

    def _lend(self, now: int, message: Message) -> list[tuple[int, Message]]:
        """Lend what this process surely won't miss: at the most half of what lies idle of its home part."""
        until = now + LEND_US
        if self._leased:
            until = min(until, self._leases.get(self.view.me, 0))
        if until <= now or now < self._holds_from or (spent := self._of(message.whole)) is None:
            return []
        spent.fade(now, self.window_us)
        if now - spent.short_us < self.window_us:  # it wants for itself what it has
            return []
        lent, his = owed(spent.lent, now), owed([x for x in spent.lent if x.place == message.place], now)
        idle = min(self.may_spend(now, message.whole) - spent.sum, self.part - lent)
        amount = min(message.amount, his + max(0, idle) // 2)
        if amount <= 0:
            return []
        span = until - now
        spent.lent.append(Loan(message.place, amount, now + longer(span) + self.window_us))
        answer = self._message(Kind.LENT, message.nonce, whole=message.whole, amount=amount, for_us=span)
        return [(message.place, answer)]


def _bits(parts: list[int]) -> int:
    return sum(1 << part for part in parts)


def _set(bits: int) -> list[int]:
    return [part for part in range(MOST_PARTS) if bits >> part & 1]
