"""Arithmetic that several modules of the policy share."""

from __future__ import annotations


def clamp(value: float, low: float, high: float) -> float:
    """The value, or the bound that it exceeds."""
    return low if value < low else high if value > high else value
