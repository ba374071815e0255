"""Subcommands for request logs and for the platform's settings and routes files.

None of them calls an instance.
"""

from __future__ import annotations

import pathlib
import re
import sys
from typing import TYPE_CHECKING

import msgspec

from almondspool.cli.results import CommandContext, CommandResult
from almondspool.codes import ResultCode
from almondspool.errors import DocumentError, SettingsError, UsageError
from almondspool.platform.configuration import decode_configuration
from almondspool.platform.settings import load_platform_settings

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_TIME_PATTERN = re.compile(r"\btime=(\d+\.\d+)")
_EVENT_PATTERN = re.compile(r"\bevent=(\S+) ?(.*)")


def explain_request(context: CommandContext) -> CommandResult:
    """Show the events of one request in order of time, relative to the first one.

    They are read from log files or, without arguments, from standard input.
    """
    request_id, paths = context.options.request, context.arguments
    request_pattern = re.compile(rf"\brequest={re.escape(request_id)}(?=\s|$)")
    matching_lines = [
        line for line in _read_lines(paths) if request_pattern.search(line)
    ]
    timed_events = sorted(
        (time, event) for time, event in map(_parse_line, matching_lines) if event
    )
    if not timed_events:
        raise UsageError(f"no line of request {request_id}; it may be in another file")
    started_at = timed_events[0][0]
    lines = [
        f"{(time - started_at) * 1000.0:+9.1f} ms  {event}"
        for time, event in timed_events
    ]
    data = {"request": request_id, "lines": [event for _, event in timed_events]}
    return CommandResult(ResultCode.OK, lines, data)


def is_platform_file(path: str) -> bool:
    """Return whether a file has the suffix of platform settings or of routes."""
    return path.endswith((".toml", ".json"))


def check_platform_file(path: str) -> str:
    """Check a file of platform settings or routes and return a one-line summary.

    Raises:
        SettingsError: If the file cannot be read or holds invalid settings.
        DocumentError: If it holds invalid routes. Either message has the file, the
            location and what is allowed.
    """
    if path.endswith(".toml"):
        settings = load_platform_settings(path)
        return f"{path}: settings of {settings.instance} are valid"
    return f"{path}: {_check_configuration(path)}"


def _check_configuration(path: str) -> str:
    """Check a routes file and return a summary of its content."""
    try:
        spec = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: cannot read configuration: {error}") from error
    try:
        table = decode_configuration(spec)
    except DocumentError as error:
        raise DocumentError(f"{path}: {error}") from error
    return f"version {table.version} with {len(table.routes())} routes is valid"


def _read_lines(paths: Iterable[str]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        try:
            with pathlib.Path(path).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise UsageError(f"{path}: {error}") from error


def _parse_line(line: str) -> tuple[float, str]:
    """Return an event's time, in seconds since the epoch, and its name and fields.

    The second value is empty for a line that is not an event.
    """
    time, event = _TIME_PATTERN.search(line), _EVENT_PATTERN.search(line)
    if time is None or event is None:
        return 0.0, ""
    return float(time[1]), f"{event[1]} {event[2].rstrip()}"
