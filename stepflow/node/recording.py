"""The recorder of traffic at work in a node: taps the core, and gives its rows to a thread that writes."""

from __future__ import annotations

from datetime import timedelta

from stepflow.daemon import Record
from stepflow.interface import Action, Event, Settings
from stepflow.logs import get_logger
from stepflow.node.core import Core
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.traffic import Recorder, Writer
from stepflow.traffic.writer import JOIN_S

log = get_logger()

DISK_WAIT = timedelta(seconds=JOIN_S)  # the most that the end of a recording waits for the disk
FLUSH_EVERY = timedelta(milliseconds=500)  # a cut loses no more than this


class Recording:
    """Begins, follows and ends the recording that the operator's file asks for."""

    def __init__(self, core: Core, clock: Clock, deadlines: Timers, name: str) -> None:
        self._core, self._clock, self._deadlines, self._name = core, clock, deadlines, name
        self._told: Record | None = None
        self._writer: Writer | None = None
        self._recorder: Recorder | None = None
        self._deadline: Timer | None = None

    def follow(self, told: Record | None, settings: Settings) -> None:
        """Record as this says from now on; None ends it. What goes on as it was goes on in its file."""
        if told == self._told:
            if self._recorder is not None:
                self._recorder.retune(self._now(), settings)
            return
        self.end()
        self._told = told
        if told is None:
            return
        self._writer = Writer(told.folder, told.segments, lambda: self._now() // 1000)
        self._recorder = Recorder(self._writer, told.key, self._name, self._now(), settings, told.segment)
        for entry in self._core.endpoints():
            self._recorder.known(entry)
        for request, peer, load in self._core.sessions():
            self._recorder.stands(self._now(), request, peer, load)
        self._core.record_events(self._take)
        self._deadline = self._deadlines.after(FLUSH_EVERY, self._flush)
        log.info("records traffic", folder=told.folder)

    def end(self, wait: timedelta = DISK_WAIT) -> None:
        """The one place that ends a recording; what is pending is written, as far as the disk takes it."""
        self._core.record_events(None)
        if self._deadline is not None:
            self._deadline.cancel()
        recorder, self._recorder = self._recorder, None
        writer, self._writer = self._writer, None
        if recorder is not None and writer is not None:
            recorder.end(self._now())
            writer.close(wait.total_seconds())

    def _take(self, now: int, event: Event, actions: list[Action]) -> None:
        """The node outlives a fault of the recorder."""
        if self._recorder is None:
            return
        try:
            self._recorder.take(now, event, actions)
        except Exception:
            log.exception("the recorder failed, and ends")
            self.end()

    def _flush(self) -> None:
        if self._recorder is None or self._writer is None:
            return
        self._recorder.flush(self._now())
        if self._writer.fault:
            log.error("the recording ends, the node goes on", fault=self._writer.fault)
            self.end()
            return
        self._deadline = self._deadlines.after(FLUSH_EVERY, self._flush)

    def _now(self) -> int:
        return micros(self._clock.now())
