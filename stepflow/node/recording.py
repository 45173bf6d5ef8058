"""Records the node's traffic while the operator's file asks for it.

Connects the core with the recorder (`stepflow.traffic`), whose files a thread of its own writes. A failure of
the recorder or of the disk ends the recording; the node goes on.
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

DISK_WAIT = timedelta(seconds=CLOSE_TIMEOUT_S)  # the longest that the end of a recording waits for the disk
FLUSH_INTERVAL = timedelta(milliseconds=500)  # a process that is killed loses no more than this
US_PER_MS = 1000


class Recording:
    """Begins, updates and ends the recording that the operator's file asks for; there is one at a time."""

    def __init__(self, core: Core, clock: Clock, timers: Timers, node: str) -> None:
        self._core, self._clock, self._timers, self._node = core, clock, timers, node
        self._config: Record | None = None
        self._writer: Writer | None = None
        self._recorder: Recorder | None = None
        self._flush_timer: Timer | None = None

    def follow(self, config: Record | None, settings: Settings) -> None:
        """Record by this configuration from now on; None ends the recording.

        A recording whose configuration stays the same goes on in its file.
        """
        if config == self._config:
            if self._recorder is not None:
                self._recorder.update_settings(self._now_us(), settings)
            return
        self.end()
        self._config = config
        if config is not None:
            self._begin(config, settings)

    def end(self, wait: timedelta = DISK_WAIT) -> None:
        """End the recording, if there is one, and write the pending rows, as far as the disk takes them."""
        self._core.record_events(None)
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        recorder, self._recorder = self._recorder, None
        writer, self._writer = self._writer, None
        if recorder is not None and writer is not None:
            recorder.end(self._now_us())
            writer.close(wait.total_seconds())

    def _begin(self, config: Record, settings: Settings) -> None:
        writer = Writer(config.folder, config.segments, lambda: self._now_us() // US_PER_MS)
        recorder = Recorder(writer, config.key, self._node, self._now_us(), settings, config.segment)
        for endpoint in self._core.endpoints():
            recorder.add_endpoint(endpoint)
        for request, endpoint_id, load in self._core.sessions():
            recorder.add_session(self._now_us(), request, endpoint_id, load)
        self._writer, self._recorder = writer, recorder
        self._core.record_events(self._record)
        self._flush_timer = self._timers.after(FLUSH_INTERVAL, self._flush)
        log.info("records traffic", folder=config.folder)

    def _record(self, now_us: int, event: Event, actions: list[Action]) -> None:
        if self._recorder is None:
            return
        try:
            self._recorder.take(now_us, event, actions)
        except Exception:  # whatever it is, it must not end the request at hand
            log.exception("the recorder failed, and ends")
            self.end()

    def _flush(self) -> None:
        if self._recorder is None or self._writer is None:
            return
        self._recorder.flush(self._now_us())
        if self._writer.failure:
            log.error("the recording ends, the node goes on", fault=self._writer.failure)
            self.end()
            return
        self._flush_timer = self._timers.after(FLUSH_INTERVAL, self._flush)

    def _now_us(self) -> int:
        return micros(self._clock.now())
