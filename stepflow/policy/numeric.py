"""Arithmetic that several modules of the policy share."""

from __future__ import annotations


def clamp(value: float, low: float, high: float) -> float:
    """Return the value limited to the range from `low` to `high`."""
    return low if value < low else high if value > high else value
