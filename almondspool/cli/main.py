"""Entry point of the command-line tool: parses flags, runs one subcommand, prints."""

from __future__ import annotations

import json
import sys
import time
import uuid
from typing import TYPE_CHECKING, TextIO

from absl import flags

from almondspool.cli import (
    document_commands,
    drain_commands,
    platform_commands,
    request_commands,
)
from almondspool.cli.client import InstanceClient
from almondspool.cli.options import make_flags, read_options
from almondspool.cli.results import Command, CommandContext, CommandResult
from almondspool.codes import ResultCode, exit_code
from almondspool.errors import AlmondspoolError, DocumentError, UsageError

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ARGUMENTS = 1000
# Group digit of the result codes of requests that ran without a complete result.
INCOMPLETE_RESULT_GROUP = 3

# Listed as a command of its own, since its arguments differ from those of explain.
EXPLAIN_REQUEST_COMMAND = "explain --request=ID"

COMMANDS: tuple[Command, ...] = (
    Command(
        "check",
        "FILE...",
        "Check sections, or settings (.toml) and routes (.json), offline.",
        1,
        MAX_ARGUMENTS,
        False,
        document_commands.check,
    ),
    Command(
        "diff",
        "FILE...",
        "Show what applying section files would change.",
        1,
        MAX_ARGUMENTS,
        True,
        document_commands.diff,
    ),
    Command(
        "apply",
        "FILE...",
        "Submit section files for acceptance.",
        1,
        MAX_ARGUMENTS,
        True,
        document_commands.apply,
    ),
    Command(
        "show",
        "[TEAM]",
        "Show the document in force, or the text of one section.",
        0,
        1,
        True,
        document_commands.show,
    ),
    Command(
        "status",
        "",
        "Show instances, backlog and platform calls.",
        0,
        0,
        True,
        request_commands.status,
    ),
    Command(
        "entries",
        "",
        "Show which addresses callers should use.",
        0,
        0,
        True,
        request_commands.entries,
    ),
    Command(
        "search",
        "TEAM",
        "Run one request and show its answer.",
        1,
        1,
        True,
        request_commands.search,
    ),
    Command(
        "explain",
        "TEAM SHARD",
        "Show which upstream would run a shard, and why.",
        2,
        2,
        True,
        request_commands.explain,
    ),
    Command(
        EXPLAIN_REQUEST_COMMAND,
        "[LOG...]",
        "Show a request's events in order, from log files or standard input.",
        0,
        MAX_ARGUMENTS,
        False,
        platform_commands.explain_request,
    ),
    Command(
        "drain",
        "UPSTREAM...",
        "Stop sending new work to upstreams.",
        1,
        MAX_ARGUMENTS,
        True,
        drain_commands.drain,
    ),
    Command(
        "undrain",
        "UPSTREAM...",
        "Resume sending work to upstreams.",
        1,
        MAX_ARGUMENTS,
        True,
        drain_commands.undrain,
    ),
)
COMMANDS_BY_NAME = {command.name: command for command in COMMANDS}

EXAMPLES = """\
examples:
  almondspool check sections/*.yaml
  almondspool --instance=10.0.0.1:7100 show alert-desk > alert-desk.yaml
  almondspool --instance=10.0.0.1:7100,10.0.0.2:7100 apply alert-desk.yaml --wait
  almondspool search alert-desk --query=suburb=Bayswater --caller=flood-desk
  almondspool drain alert-desk-01-a --wait
  almondspool status --json
  almondspool explain --request=9c41d07be2a35f68 instance-*.log
  almondspool check settings.toml config.json
"""


def format_help() -> str:
    """Return the help text: subcommands, flags, exit codes and examples."""
    lines = ["usage: almondspool [flags] COMMAND [arguments]", "", "commands:"]
    for command in COMMANDS:
        synopsis = f"{command.name} {command.usage}".strip()
        lines.append(f"  {synopsis:<20} {command.summary}")
    lines += ["", "flags:"]
    flags_by_name = make_flags()
    for name in sorted(flags_by_name):
        flag = flags_by_name[name]
        flag_synopsis = f"--{name}" if flag.boolean else f"--{name}=VALUE"
        help_text = flag.help.partition(";\n")[0]
        lines.append(f"  {flag_synopsis:<21} {help_text}")
    lines += [
        "",
        "exit code: 0, or the group digit times 10 plus the last digit of the",
    ]
    lines += ["numbered result code, for example 42 for 402 DOCUMENT_CONFLICT", "", ""]
    return "\n".join(lines) + EXAMPLES


def main(argv: Sequence[str]) -> int:
    """Run the tool and return the exit code.

    Args:
        argv: The program's name and its arguments.
    """
    values = make_flags()
    try:
        result = _run_command(values, argv)
    except AlmondspoolError as error:
        result = _describe_error(error)
    if values.json if values.is_parsed() else _is_json_requested(argv):
        print(json.dumps(result.data))
    elif result.lines:
        print("\n".join(result.lines), file=_choose_stream(result.code))
    return exit_code(result.code)


def _is_json_requested(argv: Sequence[str]) -> bool:
    """Return whether a command line that could not be parsed asks for JSON."""
    return any(
        argument.lstrip("-").partition("=")[0] == "json"
        for argument in argv
        if argument.startswith("-")
    )


def _choose_stream(code: ResultCode) -> TextIO:
    """Return stdout for the result of a command, complete or not, else stderr."""
    is_result = code is ResultCode.OK or code // 100 == INCOMPLETE_RESULT_GROUP
    return sys.stdout if is_result else sys.stderr


def _run_command(values: flags.FlagValues, argv: Sequence[str]) -> CommandResult:
    """Parse the command line and run the subcommand that it names.

    Args:
        values: The flags, not yet parsed.
        argv: The program's name and its arguments.

    Raises:
        AlmondspoolError: If the command line is invalid or the subcommand fails.
    """
    try:
        name, *arguments = values(list(argv))[1:] or [""]
    except flags.Error as error:
        raise UsageError(f"{error}; see almondspool --help") from error
    if values.help or name == "help":
        text = format_help()
        return CommandResult(ResultCode.OK, text.splitlines(), {"help": text})
    if name == "explain" and values.request:
        name = EXPLAIN_REQUEST_COMMAND
    command = COMMANDS_BY_NAME.get(name)
    if command is None:
        names = ", ".join(COMMANDS_BY_NAME)
        raise UsageError(f"unknown command {name!r}; commands are {names}")
    if not command.min_arguments <= len(arguments) <= command.max_arguments:
        raise UsageError(f"usage: almondspool {command.name} {command.usage}")
    options = read_options(values)
    if command.needs_instance and not options.instances:
        raise UsageError("no instance given; use --instance=ip:port")
    client = InstanceClient(options.instances, options.timeout_s)
    context = CommandContext(
        options, tuple(arguments), client, time.sleep, lambda: uuid.uuid4().hex
    )
    return command.function(context)


def _describe_error(error: AlmondspoolError) -> CommandResult:
    """Return the result that prints an error with its code and problems."""
    problems = error.problems if isinstance(error, DocumentError) else ()
    data = {
        "code": int(error.code),
        "name": error.code.name,
        "message": str(error),
        "problems": [problem._asdict() for problem in problems],
    }
    lines = [f"error {int(error.code)} {error.code.name}:", *str(error).splitlines()]
    return CommandResult(error.code, lines, data)


def run() -> None:
    """Entry point of the almondspool command."""
    sys.exit(main(sys.argv))
