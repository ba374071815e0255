"""Sink and formatter that write event lines to absl's log."""

from __future__ import annotations

import json
import time

from absl import logging as absl_logging

from almondspool.logs import format_event, format_prefix


class AbslSink:
    """Writes event lines to the stream of absl's handler.

    The handler is written to directly because every leg is logged, and absl's logging
    functions take several times as long as formatting the line: they walk the stack
    for the caller's name, which no event line shows.
    """

    def __init__(self) -> None:
        """Use the handler that absl has at this time."""
        self._handler = absl_logging.get_absl_handler().python_handler

    def __call__(self, line: str) -> None:
        """Write one line at level info, or nothing if absl's verbosity is lower."""
        if absl_logging.get_verbosity() >= absl_logging.INFO:
            self._handler.stream.write(format_prefix(time.time(), "info") + line + "\n")


class AbslLineFormatter(absl_logging.PythonFormatter):
    """Formats a record as key=value pairs: time and level, then the event.

    A message that is not an event, such as one of a library, becomes the text of an
    event named ``message``.
    """

    def format(self, record: object) -> str:
        """Return the log line of a record, with the traceback of its exception."""
        level = record.levelname.lower()
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_event("message", text=message)
        line = format_prefix(record.created, level) + message
        if record.exc_info:
            line += " exception=" + json.dumps(self.formatException(record.exc_info))
        return line
