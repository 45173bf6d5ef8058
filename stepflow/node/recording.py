"""Records the node's traffic while the operator's file configures a recording.

Connects the core to the recorder (`stepflow.traffic`), which writes its files in a separate thread. A failure
of the recorder or of the disk ends the recording, but not the node.
"""

from __future__ import annotations

from datetime import timedelta

from stepflow.daemon import Record
from stepflow.interface import Action, Event, Settings
from stepflow.logs import get_logger
from stepflow.node.core import Core
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.traffic import Recorder, Writer
from stepflow.traffic.writer import CLOSE_TIMEOUT_S

log = get_logger()

CLOSE_WAIT = timedelta(seconds=CLOSE_TIMEOUT_S)  # the longest wait for the disk at the end of a recording
FLUSH_INTERVAL = timedelta(milliseconds=500)  # a killed process loses at most the records of this time
US_PER_MS = 1000


class Recording:
    """Starts, updates and ends the recording that the operator's file configures; one at a time."""

    def __init__(self, core: Core, clock: Clock, timers: Timers, node: str) -> None:
        self._core, self._clock, self._timers, self._node = core, clock, timers, node
        self._config: Record | None = None
        self._writer: Writer | None = None
        self._recorder: Recorder | None = None
        self._flush_timer: Timer | None = None

    def apply(self, config: Record | None, settings: Settings) -> None:
        """Apply the configuration of a recording; None ends the recording.

        A recording with an unchanged configuration continues in its file.
        """
        if config == self._config:
            if self._recorder is not None:
                self._recorder.update_settings(self._now_us(), settings)
            return
        self.end()
        self._config = config
        if config is not None:
            self._start(config, settings)

    def end(self, wait: timedelta = CLOSE_WAIT) -> None:
        """End the recording, if any; write the pending rows within `wait`, unless the disk fails."""
        self._core.record_events(None)
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        recorder, self._recorder = self._recorder, None
        writer, self._writer = self._writer, None
        if recorder is not None and writer is not None:
            recorder.end(self._now_us())
            writer.close(wait.total_seconds())

    def _start(self, config: Record, settings: Settings) -> None:
        writer = Writer(config.folder, config.segments, lambda: self._now_us() // US_PER_MS)
        recorder = Recorder(writer, config.key, self._node, self._now_us(), settings, config.segment)
        for endpoint in self._core.endpoints():
            recorder.add_endpoint(endpoint)
        for request, endpoint_id, load in self._core.sessions():
            recorder.add_session(self._now_us(), request, endpoint_id, load)
        self._writer, self._recorder = writer, recorder
        self._core.record_events(self._record)
        self._flush_timer = self._timers.after(FLUSH_INTERVAL, self._flush)
        log.info("recording started", folder=config.folder)

    def _record(self, now_us: int, event: Event, actions: list[Action]) -> None:
        if self._recorder is None:
            return
        try:
            self._recorder.take(now_us, event, actions)
        except Exception:  # no failure of the recorder may fail the current request
            log.exception("recorder failed")
            self.end()

    def _flush(self) -> None:
        if self._recorder is None or self._writer is None:
            return
        self._recorder.flush(self._now_us())
        if self._writer.failure:
            log.error("recording stopped after a failure", fault=self._writer.failure)
            self.end()
            return
        self._flush_timer = self._timers.after(FLUSH_INTERVAL, self._flush)

    def _now_us(self) -> int:
        return micros(self._clock.now())
