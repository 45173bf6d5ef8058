"""The usage of a limit within a sliding window."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class _Use(NamedTuple):
    used_us: int
    amount: int


class WindowedUsage:
    """The uses within the last `window_us`; `total` is their sum as of the last `expire`.

    Times are microseconds on one clock, amounts millionths of the limit.
    """

    def __init__(self, window_us: int) -> None:
        self.total = 0
        self._window_us = window_us
        self._uses: deque[_Use] = deque()

    def __bool__(self) -> bool:
        """Return whether any use was within the window at the last `expire`."""
        return bool(self._uses)

    def record(self, now: int, amount: int) -> None:
        """Add a use; `now` must not be earlier than at the previous use."""
        self._uses.append(_Use(now, amount))
        self.total += amount

    def expire(self, now: int) -> None:
        """Remove the uses that have left the window."""
        while self._uses and self._uses[0].used_us <= now - self._window_us:
            self.total -= self._uses.popleft().amount
