"""What a subcommand hands back for printing."""

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
        code: Decides the exit code.
        lines: Output for people.
        data: Output for scripts, as a JSON value.
    """

    code: ResultCode
    lines: list[str]
    data: Any


class CommandContext(NamedTuple):
    """What a subcommand runs with.

    Attributes:
        options: The flags.
        arguments: The arguments after the subcommand's name.
        client: Calls to the instances named by the flags.
        sleep: Waits a number of seconds.
        new_token: Returns a token that no other write has.
    """

    options: Options
    arguments: tuple[str, ...]
    client: InstanceClient
    sleep: Callable[[float], None]
    new_token: Callable[[], str]


class Command(NamedTuple):
    """A subcommand.

    Attributes:
        name: What it is called by.
        usage: Its arguments.
        summary: One line for the help.
        minimum: Fewest arguments.
        maximum: Most arguments.
        needs_instance: Whether it asks an instance.
        function: Runs it.
    """

    name: str
    usage: str
    summary: str
    minimum: int
    maximum: int
    needs_instance: bool
    function: Callable[[CommandContext], CommandResult]
