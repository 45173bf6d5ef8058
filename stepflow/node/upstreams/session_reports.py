"""The notes of a peer: which of them tells a load, and which how long a message takes.

Where the settings say that both are told, both come as `LOAD X`: there is no other word (docs/fleet-test.md).
The one is microseconds of work a second, told whenever it changes; the other milliseconds, told once a second
while messages take long. Taken for a load, a delay of 20 says that a connection asks for next to nothing, at
the very time when its peer is jammed.
"""

from __future__ import annotations

import math
from datetime import timedelta

from stepflow.interface import SessionReportKind
from stepflow.settings import NodeSettings

EVERY = timedelta(seconds=1)  # between two notes of a delay at one peer
OFF_BEAT = timedelta(milliseconds=40)  # the network and this process bring them this late or early
FORGOTTEN = timedelta(seconds=10)  # a beat that was not heard for so long tells nothing
MOST_BEATS = 1024  # beats kept before those that are forgotten go
TINY = 0.02  # of the usual load: a connection that asks for less was not seen, but a delay is mostly less
SMALL = 0.3  # of the usual load: on the beat, what is under that is a delay
FEW = 8  # loads told before their mean is the usual one
UNSEEN = 1e4  # the usual load until then: microseconds a second, 100 to a core
LEARN = 0.01  # share of a told load in the usual one (in the mean of logarithms)


class LoadReportClassifier:
    """Reads the notes of all peers, by their size and their beat. Touches no I/O."""

    def __init__(self, settings: NodeSettings) -> None:
        self._usual, self._loads = math.log(UNSEEN), 0
        self._beats: dict[str, timedelta] = {}  # when a peer last told a delay
        self.update_settings(settings)

    def update_settings(self, settings: NodeSettings) -> None:
        """Take settings, at the start or later."""
        self._tells_load, self._tells_delay = settings.reports_load, settings.reports_delay

    def kind(self, peer: str, now: timedelta, value: float) -> SessionReportKind:
        """What the value of a `LOAD X` from this peer tells."""
        if not self._tells_delay:
            return SessionReportKind.LOAD
        if not self._tells_load:
            return SessionReportKind.DELAY
        share = value / math.exp(self._usual)
        if share < TINY or (share < SMALL and self._on_beat(peer, now)):
            self._keep(peer, now)
            return SessionReportKind.DELAY
        self._loads += 1
        if math.isfinite(value):
            self._usual += (math.log(value) - self._usual) * max(LEARN, 1 / (self._loads + FEW))
        return SessionReportKind.LOAD

    def _on_beat(self, peer: str, now: timedelta) -> bool:
        """Whether whole seconds have passed since the last delay."""
        last = self._beats.get(peer)
        if last is None or now - last > FORGOTTEN:
            return False
        off = (now - last) % EVERY
        return now - last >= EVERY - OFF_BEAT and min(off, EVERY - off) <= OFF_BEAT

    def _keep(self, peer: str, now: timedelta) -> None:
        if len(self._beats) >= MOST_BEATS and peer not in self._beats:
            self._beats = {name: at for name, at in self._beats.items() if now - at <= FORGOTTEN}
        if len(self._beats) < MOST_BEATS or peer in self._beats:
            self._beats[peer] = now
