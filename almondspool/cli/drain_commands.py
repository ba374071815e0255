"""The subcommands drain and undrain, which edit a section's ``drained`` list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.cli.document_commands import describe_apply
from almondspool.cli.drained_edit import set_drained
from almondspool.cli.results import CommandContext, CommandResult
from almondspool.cli.waiting import wait_until_in_force
from almondspool.codes import ResultCode
from almondspool.errors import UsageError
from almondspool.protocol.document import parse_section

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.operator import ApplyAnswer, SectionAnswer

    # Takes the drained upstreams and the command's arguments; returns the new drained.
    DrainedEdit = Callable[[frozenset[str], frozenset[str]], frozenset[str]]

MAX_APPLY_ATTEMPTS = 5
CONFLICT_RETRY_DELAY_S = 0.2


def drain(context: CommandContext) -> CommandResult:
    """Stop sending new work to upstreams."""
    return _edit_drained(context, lambda drained, selected: drained | selected)


def undrain(context: CommandContext) -> CommandResult:
    """Resume sending work to upstreams."""
    return _edit_drained(context, lambda drained, selected: drained - selected)


def _edit_drained(context: CommandContext, edit: DrainedEdit) -> CommandResult:
    """Edit a section's drained upstreams, again if another write comes in between."""
    upstream_ids = frozenset(context.arguments)
    team = context.options.team or _find_team(context, upstream_ids)
    token = context.options.token or context.new_token()
    for _ in range(MAX_APPLY_ATTEMPTS):
        answer = _apply_edit(context, team, upstream_ids, edit, token)
        if answer["code"] != ResultCode.DOCUMENT_CONFLICT:
            break
        context.sleep(CONFLICT_RETRY_DELAY_S)
    code = ResultCode(answer["code"])
    data = {"code": int(code), "sections": [answer]}
    result = CommandResult(code, describe_apply(answer, token), data)
    if code is ResultCode.OK and context.options.wait:
        return wait_until_in_force(context, result, answer["generation"])
    return result


def _apply_edit(
    context: CommandContext,
    team: str,
    upstream_ids: frozenset[str],
    edit: DrainedEdit,
    token: str,
) -> ApplyAnswer:
    """Read a team's section, edit its drained upstreams and submit the result."""
    answer = context.client.get_section(team)
    section = parse_section(answer["text"], f"section {team}")
    unknown = upstream_ids - section.upstreams_by_id.keys()
    if unknown:
        names = ", ".join(sorted(unknown))
        raise UsageError(f"section {team} has no upstream {names}")
    text = answer["text"]
    drained = edit(section.drained, upstream_ids)
    if drained != section.drained:
        text = set_drained(text, drained)
    return context.client.apply_section(team, text.encode(), answer["digest"], token)


def _find_team(context: CommandContext, upstream_ids: frozenset[str]) -> str:
    """Return the team whose section has all the upstreams."""
    teams = [summary["team"] for summary in context.client.get_document()["sections"]]
    for team in teams:
        if upstream_ids <= _upstream_ids(context.client.get_section(team)):
            return team
    names = ", ".join(sorted(upstream_ids))
    raise UsageError(f"no section has {names}; sections are {', '.join(teams)}")


def _upstream_ids(answer: SectionAnswer) -> set[str]:
    section = parse_section(answer["text"], f"section {answer['team']}")
    return set(section.upstreams_by_id)
