"""Manifests of higher generations whose sections are being collected."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.configuration.section_fetches import MissingSection
from almondspool.protocol.manifest import Manifest, section_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.configuration.section_store import SectionStore

MAX_CANDIDATES = 8


class ManifestCandidate(NamedTuple):
    """A manifest of a higher generation than the one in force here.

    Attributes:
        manifest: The decoded manifest.
        value: The encoded manifest, as stored in the platform.
        sources: Where it was received from, in the order of arrival: peers' names,
            PLATFORM or ACCEPTANCE.
    """

    manifest: Manifest
    value: bytes
    sources: tuple[str, ...]

    def digests(self) -> set[str]:
        """Return the digests of all its sections."""
        return {entry.digest for entry in self.manifest.entries_by_team.values()}


class ManifestCandidates:
    """Candidates by encoded manifest; above MAX_CANDIDATES the oldest is removed."""

    def __init__(self, sections: SectionStore) -> None:
        """Start empty; a section is missing if it is not in ``sections``."""
        self._sections = sections
        self._by_value: OrderedDict[bytes, ManifestCandidate] = OrderedDict()

    def add(self, manifest: Manifest, value: bytes, source: str) -> None:
        """Add a manifest, or one more source of a known one."""
        known = self._by_value.get(value, ManifestCandidate(manifest, value, ()))
        if source not in known.sources:
            known = known._replace(sources=(*known.sources, source))
        self._by_value[value] = known
        if len(self._by_value) > MAX_CANDIDATES:
            self._by_value.popitem(last=False)

    def by_descending_generation(self) -> list[ManifestCandidate]:
        """Return all candidates, the highest generation first."""
        candidates = self._by_value.values()
        return sorted(candidates, key=lambda candidate: -candidate.manifest.generation)

    def with_section(self, digest: str) -> list[ManifestCandidate]:
        """Return the candidates that name a section."""
        return [
            candidate
            for candidate in self._by_value.values()
            if digest in candidate.digests()
        ]

    def remove(self, candidate: ManifestCandidate) -> None:
        """Remove one candidate."""
        del self._by_value[candidate.value]

    def remove_up_to(self, generation: int) -> None:
        """Remove the candidates up to and including a generation."""
        for candidate in tuple(self._by_value.values()):
            if candidate.manifest.generation <= generation:
                self.remove(candidate)

    def digests(self) -> set[str]:
        """Return the digests of all sections that any candidate names."""
        return {
            digest
            for candidate in self._by_value.values()
            for digest in candidate.digests()
        }

    def is_complete(self, candidate: ManifestCandidate) -> bool:
        """Return whether every section of a candidate is in the store."""
        return all(self._sections.find(digest) for digest in candidate.digests())

    def missing_by_name(
        self, peers_of: Callable[[ManifestCandidate], tuple[str, ...]]
    ) -> dict[str, MissingSection]:
        """Return the missing sections of all candidates by object name.

        Args:
            peers_of: Returns the instances that should have a candidate's sections.
        """
        missing_by_name: dict[str, MissingSection] = {}
        for candidate in self._by_value.values():
            peers = peers_of(candidate)
            for team, entry in candidate.manifest.entries_by_team.items():
                if self._sections.find(entry.digest) is None:
                    name = section_name(team, entry.digest)
                    other = missing_by_name.get(
                        name, MissingSection(team, frozenset(), ())
                    )
                    missing_by_name[name] = MissingSection(
                        team, other.digests | {entry.digest}, other.peers + peers
                    )
        return missing_by_name
