"""Answers to operators about the document of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.errors import DocumentError
from almondspool.protocol.operator import (
    ApplyAnswer,
    DocumentAnswer,
    SectionAnswer,
    SectionSummary,
)

if TYPE_CHECKING:
    from almondspool.coordination.configuration.configuration import Configuration
    from almondspool.coordination.configuration.configuration_task import (
        ConfigurationTask,
    )


def describe_document(configuration: Configuration) -> DocumentAnswer:
    """Return the document in force."""
    manifest = configuration.manifest
    entries_by_team = manifest.entries_by_team if manifest else {}
    sections = [
        SectionSummary(team=team, digest=entry.digest, version=entry.version)
        for team, entry in sorted(entries_by_team.items())
    ]
    generation = configuration.document.generation
    return DocumentAnswer(generation=generation, sections=sections)


def describe_section(configuration: Configuration, team: str) -> SectionAnswer:
    """Return one section in force.

    Raises:
        DocumentError: With DOCUMENT_UNKNOWN_TEAM if the team has no section.
    """
    manifest = configuration.manifest
    entry = manifest.entries_by_team.get(team) if manifest else None
    if entry is None:
        teams = ", ".join(sorted(manifest.entries_by_team)) if manifest else "none"
        raise DocumentError(
            f"no section of team {team!r}; teams are: {teams}",
            ResultCode.DOCUMENT_UNKNOWN_TEAM,
        )
    return SectionAnswer(
        team=team,
        digest=entry.digest,
        version=entry.version,
        generation=manifest.generation,
        text=configuration.sections.find(entry.digest).text().decode(),
    )


def apply_section(
    task: ConfigurationTask, team: str, text: bytes, base: str, token: str
) -> ApplyAnswer:
    """Submit a section to the task and return the outcome.

    Args:
        task: The configuration task of the instance.
        team: The team that the text must name.
        text: The section's YAML text.
        base: Digest of the section that it was edited from; empty if there was none.
        token: Unique for this write; the same if the operator repeats the write.
    """
    acceptance = task.accept(team, text, base, token)
    return ApplyAnswer(
        code=int(acceptance.code),
        team=acceptance.team,
        generation=acceptance.generation,
        digest=acceptance.digest,
        message=acceptance.message,
        current_digest=acceptance.current_digest,
        current_version=acceptance.current_version,
    )
