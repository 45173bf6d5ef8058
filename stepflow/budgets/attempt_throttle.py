"""Set-ups of connections: what all servers share (a store) fails everybody when it is asked too much."""

from __future__ import annotations

import math

THROTTLE_S = 5.0  # memory of attempts and of those that came up
THROTTLE_FREE = 4.0  # attempts that need no success
THROTTLE_RATIO = 1.3  # attempts allowed for each that came up


class AttemptThrottle:
    """Holds attempts back while too few of them come up."""

    tried = up = failed = 0.0
    free = THROTTLE_FREE

    def fade(self, seconds: float, rate: float) -> None:
        """Forget with time; a second's requests may be out without success."""
        kept = math.exp(-seconds / THROTTLE_S)
        self.tried, self.up, self.failed = self.tried * kept, self.up * kept, self.failed * kept
        self.free = THROTTLE_FREE + rate

    def is_closed(self) -> bool:
        """Whether the next attempt is to wait until more have come up."""
        return self.tried >= THROTTLE_RATIO * self.up + self.free
