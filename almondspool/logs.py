"""Event log: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from absl import logging as absl_logging

if TYPE_CHECKING:
    from collections.abc import Callable

_PLAIN_VALUE = re.compile(r"[^\s\"=]+\Z")


def format_event(event: str, **fields: object) -> str:
    """Return one log line of key=value pairs.

    Args:
        event: The event's name, in lower case with dots.
        fields: Values by key; one with spaces, quotes or ``=`` is quoted as JSON.
    """
    pairs = [f"event={event}"]
    pairs.extend(f"{key}={_format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (list, tuple, set, frozenset)):
        value = ",".join(_format_value(item) for item in value)
    text = str(value)
    return text if _PLAIN_VALUE.match(text) else json.dumps(text)


class EventLog:
    """Writes events to a sink; the default sink is absl's log."""

    def __init__(self, sink: Callable[[str], None] | None = None) -> None:
        """Use the given sink for every line."""
        self._sink = sink or absl_logging.info

    def write(self, event: str, **fields: object) -> None:
        """Write one event as one line."""
        self._sink(format_event(event, **fields))


class AbslLineFormatter(absl_logging.PythonFormatter):
    """Puts time, level and process into key=value form before the event."""

    def format(self, record: object) -> str:
        """Return the whole line of a record."""
        level = record.levelname.lower()
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_event("message", text=message)
        line = f"time={record.created:.6f} level={level} {message}"
        if record.exc_info:
            line += " exception=" + json.dumps(self.formatException(record.exc_info))
        return line
