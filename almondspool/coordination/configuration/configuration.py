"""Configuration of an instance: the document in force and its replication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.configuration.configuration_actions import (
    Action,
    AdoptDocument,
    ConfirmManifest,
    LogEvent,
    ReadSections,
    SendMessage,
)
from almondspool.coordination.configuration.manifest_candidates import (
    ManifestCandidate,
    ManifestCandidates,
)
from almondspool.coordination.configuration.readiness import Readiness
from almondspool.coordination.configuration.refusals import Refusals
from almondspool.coordination.configuration.section_fetches import (
    FETCH_TIMEOUT_S,
    PLATFORM,
    MissingSection,
    SectionFetches,
)
from almondspool.coordination.configuration.section_store import (
    SectionStore,
    StoredSection,
    make_stored_section,
)
from almondspool.coordination.membership.rendezvous import rank
from almondspool.errors import DocumentError, PeerError
from almondspool.protocol.document import section_digest
from almondspool.protocol.document_checks import check_document
from almondspool.protocol.manifest import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    SECTION_KIND,
    Manifest,
    decode_manifest,
    section_name,
)
from almondspool.protocol.peer import FetchObjects, ObjectsReply, ReplicatedObject
from almondspool.protocol.section_compression import decompress_section
from almondspool.state.document import EMPTY_DOCUMENT, Document
from almondspool.state.members import Member, MemberStatus, View

if TYPE_CHECKING:
    import random

# Source of manifests that were accepted through this instance.
ACCEPTANCE = "@acceptance"
NON_PEER_SOURCES = (PLATFORM, ACCEPTANCE)
# Number of children of each instance in the tree along which a manifest is pushed.
PUSH_FANOUT = 8
# How long a new instance waits to learn the generations that peers run.
START_WAIT_S = 2.0
# Maximum number of sections sent in answer to one fetch of a peer.
MAX_NAMES_PER_FETCH = 64
_FETCH_MANIFEST = FetchObjects(MANIFEST_KIND, (MANIFEST_NAME,))


class Configuration:
    """Decides which document the instance runs and which messages it sends to peers.

    Every ``on_`` method handles an event and returns actions; ``now`` is in monotonic
    seconds. The document changes only to a higher generation whose sections are all
    present, match the manifest's digests and are valid together.

    Attributes:
        document: The document in force here.
        manifest: The manifest of the document; None before the first one.
        adoptions: How many generations this instance has adopted.
        refusals: Counts of refused manifests and sections, by reason.
        sections: Sections of the document and of the candidates.
    """

    def __init__(
        self,
        instance: str,
        rng: random.Random,
        started_at: float,
        start_wait_s: float = START_WAIT_S,
    ) -> None:
        """Start without a document.

        Args:
            instance: The own name.
            rng: Source of the random choice among peers.
            started_at: Monotonic seconds.
            start_wait_s: How long to wait for peers' generations before being ready.
        """
        self.document: Document = EMPTY_DOCUMENT
        self.manifest: Manifest | None = None
        self.adoptions = 0
        self.refusals = Refusals("configuration.refused")
        self.sections = SectionStore()
        self._instance = instance
        self._rng = rng
        self._readiness = Readiness(started_at + start_wait_s)
        self._manifest_value = b""
        self._view = View({})
        self._highest_peer_generation = 0
        self._candidates = ManifestCandidates(self.sections)
        self._fetches = SectionFetches(rng)
        self._next_manifest_fetch_at = started_at

    def is_ready(self, now: float) -> bool:
        """Return whether the instance may serve with its document.

        A new instance waits until its document is confirmed, by a peer that serves or
        by a conditional write at the platform, and no peer is known to run a higher
        generation. It is also ready if it then knows that there is no document yet.
        """
        if self._readiness.was_ready:
            return True
        return self._readiness.is_ready(self.document.generation, self._peers(), now)

    def on_platform_manifest(self, value: bytes, now: float) -> list[Action]:
        """Handle the manifest as received from the platform by a read or a watch."""
        self._readiness.record_platform_reply()
        return self._handle_manifest(value, PLATFORM) + self._adopt_and_fetch(now)

    def on_platform_manifest_missing(self) -> list[Action]:
        """Handle a read that found no manifest in the platform."""
        self._readiness.record_platform_reply()
        if self.manifest is None:
            return []
        return self.refusals.refuse(
            "manifest_missing", PLATFORM, "the platform has none"
        )

    def on_platform_section(self, name: str, value: bytes, now: float) -> list[Action]:
        """Handle a section as read from the platform."""
        return self._handle_section(name, value, PLATFORM, now) + self._adopt_and_fetch(
            now
        )

    def on_section_read_failed(
        self, names: tuple[str, ...], now: float
    ) -> list[Action]:
        """Handle the failed reads of sections from the platform."""
        self._fetches.fail(names, now)
        return []

    def on_accepted(
        self, manifest_value: bytes, stored: StoredSection, now: float
    ) -> list[Action]:
        """Handle a section that was accepted through this instance."""
        actions = self._handle_manifest(manifest_value, ACCEPTANCE)
        if section_name(stored.section.team, stored.digest) in self._missing_by_name():
            self.sections.add(stored)
        return actions + self._adopt_and_fetch(now)

    def on_peer_objects(
        self, sender: str, reply: ObjectsReply, now: float
    ) -> list[Action]:
        """Handle manifests and sections from a peer; other kinds are ignored."""
        actions: list[Action] = []
        for received in reply.objects:
            if (received.kind, received.name) == (MANIFEST_KIND, MANIFEST_NAME):
                actions += self._handle_manifest(received.value, sender)
            elif received.kind == SECTION_KIND:
                actions += self._handle_compressed_section(received, sender, now)
        return actions + self._adopt_and_fetch(now)

    def on_peer_fetch(self, sender: str, fetch: FetchObjects) -> list[Action]:
        """Answer a peer's fetch with objects in force here, each in its own message."""
        if fetch.kind == MANIFEST_KIND and self.manifest is not None:
            return [SendMessage(sender, self._manifest_message())]
        if fetch.kind != SECTION_KIND or self.manifest is None:
            return []
        digest_by_name = {
            section_name(team, entry.digest): entry.digest
            for team, entry in self.manifest.entries_by_team.items()
        }
        actions: list[Action] = []
        for name in fetch.names[:MAX_NAMES_PER_FETCH]:
            stored = self.sections.find(digest_by_name.get(name, ""))
            if stored is not None:
                replicated_object = ReplicatedObject(
                    SECTION_KIND, name, 1, stored.compressed
                )
                actions.append(SendMessage(sender, ObjectsReply((replicated_object,))))
        return actions

    def on_view(self, view: View, now: float) -> list[Action]:
        """Handle the current membership, which has the generation of each peer."""
        if view is not self._view:
            self._view = view
            self._highest_peer_generation = max(
                (peer.generation for peer in self._peers()), default=0
            )
        return self._fetch_newer_manifest(now)

    def on_tick(self, now: float) -> list[Action]:
        """Start or repeat fetches, and the confirmation of the document, as due."""
        return (
            self._fetch_newer_manifest(now)
            + self._plan_fetches(now)
            + self._confirm(now)
        )

    def on_manifest_confirmed(self, value: bytes, now: float) -> list[Action]:
        """Handle the current manifest, as found by a successful conditional write."""
        actions = self.on_platform_manifest(value, now)
        try:
            generation = decode_manifest(value).generation
        except DocumentError:
            return actions + self.on_manifest_unconfirmed("it is not valid", now)
        self._readiness.record_confirmation(generation, now)
        fields = {"generation": generation, "running": self.document.generation}
        return [*actions, LogEvent("configuration.confirmed", fields)]

    def on_manifest_unconfirmed(self, reason: str, now: float) -> list[Action]:
        """Handle a failed conditional write of the manifest."""
        self._readiness.end_confirming(now)
        fields = {"running": self.document.generation, "reason": reason}
        return [LogEvent("configuration.unconfirmed", fields)]

    def _handle_manifest(self, value: bytes, source: str) -> list[Action]:
        try:
            manifest = decode_manifest(value)
        except DocumentError as error:
            return self.refusals.refuse("manifest_invalid", source, str(error))
        if self._is_lower(manifest):
            return self._refuse_lower(manifest, source)
        if manifest == self.manifest:
            return []
        if manifest.generation == self.document.generation:
            detail = f"generation {manifest.generation} is in force with other content"
            return self.refusals.refuse("manifest_differs", source, detail)
        if self.refusals.is_known("manifest_unusable", section_digest(value)):
            self.refusals.counts["manifest_unusable"] += 1
            return []
        self._candidates.add(manifest, value, source)
        return []

    def _is_lower(self, manifest: Manifest) -> bool:
        return manifest.generation < self.document.generation

    def _refuse_lower(self, manifest: Manifest, source: str) -> list[Action]:
        detail = f"generation {manifest.generation} is below {self.document.generation}"
        actions = self.refusals.refuse("manifest_lower", source, detail)
        if source not in NON_PEER_SOURCES:
            actions.append(SendMessage(source, self._manifest_message()))
        return actions

    def _handle_compressed_section(
        self, replicated_object: ReplicatedObject, sender: str, now: float
    ) -> list[Action]:
        try:
            text = decompress_section(replicated_object.value)
        except PeerError as error:
            self._fetches.fail((replicated_object.name,), now)
            return self.refusals.refuse(
                "section_damaged", sender, f"{replicated_object.name}: {error}"
            )
        return self._handle_section(replicated_object.name, text, sender, now)

    def _handle_section(
        self, name: str, text: bytes, source: str, now: float
    ) -> list[Action]:
        missing = self._missing_by_name().get(name)
        if missing is None:
            self.refusals.counts["section_unasked"] += 1
            return []
        digest = section_digest(text)
        if digest not in missing.digests:
            self._fetches.fail((name,), now)
            detail = f"{name}: digest {digest[:16]} is not the accepted one"
            return self.refusals.refuse("section_damaged", source, detail)
        try:
            self.sections.add(make_stored_section(missing.team, text))
        except DocumentError as error:
            return self._refuse_candidates(digest, source, str(error))
        return []

    def _refuse_candidates(self, digest: str, source: str, detail: str) -> list[Action]:
        """Refuse all candidates that name a section whose text is invalid."""
        actions: list[Action] = []
        for candidate in self._candidates.with_section(digest):
            actions += self._refuse_candidate(candidate, source, detail)
        return actions

    def _refuse_candidate(
        self, candidate: ManifestCandidate, source: str, detail: str
    ) -> list[Action]:
        self._candidates.remove(candidate)
        generation = candidate.manifest.generation
        return self.refusals.refuse(
            "manifest_unusable",
            source,
            f"generation {generation}: {detail}",
            section_digest(candidate.value),
        )

    def _adopt_and_fetch(self, now: float) -> list[Action]:
        """Adopt the highest complete and valid candidate; fetch missing sections."""
        actions: list[Action] = []
        for candidate in self._candidates.by_descending_generation():
            if not self._candidates.is_complete(candidate):
                continue
            document = self._assemble(candidate.manifest)
            problems = check_document(document.sections_by_team)
            if problems:
                detail = "; ".join(map(str, problems))
                source = candidate.sources[0]
                actions += self._refuse_candidate(candidate, source, detail)
                continue
            actions += self._adopt(candidate, document)
            break
        return actions + self._plan_fetches(now)

    def _assemble(self, manifest: Manifest) -> Document:
        sections_by_team = {
            team: self.sections.find(entry.digest).section
            for team, entry in manifest.entries_by_team.items()
        }
        return Document(manifest.generation, sections_by_team)

    def _adopt(self, candidate: ManifestCandidate, document: Document) -> list[Action]:
        previous = self.manifest
        self.manifest = candidate.manifest
        self.document = document
        self._manifest_value = candidate.value
        self.adoptions += 1
        self._candidates.remove_up_to(document.generation)
        self.sections.keep_only(self._candidates.digests() | candidate.digests())
        source = candidate.sources[0]
        fields = {
            "generation": document.generation,
            "was": previous.generation if previous else 0,
            "teams": changed_teams(previous, candidate.manifest),
            "source": source,
        }
        return [
            AdoptDocument(document),
            LogEvent("configuration.adopted", fields),
            *self._push_manifest(source),
        ]

    def _push_manifest(self, source: str) -> list[Action]:
        """Push the manifest to the next instances in a tree.

        The tree orders the serving instances by their rank for the generation, so that
        the root differs by generation. An instance that received the manifest from the
        platform or accepted it also pushes it to the root.
        """
        serving = {member.instance for member in self._view.serving()}
        generation = self.document.generation
        order = rank(f"generation/{generation}", serving | {self._instance})
        index = order.index(self._instance)
        targets = list(order[index * PUSH_FANOUT + 1 : (index + 1) * PUSH_FANOUT + 1])
        if index and source in NON_PEER_SOURCES:
            targets.append(order[0])
        message = self._manifest_message()
        return [SendMessage(target, message) for target in targets if target != source]

    def _manifest_message(self) -> ObjectsReply:
        generation = self.document.generation
        replicated_object = ReplicatedObject(
            MANIFEST_KIND, MANIFEST_NAME, generation, self._manifest_value
        )
        return ObjectsReply((replicated_object,))

    def _peers(self) -> tuple[Member, ...]:
        return tuple(
            member
            for instance, member in sorted(self._view.members_by_instance.items())
            if instance != self._instance and member.status != MemberStatus.DEAD
        )

    def _peers_from_generation(self, generation: int) -> tuple[str, ...]:
        return tuple(
            member.instance
            for member in self._peers()
            if member.generation >= generation
        )

    def _confirm(self, now: float) -> list[Action]:
        if self._readiness.was_ready:
            return []
        generation, peers = self.document.generation, self._peers()
        is_due = self._readiness.start_confirming(generation, peers, now)
        return [ConfirmManifest()] if is_due else []

    def _fetch_newer_manifest(self, now: float) -> list[Action]:
        """Fetch the manifest from a peer that runs a higher generation."""
        if (
            self._highest_peer_generation <= self.document.generation
            or now < self._next_manifest_fetch_at
        ):
            return []
        peers_ahead = self._peers_from_generation(self.document.generation + 1)
        self._next_manifest_fetch_at = now + FETCH_TIMEOUT_S
        return [SendMessage(self._rng.choice(peers_ahead), _FETCH_MANIFEST)]

    def _missing_by_name(self) -> dict[str, MissingSection]:
        return self._candidates.missing_by_name(self._peers_of)

    def _peers_of(self, candidate: ManifestCandidate) -> tuple[str, ...]:
        senders = (
            source for source in candidate.sources if source not in NON_PEER_SOURCES
        )
        return (*senders, *self._peers_from_generation(candidate.manifest.generation))

    def _plan_fetches(self, now: float) -> list[Action]:
        actions: list[Action] = []
        plan = self._fetches.plan(now, self._missing_by_name())
        for target, names in plan.items():
            if target == PLATFORM:
                actions.append(ReadSections(SECTION_KIND, names))
            else:
                actions.append(SendMessage(target, FetchObjects(SECTION_KIND, names)))
            for name in filter(self._fetches.has_used_quick_attempts, names):
                actions += self.refusals.refuse("section_missing", target, name)
        return actions


def changed_teams(old: Manifest | None, new: Manifest) -> list[str]:
    """Return the teams whose sections differ between two manifests."""
    before = old.entries_by_team if old else {}
    teams = sorted(before.keys() | new.entries_by_team.keys())
    return [team for team in teams if before.get(team) != new.entries_by_team.get(team)]
