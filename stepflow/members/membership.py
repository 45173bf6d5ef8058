"""When each neighbour was last heard, and as whom."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

SUSPECT_US = 1_500_000  # unheard for so long, a neighbour may be gone
GONE_US = 2_500_000  # and then it is held to be


class Standing(IntEnum):
    """What a neighbour is held to be."""

    UNHEARD = 0  # nothing came of it yet
    ALIVE = 1
    SUSPECTED = 2
    GONE = 3


class View:
    """The neighbours of one process; a name's newest incarnation counts, what comes of an older one does not.

    `now` is in microseconds, on a clock of this process that only moves forward.
    """

    def __init__(self, me: int, incarnation: int, places: Iterable[int], now: int) -> None:
        self.me, self.incarnation, self.born_us = me, incarnation, now
        self.places = tuple(places)
        self.superseded = False  # a newer process has this one's name
        self._seen: dict[int, tuple[int, int]] = {}  # its incarnation, and when it was heard

    def heard(self, now: int, place: int, incarnation: int) -> bool:
        """Take note of a message; False where it is of no neighbour, or of one that was replaced since."""
        if place == self.me:
            self.superseded |= incarnation > self.incarnation
            return False
        if place not in self.places:
            return False
        known, _ = self._seen.get(place, (incarnation, now))
        if incarnation < known:
            return False
        self._seen[place] = incarnation, now
        return True

    def standing(self, now: int, place: int) -> Standing:
        """What a neighbour is held to be; one that was never heard has as long as one that fell silent."""
        if place == self.me:
            return Standing.GONE if self.superseded else Standing.ALIVE
        silent = now - self._seen.get(place, (0, self.born_us))[1]
        if silent >= GONE_US:
            return Standing.GONE
        if place not in self._seen:
            return Standing.UNHEARD
        return Standing.SUSPECTED if silent >= SUSPECT_US else Standing.ALIVE

    def alive(self, now: int) -> list[int]:
        """The places that are held to be there, this one among them."""
        return [place for place in self.places if self.standing(now, place) == Standing.ALIVE]
