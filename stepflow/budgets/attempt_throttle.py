"""Throttles attempts, to protect a resource that all endpoints share (a store).

Such a resource fails all requests when it is overloaded. While too few attempts become established sessions,
further attempts have to wait. All counts decay over time. Pure: no clock, no I/O.
"""

from __future__ import annotations

import math

DECAY_S = 5.0  # time constant of the decay of counts
UNCONDITIONAL_ATTEMPTS = 4.0  # attempts allowed without any success
ATTEMPTS_PER_SUCCESS = 1.3  # attempts allowed for each established session


def decay_factor(seconds: float) -> float:
    """Return the share of a count that remains after this time."""
    return math.exp(-seconds / DECAY_S)


class AttemptThrottle:
    """Delays attempts while too few of them become established sessions."""

    def __init__(self) -> None:
        self.attempts = 0.0
        self.established = 0.0
        self.failed = 0.0
        self._free_attempts = UNCONDITIONAL_ATTEMPTS

    def decay(self, seconds: float, request_rate: float) -> None:
        """Decay the counts, and allow UNCONDITIONAL_ATTEMPTS and one second's requests without a success."""
        factor = decay_factor(seconds)
        self.attempts, self.established = self.attempts * factor, self.established * factor
        self.failed *= factor
        self._free_attempts = UNCONDITIONAL_ATTEMPTS + request_rate

    def subtract_attempt(self) -> None:
        """Subtract an attempt whose result says nothing about the shared resource."""
        self.attempts = max(0.0, self.attempts - 1)

    def subtract_established(self) -> None:
        """Subtract an established session that its endpoint dropped right afterwards."""
        self.established = max(0.0, self.established - 1)

    def is_limiting(self) -> bool:
        """Return whether the next attempt has to wait until more sessions are established."""
        return self.attempts >= ATTEMPTS_PER_SUCCESS * self.established + self._free_attempts
