"""Event log: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_is_plain = re.compile(r"[^\s\"=]+\Z").match


def format_event(event: str, **fields: object) -> str:
    """Return one log line of key=value pairs.

    Args:
        event: The event's name, in lower case with dots.
        fields: Values by key; one that is empty or has spaces, quotes or ``=`` is
            quoted as JSON.
    """
    line = f"event={event}"
    for key, value in fields.items():
        line += f" {key}={_format_value(value)}"
    return line


def _format_value(value: object) -> str:
    # Nearly all values have one of these two types, so they are checked first.
    value_type = type(value)
    if value_type is str:
        return value if _is_plain(value) else json.dumps(value)
    if value_type is int:
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
        """Create a log.

        Args:
            sink: Called with each line, which has no line break at the end; None for
                absl's log at level info.
        """
        self._sink = sink or _absl_sink()

    def write(self, event: str, **fields: object) -> None:
        """Write one event as one line."""
        self._sink(format_event(event, **fields))


def format_prefix(seconds: float, level: str) -> str:
    """Return the key=value pairs that each log line starts with, and a space.

    Args:
        seconds: Time of the event, in seconds since the epoch.
        level: Log level, in lower case.
    """
    return f"time={seconds:.6f} level={level} "


def _absl_sink() -> Callable[[str], None]:
    # Not imported at the top: absl takes 3 MB of memory, which a process that has its
    # own sink does not need.
    from absl import logging as absl_logging

    return absl_logging.info
