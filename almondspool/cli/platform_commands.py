"""Subcommands for request logs and platform files, which need no instance."""

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

_TIME = re.compile(r"\btime=(\d+\.\d+)")
_EVENT = re.compile(r"\bevent=(\S+) ?(.*)")


def explain_request(context: CommandContext) -> CommandResult:
    """Print the log lines of one request in order, from files or standard input."""
    request_id, paths = context.options.request, context.arguments
    pattern = re.compile(rf"\brequest={re.escape(request_id)}(?=\s|$)")
    matching_lines = [line for line in _read_lines(paths) if pattern.search(line)]
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
    """Return whether a file's suffix is that of platform settings or routes."""
    return path.endswith((".toml", ".json"))


def check_platform_file(path: str) -> str:
    """Check a platform file and return a summary of its content.

    Raises:
        AlmondspoolError: With the file, the location and what is allowed.
    """
    if path.endswith(".toml"):
        settings = load_platform_settings(path)
        return f"{path}: settings of {settings.instance} are valid"
    return f"{path}: {_check_configuration(path)}"


def _check_configuration(path: str) -> str:
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
    time, event = _TIME.search(line), _EVENT.search(line)
    if time is None or event is None:
        return 0.0, ""
    return float(time[1]), f"{event[1]} {event[2].rstrip()}"
