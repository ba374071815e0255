"""Event log: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import re
import time
from typing import TYPE_CHECKING

from absl import logging as absl_logging

if TYPE_CHECKING:
    from collections.abc import Callable

_is_plain = re.compile(r"[^\s\"=]+\Z").match


def format_event(event: str, **fields: object) -> str:
    """Return one log line of key=value pairs.

    Args:
        event: The event's name, in lower case with dots.
        fields: Values by key; one with spaces, quotes or ``=`` is quoted as JSON.
    """
    line = f"event={event}"
    for key, value in fields.items():
        line += f" {key}={_format_value(value)}"
    return line


def _format_value(value: object) -> str:
    # Nearly all values are of these two types, so they are asked for first.
    kind = type(value)
    if kind is str:
        return value if _is_plain(value) else json.dumps(value)
    if kind is int:
        return str(value)
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (list, tuple, set, frozenset)):
        value = ",".join([_format_value(item) for item in value])
    text = str(value)
    return text if _is_plain(text) else json.dumps(text)


class EventLog:
    """Writes events to a sink; the default sink is absl's log."""

    def __init__(self, sink: Callable[[str], None] | None = None) -> None:
        """Use the given sink for every line."""
        self._sink = sink or absl_logging.info

    def write(self, event: str, **fields: object) -> None:
        """Write one event as one line."""
        self._sink(format_event(event, **fields))


class AbslSink:
    """Writes event lines to the stream of absl's handler.

    Every leg is logged, and absl's own way there costs several times as much as the
    line: it walks the stack for the caller's name, which no event line shows.
    """

    def __init__(self) -> None:
        """Use the handler that absl has now."""
        self._handler = absl_logging.get_absl_handler().python_handler

    def __call__(self, line: str) -> None:
        """Write one line at level info, unless the verbosity is lower."""
        if absl_logging.get_verbosity() >= absl_logging.INFO:
            self._handler.stream.write(_prefix(time.time(), "info") + line + "\n")


class AbslLineFormatter(absl_logging.PythonFormatter):
    """Puts time, level and process into key=value form before the event."""

    def format(self, record: object) -> str:
        """Return the whole line of a record."""
        level = record.levelname.lower()
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_event("message", text=message)
        line = _prefix(record.created, level) + message
        if record.exc_info:
            line += " exception=" + json.dumps(self.formatException(record.exc_info))
        return line


def _prefix(seconds: float, level: str) -> str:
    return f"time={seconds:.6f} level={level} "
