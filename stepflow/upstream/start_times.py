"""When servers started, on this process's own clock. Pure: times in, times out.

The list tells Unix times of another machine's clock, and this machine's wall clock may have been stepped
before the process began. What the process can trust is when it was told of a start: no server is told of
before it has started, and a list in order tells of a start soon. So the least time that any news of a start
has taken shows how far the two clocks are apart: the own one is behind where that is below zero, and ahead by
what is over the usual time.
"""

from __future__ import annotations

from collections.abc import Iterable

from stepflow.interface import Endpoint, EndpointId

# A first list tells of starts as recent as this; what seems longer ago is held for an error of a clock.
PLAUSIBLE_US = 600_000_000
NEWS_US = 3_000_000  # the news of a start takes so long where nothing is wrong


class StartTimes:
    """Turns the list's start times into those of one clock, the same for one start each time it is told."""

    def __init__(self) -> None:
        self._local: dict[EndpointId, tuple[int, int]] = {}  # a start as it was told, and on the own clock
        self._least_lag: int | None = None  # from a start to its news, on the two clocks, at the least
        self._any_list = False

    def localize(self, now_us: int, whole: bool, servers: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """The entries of a message that came at this time, with start times of the own clock."""
        entries = tuple(servers)
        if self._any_list:
            self._learn_lag(now_us, entries)
        found = tuple(entry._replace(started_us=self._start(now_us, entry)) for entry in entries)
        if whole:
            named = {entry.id for entry in entries}
            self._local = {id: told for id, told in self._local.items() if id in named}
        self._any_list = True
        return found

    def _is_news(self, entry: Endpoint) -> bool:
        return entry.started_us > 0 and self._local.get(entry.id, (0, 0))[0] != entry.started_us

    def _learn_lag(self, now_us: int, entries: Iterable[Endpoint]) -> None:
        lags = [now_us - entry.started_us for entry in entries if self._is_news(entry)]
        if lags:
            self._least_lag = min(lags if self._least_lag is None else [self._least_lag, *lags])

    def _start(self, now_us: int, entry: Endpoint) -> int:
        """When the server started, no later than now; 0 where that was long ago."""
        if entry.started_us <= 0:
            return 0
        if not self._is_news(entry):
            return self._local[entry.id][1]
        lag = now_us - entry.started_us
        if self._least_lag is not None:
            lag -= min(self._least_lag, max(0, self._least_lag - NEWS_US))
        elif not 0 <= lag <= PLAUSIBLE_US:
            lag = 0
        start = now_us - lag
        self._local[entry.id] = entry.started_us, start
        return start
