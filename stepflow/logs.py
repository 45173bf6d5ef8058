"""Sets up the logs: structured events on standard error, as key=value lines or as JSON.

Elsewhere a module has `log = get_logger()` and calls `log.info("what happened", key=value)`: the event is a
fixed text, and what varies stands in keys. Single requests are logged at level debug only, single lines of a
connection not at all.

Logging neither fails nor waits: what standard error doesn't take, because of a full disk, or a pipe that is
closed or that nobody reads, is lost.
"""

from __future__ import annotations

import os
import select
import sys
from collections.abc import Mapping, MutableMapping
from contextlib import suppress
from typing import Any, TextIO, cast

import msgspec
import structlog
from twisted.logger import ILogObserver, LogLevel, formatEvent, globalLogBeginner

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}  # by name, as Python's `logging` counts them
FORMS = ("text", "json")
# Letters in one write. A pipe counts as writable while it has room for a page, and a letter may have 4 bytes.
WRITE_LENGTH = 1024
# Not 0: a poll that a signal interrupts would tell that the stream takes nothing.
WRITABLE_TIMEOUT_MS = 1

# Parts of Twisted whose events are of no use to operators: mostly each factory's start and end.
_IGNORED_TWISTED_SOURCES = ("twisted.web.client", "twisted.internet.protocol")
_LEVEL_OF_TWISTED = {LogLevel.warn: "warning", LogLevel.error: "error", LogLevel.critical: "error"}


class _Threshold:
    """The lowest level that is logged, as a number of `LEVELS`."""

    level = LEVELS["info"]


_threshold = _Threshold()


def get_logger() -> Any:
    """A logger; it may be made before `set_up`, since it takes its configuration at each event."""
    return structlog.get_logger()


def debugging() -> bool:
    """Whether events of level debug are logged: to be asked where it costs something to make one."""
    return _threshold.level <= LEVELS["debug"]


def set_up(form: str = "text", level: str = "info") -> None:
    """Log to standard error in a form of `FORMS`, from a level of `LEVELS` on; may be called again."""
    _threshold.level = LEVELS[level]
    renderer: Any = (
        structlog.processors.LogfmtRenderer(bool_as_flag=False)
        if form == "text"
        else structlog.processors.JSONRenderer(serializer=_encode_json)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _order_and_simplify,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, _LossyStream(sys.stderr))),
        cache_logger_on_first_use=False,
    )


def print_plainly(text: str) -> None:
    """Print a line on standard error that is no event of the log."""
    stream = _LossyStream(sys.stderr)
    stream.write(text + "\n")
    stream.flush()


def close() -> None:
    """Drop what standard error did not take: the interpreter would exit with an error for it."""
    try:
        sys.stderr.flush()
    except (OSError, ValueError):
        sys.stderr = open(os.devnull, "w")  # noqa: SIM115 (it lasts until the exit)


def take_twisted() -> None:
    """Log Twisted's own warnings and errors; else an error in a Deferred would be lost."""
    log = get_logger()

    def observe(event: dict[str, Any]) -> None:
        level = _LEVEL_OF_TWISTED.get(cast(Any, event.get("log_level")))
        source = str(event.get("log_namespace"))
        if level is None or source in _IGNORED_TWISTED_SOURCES:
            return
        failure = event.get("log_failure")
        keys = {} if failure is None else {"exception": failure.getTraceback()}
        getattr(log, level)("twisted", source=source, text=formatEvent(event), **keys)

    globalLogBeginner.beginLoggingTo([cast(ILogObserver, observe)], redirectStandardIO=False)


class _LossyStream:
    """A stream that loses what can't be written now, in place of an error or a wait."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, text: str) -> None:
        for start in range(0, len(text), WRITE_LENGTH):
            with suppress(OSError, ValueError):
                if not _is_writable(self._stream):
                    return
                self._stream.write(text[start : start + WRITE_LENGTH])
                self._stream.flush()

    def flush(self) -> None:
        with suppress(OSError, ValueError):
            self._stream.flush()


def _is_writable(stream: TextIO) -> bool:
    """Whether a write would not wait; true of what is no file, as in a test."""
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(WRITABLE_TIMEOUT_MS))


def _order_and_simplify(logger: object, method: str, event: MutableMapping[str, Any]) -> Mapping[str, Any]:
    """Put time, level and event first, and show values that are neither text nor numbers as text."""
    ordered = {key: event.pop(key) for key in ("timestamp", "level", "event")}
    for key, value in event.items():
        ordered[key] = value if isinstance(value, str | int | float | bool | None) else str(value)
    return ordered


def _encode_json(event: object, **options: object) -> str:
    """JSONRenderer's serializer; its options are those of `json.dumps`, which msgspec has no use for."""
    return msgspec.json.encode(event).decode()
