"""Definition, inputs and result of a subcommand."""

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
        code: The result code, which sets the exit code.
        lines: Output for people.
        data: Output for scripts, as a JSON value.
    """

    code: ResultCode
    lines: list[str]
    data: Any


class CommandContext(NamedTuple):
    """Inputs of a subcommand.

    Attributes:
        options: Values of the flags.
        arguments: The arguments after the subcommand's name.
        client: Client of the instances named by the flags.
        sleep: Waits a number of seconds.
        new_token: Returns a unique token for a write.
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
        usage: Synopsis of the arguments.
        summary: One-line description in the help.
        min_arguments: Minimum number of arguments.
        max_arguments: Maximum number of arguments.
        needs_instance: Whether it calls an instance.
        function: Implementation of the subcommand.
    """

    name: str
    usage: str
    summary: str
    min_arguments: int
    max_arguments: int
    needs_instance: bool
    function: Callable[[CommandContext], CommandResult]
