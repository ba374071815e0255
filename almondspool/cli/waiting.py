"""Waiting until a generation is in force on every live instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.cli.results import CommandContext, CommandResult
from almondspool.codes import ResultCode
from almondspool.errors import InstanceError

if TYPE_CHECKING:
    from almondspool.protocol.operator import MemberRow, StatusAnswer

STATUS_POLL_INTERVAL_S = 0.1
LIVE_STATUSES = ("alive", "suspect", "leaving")  # all statuses except dead


def wait_until_in_force(
    context: CommandContext, result: CommandResult, generation: int
) -> CommandResult:
    """Wait for a generation and add to a result which instances run it.

    Args:
        context: Has the client, the sleep function and the timeout of the wait.
        result: The result of the write that led to the generation.
        generation: The generation of the document to wait for.

    Returns:
        The result with code DOCUMENT_NOT_IN_FORCE if an instance has not adopted the
        generation after the timeout, or with code DOCUMENT_FORCE_UNKNOWN if no
        instance tells the status.
    """
    waited_s = 0.0
    while True:
        try:
            live = live_members(context.client.get_status())
        except InstanceError as error:
            return _extend_result_without_status(result, generation, error)
        behind = [row for row in live if row["generation"] < generation]
        if not behind or waited_s >= context.options.timeout_s:
            break
        context.sleep(STATUS_POLL_INTERVAL_S)
        waited_s += STATUS_POLL_INTERVAL_S
    return _extend_result(result, generation, live, behind)


def live_members(status: StatusAnswer) -> list[MemberRow]:
    """Return the instances that are not known to be dead."""
    return [row for row in status["members"] if row["status"] in LIVE_STATUSES]


def _extend_result_without_status(
    result: CommandResult, generation: int, error: InstanceError
) -> CommandResult:
    """Add to a result that the instances which run a generation are not known."""
    code = ResultCode.DOCUMENT_FORCE_UNKNOWN
    lines = [
        *result.lines,
        f"accepted, but it is not known which instances run generation {generation}:"
        f" {error}",
    ]
    data = {**result.data, "code": int(code), "message": str(error)}
    return CommandResult(code, lines, data)


def _extend_result(
    result: CommandResult,
    generation: int,
    live: list[MemberRow],
    behind: list[MemberRow],
) -> CommandResult:
    """Add to a result which live instances run a generation and which are behind."""
    in_force = [row["instance"] for row in live if row not in behind]
    lines = [
        *result.lines,
        f"generation {generation} is in force on {len(in_force)} of {len(live)} live"
        f" instances: {', '.join(in_force)}",
    ]
    for row in behind:
        lines.append(
            f"not yet on {row['instance']} ({row['status']}), which runs generation"
            f" {row['generation']}"
        )
    code = ResultCode.DOCUMENT_NOT_IN_FORCE if behind else ResultCode.OK
    data = {
        **result.data,
        "code": int(code),
        "in_force": in_force,
        "behind": [row["instance"] for row in behind],
    }
    return CommandResult(code, lines, data)
