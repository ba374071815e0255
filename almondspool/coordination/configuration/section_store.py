"""Valid sections in memory by digest, compressed as peers fetch them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.errors import DocumentError
from almondspool.protocol.document import decode_section, section_digest
from almondspool.protocol.section_compression import (
    compress_section,
    decompress_section,
)

if TYPE_CHECKING:
    from collections.abc import Set

    from almondspool.state.document import Section


class StoredSection(NamedTuple):
    """A section whose text was found valid.

    Attributes:
        digest: SHA-256 of the text, in hexadecimal digits.
        section: The decoded section.
        compressed: The compressed text, as peers fetch it.
    """

    digest: str
    section: Section
    compressed: bytes

    def text(self) -> bytes:
        """Return the text as written by its team."""
        return decompress_section(self.compressed)


def make_stored_section(team: str, text: bytes) -> StoredSection:
    """Validate a section's text and return it with its digest.

    Raises:
        DocumentError: When the text is invalid or belongs to another team.
    """
    section = decode_section(text, f"section {team}")
    if section.team != team:
        raise DocumentError(f"section {team}: the text names team {section.team!r}")
    return StoredSection(section_digest(text), section, compress_section(text))


class SectionStore:
    """Valid sections by digest."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_digest: dict[str, StoredSection] = {}

    def find(self, digest: str) -> StoredSection | None:
        """Return the section with a digest; None if there is none."""
        return self._by_digest.get(digest)

    def add(self, stored: StoredSection) -> None:
        """Add a section, or replace the one with the same digest."""
        self._by_digest[stored.digest] = stored

    def keep_only(self, digests: Set[str]) -> None:
        """Remove all sections except those with the given digests."""
        for digest in self._by_digest.keys() - digests:
            del self._by_digest[digest]
