"""Types of a subcommand's definition, inputs and result."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.cli.client import InstanceClient
    from almondspool.cli.options import Options
    from almondspool.codes import ResultCode


class CommandResult(NamedTuple):
    """The outcome of a subcommand.

    Attributes:
        code: The result code, which determines the exit code.
        lines: Human-readable output.
        data: Output with --json, as a JSON value.
    """

    code: ResultCode
    lines: list[str]
    data: Any


class CommandContext(NamedTuple):
    """Inputs of a subcommand.

    Attributes:
        options: Values of the flags.
        arguments: The arguments after the subcommand's name.
        client: Client of the instances given by --instance.
        sleep: Sleeps for a number of seconds.
        new_token: Returns a unique id for a write or a request.
    """

    options: Options
    arguments: tuple[str, ...]
    client: InstanceClient
    sleep: Callable[[float], None]
    new_token: Callable[[], str]


class Command(NamedTuple):
    """A subcommand.

    Attributes:
        name: Name on the command line.
        usage: Synopsis of the arguments; empty if there are none.
        summary: One-line description in the help.
        min_arguments: Minimum number of arguments.
        max_arguments: Maximum number of arguments.
        needs_instance: Whether it calls an instance, so that one must be given.
        function: Implementation of the subcommand.
    """

    name: str
    usage: str
    summary: str
    min_arguments: int
    max_arguments: int
    needs_instance: bool
    function: Callable[[CommandContext], CommandResult]
