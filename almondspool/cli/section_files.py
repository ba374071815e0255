"""Reading of section files and of their base line.

The subcommand ``show`` prints a section below a base line, a YAML comment with the
section's digest. It tells ``apply`` from which text the file was edited.
"""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.errors import DocumentError
from almondspool.protocol.document import parse_section

if TYPE_CHECKING:
    from almondspool.state.document import Section

BASE_PREFIX = "# base: "


class SectionFile(NamedTuple):
    """A valid section file.

    Attributes:
        path: The file's path.
        text: The file's text without the base line.
        base: The digest in the base line; None if the file has no such line.
        section: The parsed section.
    """

    path: str
    text: str
    base: str | None
    section: Section


def read_section_file(path: str) -> SectionFile:
    """Read and check a section file.

    Raises:
        DocumentError: If it cannot be read or is invalid; names every problem found.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(f"{path}: cannot read section: {error}") from error
    # Parsed with the base line, so that messages have the line numbers of the file.
    section = parse_section(text, path)
    base, text = split_base(text)
    return SectionFile(path, text, base, section)


def read_section_files(paths: tuple[str, ...]) -> list[SectionFile]:
    """Read and check section files.

    Raises:
        DocumentError: If any file cannot be read or is invalid; has the problems of
            all files, and their common code or else DOCUMENT_INVALID.
    """
    files = []
    errors = []
    for path in paths:
        try:
            files.append(read_section_file(path))
        except DocumentError as error:
            errors.append(error)
    if errors:
        codes = {error.code for error in errors}
        code = codes.pop() if len(codes) == 1 else ResultCode.DOCUMENT_INVALID
        problems = tuple(problem for error in errors for problem in error.problems)
        raise DocumentError("\n".join(map(str, errors)), code, problems)
    return files


def split_base(text: str) -> tuple[str | None, str]:
    """Return the digest of the base line, or None, and the text without the line."""
    first, separator, rest = text.partition("\n")
    if not first.startswith(BASE_PREFIX):
        return None, text
    return first.removeprefix(BASE_PREFIX).strip(), rest


def join_base(base: str, text: str) -> str:
    """Return a section's text below a base line with a digest."""
    return f"{BASE_PREFIX}{base}\n{text}"
