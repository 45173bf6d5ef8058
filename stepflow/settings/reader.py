"""Typed access to settings by key; an error names the key and the value that can't be parsed."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import TypeVar

from stepflow.settings.errors import SettingsError

T = TypeVar("T")

_ABSENT_VALUES = ("", "null")


class SettingsReader:
    """Holds the texts of settings by dotted key; an absent, empty or `null` setting has the caller's default.

    All methods but `text` and `names` raise `SettingsError` if the text can't be converted or is out of
    range.
    """

    def __init__(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.texts = {key: value for key, value in pairs if value not in _ABSENT_VALUES}

    def text(self, key: str, default: str = "") -> str:
        """Return the text without conversion."""
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
        """Return a number of at least `minimum`, truncated to an integer."""
        return int(self.number(key, default, minimum))

    def duration(self, key: str, default: timedelta) -> timedelta:
        """Return a duration that the text gives in microseconds; 0 also stands for the default."""
        return timedelta(microseconds=self.integer(key, 0)) or default

    def flag(self, key: str, default: bool) -> bool:
        """Return whether the text is `true`; any other text than `true` and `false` is an error."""
        text = self.text(key)
        if text not in ("", "true", "false"):
            raise SettingsError(f"setting {key}: {text!r} is neither true nor false")
        return text == "true" if text else default

    def choice(self, key: str, default: T, values: Mapping[str, T]) -> T:
        """Return the value in `values` whose key is the text."""
        text = self.text(key)
        if text and text not in values:
            raise SettingsError(f"setting {key}: {text!r} is not one of {', '.join(values)}")
        return values[text] if text else default

    def names(self, key: str) -> tuple[str, ...]:
        """Return the items of a list; an empty tuple if it is absent."""
        text = self.text(key)
        return tuple(text.split(",")) if text else ()

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return the items of a list of numbers; an absent item is 0."""
        try:
            return tuple(0.0 if item in _ABSENT_VALUES else float(item) for item in self.names(key))
        except ValueError:
            raise SettingsError(f"setting {key}: {self.text(key)!r} is not a list of numbers") from None
