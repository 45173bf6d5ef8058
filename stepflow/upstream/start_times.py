"""When endpoints started, on this process's own clock. Pure: times in, times out, all in microseconds.

Discovery tells Unix times of another machine's clock, and this machine's wall clock may have been stepped
before the process began. What the process can trust is when it was told of a start: that is never before the
start, and a healthy discovery tells of it soon. So the smallest delay from any start to the message about it
shows how far the two clocks are apart: this one is behind where the delay is below zero, and ahead by what
exceeds the usual delay.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from stepflow.interface import Endpoint, EndpointId

MAX_FIRST_LIST_AGE_US = 600_000_000  # in a first list, a start that seems longer ago is a clock's error
USUAL_DELAY_US = 3_000_000  # from a start to the message about it, where nothing is wrong


class _KnownStart(NamedTuple):
    told_us: int  # as discovery told it
    local_us: int  # on this process's clock


_UNKNOWN_START = _KnownStart(0, 0)


class StartTimes:
    """Converts start times to this process's clock; a start that is told again gets the same time again."""

    def __init__(self) -> None:
        self._known_starts: dict[EndpointId, _KnownStart] = {}
        self._min_delay_us: int | None = None  # from a start to its message, on the two clocks
        self._had_list = False

    def localize(self, now: int, is_full_list: bool, endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """Return a message's endpoints with their start times on this process's clock."""
        entries = tuple(endpoints)
        if self._had_list:  # of a first list it is not known when its starts were told
            self._learn_delay(now, entries)
        localized = tuple(entry._replace(started_us=self._local_start(now, entry)) for entry in entries)
        if is_full_list:
            self._forget_unlisted(entries)
        self._had_list = True
        return localized

    def _forget_unlisted(self, entries: Iterable[Endpoint]) -> None:
        listed = {entry.id for entry in entries}
        self._known_starts = {id: start for id, start in self._known_starts.items() if id in listed}

    def _is_new_start(self, entry: Endpoint) -> bool:
        known = self._known_starts.get(entry.id, _UNKNOWN_START)
        return entry.started_us > 0 and known.told_us != entry.started_us

    def _learn_delay(self, now: int, entries: Iterable[Endpoint]) -> None:
        delays = [now - entry.started_us for entry in entries if self._is_new_start(entry)]
        if self._min_delay_us is not None:
            delays.append(self._min_delay_us)
        if delays:
            self._min_delay_us = min(delays)

    def _local_start(self, now: int, entry: Endpoint) -> int:
        """Return when an endpoint started, no later than now; 0 where that was long ago."""
        if entry.started_us <= 0:
            return 0
        if not self._is_new_start(entry):
            return self._known_starts[entry.id].local_us
        local_us = now - self._age_us(now - entry.started_us)
        self._known_starts[entry.id] = _KnownStart(entry.started_us, local_us)
        return local_us

    def _age_us(self, delay_us: int) -> int:
        """Return how long ago a start was, by the delay that the two clocks show."""
        if self._min_delay_us is not None:
            clock_offset_us = min(self._min_delay_us, max(0, self._min_delay_us - USUAL_DELAY_US))
            return delay_us - clock_offset_us
        return delay_us if 0 <= delay_us <= MAX_FIRST_LIST_AGE_US else 0
