"""The one place that sets up the logs: structured events on standard error.

Everywhere else `log = get_logger()` and `log.info("what happened", key=value)`: the event is a fixed text,
what varies stands in keys. Single requests are logged at level debug only, nothing for a line.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping, MutableMapping
from contextlib import suppress
from typing import Any, TextIO, cast

import msgspec
import structlog
from twisted.logger import ILogObserver, LogLevel, formatEvent, globalLogBeginner

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FORMS = ("text", "json")
QUIET = ("twisted.web.client", "twisted.internet.protocol")  # whose factories have nothing to tell operators

_level = LEVELS["info"]

_TWISTED = {LogLevel.warn: "warning", LogLevel.error: "error", LogLevel.critical: "error"}


def get_logger() -> Any:
    """A logger; it takes its form at its first event."""
    return structlog.get_logger()


def debugging() -> bool:
    """Whether events of level debug are told: asked where it costs something to make one."""
    return _level <= LEVELS["debug"]


def set_up(form: str = "text", level: str = "info") -> None:
    """Log to standard error: key=value lines, or JSON, one object a line."""
    global _level
    _level = LEVELS[level]
    last: Any = (
        structlog.processors.LogfmtRenderer(bool_as_flag=False)
        if form == "text"
        else structlog.processors.JSONRenderer(serializer=_json)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _plain,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, _Unfailing(sys.stderr))),
        cache_logger_on_first_use=False,
    )


class _Unfailing:
    """Standard error, of which nobody's work depends: what a full disk or a closed pipe refuses is lost."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, text: str) -> None:
        with suppress(OSError, ValueError):
            self._stream.write(text)

    def flush(self) -> None:
        with suppress(OSError, ValueError):
            self._stream.flush()


def print_plainly(text: str) -> None:
    """A line of its own on standard error, beside the log; lost where that can't be written."""
    stream = _Unfailing(sys.stderr)
    stream.write(text + "\n")
    stream.flush()


def close() -> None:
    """Give up what could not be written: the interpreter would end with an error for it."""
    try:
        sys.stderr.flush()
    except (OSError, ValueError):
        sys.stderr = open(os.devnull, "w")  # noqa: SIM115 (it lasts until the exit)


def take_twisted() -> None:
    """Pass on what Twisted itself logs, from its warnings on: an error in a Deferred would be lost else."""
    log = get_logger()

    def observe(event: dict[str, Any]) -> None:
        level = _TWISTED.get(cast(Any, event.get("log_level")))
        source = str(event.get("log_namespace"))
        if level is None or source in QUIET:
            return
        text = formatEvent(event)
        failure = event.get("log_failure")
        more = {} if failure is None else {"exception": failure.getTraceback()}
        getattr(log, level)("twisted", source=source, text=text, **more)

    globalLogBeginner.beginLoggingTo([cast(ILogObserver, observe)], redirectStandardIO=False)


def _plain(logger: object, method: str, event: MutableMapping[str, Any]) -> Mapping[str, Any]:
    """When, how grave and what come first; what is neither text nor a number is shown as text."""
    ordered = {key: event.pop(key) for key in ("timestamp", "level", "event")}
    for key, value in event.items():
        ordered[key] = value if isinstance(value, str | int | float | bool | None) else str(value)
    return ordered


def _json(event: object, **more: object) -> str:
    return msgspec.json.encode(event).decode()
