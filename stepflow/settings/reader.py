"""Typed access to settings by key; an error names the key and the value that can't be read."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import TypeVar

from stepflow.settings.errors import SettingsError

T = TypeVar("T")

_ABSENT_VALUES = ("", "null")


class SettingsReader:
    """Settings as texts by dotted key; an absent, empty or `null` one takes the caller's default.

    All methods but `text` and `names` raise `SettingsError` where the text is not of their type.
    """

    def __init__(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.texts = {key: value for key, value in pairs if value not in _ABSENT_VALUES}

    def text(self, key: str, default: str = "") -> str:
        """Return the text as it is."""
        return self.texts.get(key, default)

    def number(self, key: str, default: float, minimum: float = 0.0) -> float:
        """Return a finite number of at least `minimum`."""
        text = self.text(key)
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"setting {key}: {text!r} is not a number") from None
        if not math.isfinite(value) or value < minimum:
            raise SettingsError(f"setting {key}: {text!r} is out of range")
        return value

    def integer(self, key: str, default: int, minimum: int = 0) -> int:
        """Return a number of at least `minimum`, without its fraction."""
        return int(self.number(key, default, minimum))

    def duration(self, key: str, default: timedelta) -> timedelta:
        """Return a duration that is given in microseconds; 0 stands for the default too."""
        return timedelta(microseconds=self.integer(key, 0)) or default

    def flag(self, key: str, default: bool) -> bool:
        """Return `true` or `false`."""
        text = self.text(key)
        if text not in ("", "true", "false"):
            raise SettingsError(f"setting {key}: {text!r} is neither true nor false")
        return text == "true" if text else default

    def choice(self, key: str, default: T, values: Mapping[str, T]) -> T:
        """Return the value that one of some words stands for."""
        text = self.text(key)
        if text and text not in values:
            raise SettingsError(f"setting {key}: {text!r} is not one of {', '.join(values)}")
        return values[text] if text else default

    def names(self, key: str) -> tuple[str, ...]:
        """Return the items of a list; none where it is absent."""
        text = self.text(key)
        return tuple(text.split(",")) if text else ()

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return the items of a list of numbers; an absent item is 0."""
        try:
            return tuple(0.0 if item in _ABSENT_VALUES else float(item) for item in self.names(key))
        except ValueError:
            raise SettingsError(f"setting {key}: {self.text(key)!r} is not a list of numbers") from None
