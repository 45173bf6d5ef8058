"""A throttle for attempts: what all endpoints share (a store) fails everybody when it is asked too much.

Counts decay over time. While too few attempts become established sessions, further ones have to wait. Pure:
no clock, no I/O.
"""

from __future__ import annotations

import math

MEMORY_S = 5.0  # memory of attempts and of those that were established
FREE_ATTEMPTS = 4.0  # attempts that need no success
ATTEMPTS_PER_SUCCESS = 1.3  # attempts allowed for each that was established


def decay_factor(seconds: float) -> float:
    """What is left of a count after so much time."""
    return math.exp(-seconds / MEMORY_S)


class AttemptThrottle:
    """Holds attempts back while too few of them are established."""

    def __init__(self) -> None:
        self.attempts = 0.0
        self.established = 0.0
        self.failed = 0.0
        self._free_attempts = FREE_ATTEMPTS

    def decay(self, seconds: float, request_rate: float) -> None:
        """Let time pass; as many attempts as one second brings requests may be active without success."""
        factor = decay_factor(seconds)
        self.attempts, self.established = self.attempts * factor, self.established * factor
        self.failed *= factor
        self._free_attempts = FREE_ATTEMPTS + request_rate

    def forgive_attempt(self) -> None:
        """Take back an attempt whose result says nothing about what endpoints share."""
        self.attempts = max(0.0, self.attempts - 1)

    def revoke_established(self) -> None:
        """Take back an established session that was dropped at once."""
        self.established = max(0.0, self.established - 1)

    def is_closed(self) -> bool:
        """Whether the next attempt is to wait until more have been established."""
        return self.attempts >= ATTEMPTS_PER_SUCCESS * self.established + self._free_attempts
