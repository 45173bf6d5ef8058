"""The start times of endpoints on this process's clock, in microseconds. No I/O; callers pass the time.

Discovery reports start times as Unix times of another machine's clock, and this machine's wall clock may have
been stepped before the process started. The arrival of the message that reports a start is reliable: it is
never before the start, and with a healthy discovery soon after it. So the smallest delay from a start to its
message shows the offset of the two clocks: this machine's clock is behind if the delay is negative, and ahead
by the part of the delay that exceeds the usual one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from stepflow.interface import Endpoint, EndpointId

MAX_FIRST_LIST_AGE_US = 600_000_000  # a larger age in the first list is attributed to a wrong clock
USUAL_DELAY_US = 3_000_000  # usual maximum of the time from a start to its message


class _KnownStart(NamedTuple):
    reported_us: int  # the start time that discovery reported
    local_us: int  # the start time on this process's clock


_UNKNOWN_START = _KnownStart(0, 0)


class StartTimes:
    """Converts start times to this process's clock; a start that is reported again keeps its local time."""

    def __init__(self) -> None:
        self._known_starts: dict[EndpointId, _KnownStart] = {}
        # Smallest time from a start (on discovery's clock) to its message (on this process's clock).
        self._min_delay_us: int | None = None
        self._had_list = False

    def localize(self, now: int, is_full_list: bool, endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """Return a message's endpoints with their start times on this process's clock."""
        entries = tuple(endpoints)
        if self._had_list:  # the starts in the first list may have been reported long ago
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
        return entry.started_us > 0 and known.reported_us != entry.started_us

    def _learn_delay(self, now: int, entries: Iterable[Endpoint]) -> None:
        delays = [now - entry.started_us for entry in entries if self._is_new_start(entry)]
        if self._min_delay_us is not None:
            delays.append(self._min_delay_us)
        if delays:
            self._min_delay_us = min(delays)

    def _local_start(self, now: int, entry: Endpoint) -> int:
        """Return the local start time of an endpoint, at most `now`; 0 if the start is unknown."""
        if entry.started_us <= 0:
            return 0
        if not self._is_new_start(entry):
            return self._known_starts[entry.id].local_us
        local_us = now - self._age_us(now - entry.started_us)
        self._known_starts[entry.id] = _KnownStart(entry.started_us, local_us)
        return local_us

    def _age_us(self, delay_us: int) -> int:
        """Return the age of a start, from the apparent delay between the two clocks."""
        if self._min_delay_us is not None:
            clock_offset_us = min(self._min_delay_us, max(0, self._min_delay_us - USUAL_DELAY_US))
            return delay_us - clock_offset_us
        return delay_us if 0 <= delay_us <= MAX_FIRST_LIST_AGE_US else 0
