"""The subcommands check, show, diff and apply, for sections of the document."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

from almondspool.cli.platform_commands import check_platform_file, is_platform_file
from almondspool.cli.results import CommandContext, CommandResult
from almondspool.cli.section_files import SectionFile, join_base, read_section_files
from almondspool.cli.tables import format_table
from almondspool.cli.waiting import wait_until_in_force
from almondspool.codes import ResultCode
from almondspool.errors import DocumentError, InstanceError, UsageError
from almondspool.protocol.document_checks import check_document

if TYPE_CHECKING:
    from almondspool.protocol.operator import ApplyAnswer, SectionAnswer


def check(context: CommandContext) -> CommandResult:
    """Check section files individually and against each other, offline.

    Platform files, recognized by their suffix, are only checked individually.
    """
    paths = context.arguments
    lines = [check_platform_file(path) for path in paths if is_platform_file(path)]
    files = read_section_files([path for path in paths if not is_platform_file(path)])
    _check_combined(files)
    lines += [f"{file.path}: section {file.section.team} is valid" for file in files]
    teams = [file.section.team for file in files]
    return CommandResult(ResultCode.OK, lines, {"code": 0, "teams": teams})


def _check_combined(files: list[SectionFile]) -> None:
    """Raise a DocumentError unless the files together make a valid document."""
    path_by_team: dict[str, str] = {}
    for file in files:
        other = path_by_team.setdefault(file.section.team, file.path)
        if other != file.path:
            raise DocumentError(
                f"{file.path}: team {file.section.team!r} is also the team of {other}"
            )
    problems = check_document({file.section.team: file.section for file in files})
    if problems:
        raise DocumentError("\n".join(map(str, problems)), problems=problems)


def show(context: CommandContext) -> CommandResult:
    """Show the sections of the document in force, or the text of one of them."""
    if context.arguments:
        section = context.client.get_section(context.arguments[0])
        text = join_base(section["digest"], section["text"])
        return CommandResult(ResultCode.OK, text.splitlines(), section)
    document = context.client.get_document()
    lines = [f"generation {document['generation']}"]
    lines += format_table(("team", "version", "digest"), document["sections"])
    return CommandResult(ResultCode.OK, lines, document)


def diff(context: CommandContext) -> CommandResult:
    """Show the differences between the sections in force and section files."""
    lines = []
    changed_teams = []
    for file in read_section_files(context.arguments):
        accepted = _find_section(context, file.section.team)
        changes = _diff_lines(file, accepted)
        lines += changes or [f"{file.path}: no change"]
        if changes:
            changed_teams.append(file.section.team)
    return CommandResult(ResultCode.OK, lines, {"code": 0, "changed": changed_teams})


def _diff_lines(file: SectionFile, accepted: SectionAnswer | None) -> list[str]:
    accepted_text = accepted["text"] if accepted else ""
    version_label = f"version {accepted['version']}" if accepted else "none"
    return list(
        difflib.unified_diff(
            accepted_text.splitlines(),
            file.text.splitlines(),
            f"{file.section.team} ({version_label})",
            file.path,
            lineterm="",
        )
    )


def apply(context: CommandContext) -> CommandResult:
    """Submit section files one by one until one is refused."""
    files = read_section_files(context.arguments)
    _check_combined(files)
    if context.options.token and len(files) > 1:
        raise UsageError("--token identifies one write; give one file with it")
    lines = []
    answers = []
    code = ResultCode.OK
    for file in files:
        token = context.options.token or context.new_token()
        base = _choose_base(context, file)
        try:
            answer = context.client.apply_section(
                file.section.team, file.text.encode(), base, token
            )
        except InstanceError as error:
            if error.code is not ResultCode.OUTCOME_UNKNOWN:
                raise
            code = ResultCode.DOCUMENT_OUTCOME_UNKNOWN
            lines += [
                f"unknown, {int(code)} {code.name}: {error}",
                _describe_repetition(token),
            ]
            answers.append(
                {"code": int(code), "team": file.section.team, "token": token}
            )
            break
        answers.append(answer)
        code = ResultCode(answer["code"])
        lines += describe_apply(answer, token)
        if code is not ResultCode.OK:
            break
    data = {"code": int(code), "sections": answers}
    result = CommandResult(code, lines, data)
    if code is ResultCode.OK and context.options.wait:
        return wait_until_in_force(context, result, answers[-1]["generation"])
    return result


def _choose_base(context: CommandContext, file: SectionFile) -> str:
    """Return the digest of the section that a file was edited from.

    It is taken from --base, from the file's base line unless --replace is given, or
    from the section in force if --replace is given or the file equals that section. It
    is empty for a new section.

    Raises:
        UsageError: If none of these applies: the write could overwrite a change that
            the file does not contain.
    """
    if context.options.base is not None:
        return context.options.base
    if file.base is not None and not context.options.replace:
        return file.base
    accepted = _find_section(context, file.section.team)
    if accepted is None:
        return ""
    if context.options.replace or accepted["text"] == file.text:
        return accepted["digest"]
    raise UsageError(
        f"{file.path}: section {file.section.team} is in version"
        f" {accepted['version']}; start from the output of 'show"
        f" {file.section.team}', which names its base, or give --base or --replace"
    )


def _find_section(context: CommandContext, team: str) -> SectionAnswer | None:
    """Return a team's section in force, or None if it has none."""
    try:
        return context.client.get_section(team)
    except InstanceError as error:
        if error.code is ResultCode.DOCUMENT_UNKNOWN_TEAM:
            return None
        raise


def describe_apply(answer: ApplyAnswer, token: str) -> list[str]:
    """Return the lines that describe the outcome of a write, and what to do next.

    Args:
        answer: The instance's answer to the write.
        token: The token that the write was sent with.
    """
    code = ResultCode(answer["code"])
    if code is ResultCode.OK:
        generation = answer["generation"]
        return [f"{answer['message']}; document generation {generation}"]
    lines = [f"refused, {int(code)} {code.name}: {answer['message']}"]
    if code is ResultCode.DOCUMENT_CONFLICT:
        lines.append(
            f"show {answer['team']} gives the accepted version"
            f" {answer['current_version']}; edit that one and apply it again"
        )
    if code is ResultCode.OUTCOME_UNKNOWN:
        lines.append(_describe_repetition(token))
    return lines


def _describe_repetition(token: str) -> str:
    return f"repeat the same command with --token={token}"
