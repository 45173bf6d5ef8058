"""Sets up logging: structured events on standard error, as key=value lines or as JSON.

Other modules define `log = get_logger()` and call `log.info("what happened", key=value)`: the event is a
fixed text, and variable data is in the keys. Single requests are logged at level debug only, single lines of
a connection never.

Logging neither raises errors nor blocks. Output that standard error can't accept is lost: on a full disk, or
a pipe that is closed or not read.
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

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}  # level numbers of Python's `logging`, by name
FORMS = ("text", "json")
# Characters per write, of up to 4 bytes each. A pipe polls as writable while it has room for a page.
WRITE_LENGTH = 1024
# Not 0: a poll interrupted by a signal would report the stream as not writable.
WRITABLE_TIMEOUT_MS = 1

# Parts of Twisted whose events don't help operators: mostly the start and stop of each factory.
_IGNORED_TWISTED_SOURCES = ("twisted.web.client", "twisted.internet.protocol")
_LEVEL_BY_TWISTED_LEVEL = {LogLevel.warn: "warning", LogLevel.error: "error", LogLevel.critical: "error"}


class _Threshold:
    """Holds the lowest level that is logged, a number from `LEVELS`."""

    level = LEVELS["info"]


_threshold = _Threshold()


def get_logger() -> Any:
    """Return a logger; it may be created before `set_up`, since it reads its configuration at each event."""
    return structlog.get_logger()


def debugging() -> bool:
    """Return whether level debug is logged; check it before building an expensive event."""
    return _threshold.level <= LEVELS["debug"]


def set_up(form: str = "text", level: str = "info") -> None:
    """Log to standard error in a form of `FORMS`, from a level of `LEVELS` up; may be called repeatedly."""
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


def print_line(text: str) -> None:
    """Print a line on standard error that is not a log event."""
    stream = _LossyStream(sys.stderr)
    stream.write(text + "\n")
    stream.flush()


def close() -> None:
    """Discard unwritten output of standard error, which would make the interpreter exit with an error."""
    try:
        sys.stderr.flush()
    except (OSError, ValueError):
        sys.stderr = open(os.devnull, "w")  # noqa: SIM115 (it stays open until the exit)


def log_twisted_events() -> None:
    """Log Twisted's warnings and errors; otherwise an error in a Deferred would be lost."""
    log = get_logger()

    def observe(event: dict[str, Any]) -> None:
        level = _LEVEL_BY_TWISTED_LEVEL.get(cast(Any, event.get("log_level")))
        source = str(event.get("log_namespace"))
        if level is None or source in _IGNORED_TWISTED_SOURCES:
            return
        failure = event.get("log_failure")
        keys = {} if failure is None else {"exception": failure.getTraceback()}
        getattr(log, level)("twisted", source=source, text=formatEvent(event), **keys)

    globalLogBeginner.beginLoggingTo([cast(ILogObserver, observe)], redirectStandardIO=False)


class _LossyStream:
    """A stream that discards what can't be written at once, instead of raising an error or blocking."""

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
    """Return whether a write would not block; true for a stream without a descriptor, as in a test."""
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(WRITABLE_TIMEOUT_MS))


def _order_and_simplify(logger: object, method: str, event: MutableMapping[str, Any]) -> Mapping[str, Any]:
    """Put time, level and event first, and convert values other than text, numbers and None to text."""
    ordered = {key: event.pop(key) for key in ("timestamp", "level", "event")}
    for key, value in event.items():
        ordered[key] = value if isinstance(value, str | int | float | bool | None) else str(value)
    return ordered


def _encode_json(event: object, **options: object) -> str:
    """Serialize for JSONRenderer; ignores its options, which are those of `json.dumps`."""
    return msgspec.json.encode(event).decode()
