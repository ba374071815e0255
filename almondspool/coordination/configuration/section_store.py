"""Sections by digest, checked once and kept compressed for peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.errors import DocumentError
from almondspool.protocol.document import decode_section, section_digest
from almondspool.protocol.section_packing import pack_section, unpack_section

if TYPE_CHECKING:
    from collections.abc import Set

    from almondspool.state.document import Section


class StoredSection(NamedTuple):
    """A section whose text was found valid.

    Attributes:
        digest: SHA-256 of the text.
        section: The decoded section.
        packed: The text in the form in which peers copy it.
    """

    digest: str
    section: Section
    packed: bytes

    def text(self) -> bytes:
        """Return the text as written by its team."""
        return unpack_section(self.packed)


def make_stored_section(team: str, text: bytes) -> StoredSection:
    """Check a section's text.

    Raises:
        DocumentError: When the text is invalid or of another team.
    """
    section = decode_section(text, f"section {team}")
    if section.team != team:
        raise DocumentError(f"section {team}: the text names team {section.team!r}")
    return StoredSection(section_digest(text), section, pack_section(text))


class SectionStore:
    """Valid sections by digest."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_digest: dict[str, StoredSection] = {}

    def find(self, digest: str) -> StoredSection | None:
        """Return the section with a digest, or None."""
        return self._by_digest.get(digest)

    def add(self, stored: StoredSection) -> None:
        """Keep a section."""
        self._by_digest[stored.digest] = stored

    def keep(self, digests: Set[str]) -> None:
        """Forget every section but those with the given digests."""
        for digest in self._by_digest.keys() - digests:
            del self._by_digest[digest]
