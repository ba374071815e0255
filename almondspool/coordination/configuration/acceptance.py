"""Acceptance of a team's section: full validation, then one conditional update."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from returns.result import Result, Success

from almondspool.codes import ResultCode
from almondspool.coordination.configuration.section_retention import (
    delete_versions,
    look_up_versions,
)
from almondspool.coordination.configuration.section_store import make_stored_section
from almondspool.coordination.store.retrying_platform import RetryingPlatform
from almondspool.errors import (
    AlmondspoolError,
    CallNotStartedError,
    DocumentError,
    PlatformError,
)
from almondspool.protocol.document import decode_section, section_digest
from almondspool.protocol.document_checks import check_document, check_section_update
from almondspool.protocol.manifest import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    SECTION_KIND,
    Manifest,
    SectionEntry,
    decode_manifest,
    encode_manifest,
    expired_sections,
    replace_section,
    section_name,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.coordination.configuration.configuration import Configuration
    from almondspool.coordination.configuration.section_store import StoredSection
    from almondspool.protocol.platform import PlatformInterface, PlatformObject
    from almondspool.state.document import Section

# How often one write reads the manifest and tries to update it.
MAX_ATTEMPTS = 8
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0


class Acceptance(NamedTuple):
    """The outcome of one write of a section, as returned to the operator.

    Attributes:
        code: OK, or why the section is not accepted.
        message: The outcome or the problems of the section, in one or more lines.
        team: The section's team.
        generation: The generation that contains the section; 0 if it is not accepted.
        digest: Digest of the submitted text.
        current_digest: Digest of the team's accepted section; only set for a conflict.
        current_version: The generation that accepted that section; only set for a
            conflict.
        attempts: How many attempts were made; at most MAX_ATTEMPTS.
    """

    code: ResultCode
    message: str
    team: str
    generation: int = 0
    digest: str = ""
    current_digest: str = ""
    current_version: int = 0
    attempts: int = 0


class AcceptedSection(NamedTuple):
    """An accepted section and its manifest, for the instance to adopt.

    Attributes:
        manifest_value: The manifest as stored in the platform.
        stored: The section.
    """

    manifest_value: bytes
    stored: StoredSection


class _Submission(NamedTuple):
    text: bytes
    stored: StoredSection
    base_digest: str
    token: str

    @property
    def team(self) -> str:
        return self.stored.section.team

    @property
    def digest(self) -> str:
        return self.stored.digest


class _StoredManifest(NamedTuple):
    """The manifest as read from the platform; version 0 if there is none."""

    manifest: Manifest | None
    version: int

    def entry(self, team: str) -> SectionEntry | None:
        return self.manifest.entries_by_team.get(team) if self.manifest else None


class _FailedAttempt(NamedTuple):
    """A failed attempt, after which another one may succeed.

    Attributes:
        error: Why it failed.
    """

    error: AlmondspoolError


class Acceptor:
    """Accepts sections that operators submit to one instance."""

    def __init__(
        self,
        platform: PlatformInterface,
        configuration: Configuration,
        rng: random.Random,
        sleep: Callable[[float], None],
        on_accepted: Callable[[AcceptedSection], None],
    ) -> None:
        """Create the acceptor of one instance.

        Args:
            platform: Stores sections and the manifest.
            configuration: The configuration of the instance; only read.
            rng: Source of the jitter of retry delays.
            sleep: Sleeps for a number of seconds.
            on_accepted: Called with each accepted section, for the instance to adopt it
                at once.
        """
        self._platform = RetryingPlatform(platform, rng, sleep)
        self._configuration = configuration
        self._rng = rng
        self._sleep = sleep
        self._on_accepted = on_accepted

    def accept(
        self, team: str, text: bytes, base_digest: str, token: str
    ) -> Acceptance:
        """Accept a section or return the reason why not; idempotent for one token.

        Args:
            team: The team that the text must name.
            text: The section's YAML text.
            base_digest: Digest of the section it was edited from; empty if the team
                had none.
            token: Unique for this write; the same if the operator repeats the write.
        """
        try:
            stored = make_stored_section(team, text)
        except DocumentError as error:
            digest = section_digest(text)
            return Acceptance(error.code, str(error), team, digest=digest)
        submission = _Submission(text, stored, base_digest, token)
        write = _Write(self._platform, self._configuration, submission)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            outcome = write.attempt()
            if isinstance(outcome, Acceptance):
                return self._finish(write, outcome._replace(attempts=attempt))
            if attempt < MAX_ATTEMPTS:
                self._sleep(self._retry_delay_s(attempt, outcome.error))
        return write.give_up(outcome)._replace(attempts=MAX_ATTEMPTS)

    def _finish(self, write: _Write, acceptance: Acceptance) -> Acceptance:
        if write.accepted is not None:
            self._on_accepted(write.accepted)
        return acceptance

    def _retry_delay_s(self, attempt: int, error: AlmondspoolError) -> float:
        max_jitter_s = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2**attempt)
        retry_after_s = getattr(error, "retry_after_s", 0.0)
        return min(MAX_RETRY_DELAY_S, retry_after_s) + self._rng.uniform(
            0.0, max_jitter_s
        )


class _Write:
    """A write of a section, over several attempts.

    Attributes:
        accepted: The section and the manifest that has it; None until it is accepted,
            or if another one replaced it already.
    """

    def __init__(
        self,
        platform: PlatformInterface,
        configuration: Configuration,
        submission: _Submission,
    ) -> None:
        self._platform = platform
        self._configuration = configuration
        self._submission = submission
        self._is_outcome_unknown = False
        self._newest_seen_version = 0
        self.accepted: AcceptedSection | None = None

    def attempt(self) -> Acceptance | _FailedAttempt:
        """Read the manifest and, unless that decides the outcome, try to update it."""
        read = self._read_manifest()
        if isinstance(read, _FailedAttempt):
            return read
        decided = self._decide_by_manifest(read)
        if decided is not None:
            return decided
        try:
            self._check(read.manifest)
        except DocumentError as error:
            return self._answer(error.code, str(error))
        except PlatformError as error:
            return _FailedAttempt(error)
        stored = self._store_section()
        if isinstance(stored, _FailedAttempt):
            return stored
        return self._update_manifest(read)

    def give_up(self, last: _FailedAttempt) -> Acceptance:
        """Return the outcome after the last attempt, which failed."""
        error = last.error
        if self._is_outcome_unknown:
            return self._answer(
                ResultCode.OUTCOME_UNKNOWN,
                f"the section may or may not be accepted: {error}; repeat the write"
                f" with token {self._submission.token}, or show the section",
            )
        return self._answer(error.code, f"not accepted: {error}")

    def _read_manifest(self) -> _StoredManifest | _FailedAttempt:
        result = self._platform.get(MANIFEST_KIND, MANIFEST_NAME)
        stored = _StoredManifest(None, 0)
        if isinstance(result, Success):
            found = result.unwrap()
            try:
                stored = _StoredManifest(decode_manifest(found.value), found.version)
            except DocumentError as error:
                return _FailedAttempt(error)
        elif result.failure().code is not ResultCode.PLATFORM_NOT_FOUND:
            return _FailedAttempt(result.failure())
        return self._refuse_stale(stored)

    def _refuse_stale(
        self, stored: _StoredManifest
    ) -> _StoredManifest | _FailedAttempt:
        """Refuse a stale or hand-edited manifest, whose update would undo a generation.

        It has a lower version than one read before, or a lower generation than the
        document in force here.
        """
        if stored.version < self._newest_seen_version:
            message = f"version {stored.version} read after {self._newest_seen_version}"
            error = PlatformError(message, ResultCode.PLATFORM_REPLY_INVALID)
            return _FailedAttempt(error)
        self._newest_seen_version = stored.version
        running = self._configuration.document.generation
        generation = stored.manifest.generation if stored.manifest else 0
        if generation >= running:
            return stored
        message = (
            f"the platform's manifest has generation {generation}, while generation"
            f" {running} is in force"
        )
        return _FailedAttempt(PlatformError(message, ResultCode.PLATFORM_REPLY_INVALID))

    def _decide_by_manifest(self, stored: _StoredManifest) -> Acceptance | None:
        """Return the outcome if the manifest alone decides it."""
        submission = self._submission
        generation = (
            stored.manifest.find_generation(submission.token) if stored.manifest else 0
        )
        if generation:
            self._record_accepted(stored.manifest)
            return self._answer_accepted(generation)
        entry = stored.entry(submission.team)
        if entry is not None and entry.digest == submission.digest:
            return self._answer(
                ResultCode.OK,
                f"section {submission.team} is accepted already,"
                f" in version {entry.version}",
                generation=stored.manifest.generation,
            )
        if (entry.digest if entry else "") != submission.base_digest:
            return self._answer_conflict(entry)
        return None

    def _check(self, manifest: Manifest | None) -> None:
        """Check the complete document with the submitted section in it.

        Raises:
            DocumentError: When the document is invalid with the submitted section.
            PlatformError: When another team's section cannot be read.
        """
        submission = self._submission
        entries_by_team = manifest.entries_by_team if manifest else {}
        sections_by_team = {
            team: self._load_section(team, entry.digest)
            for team, entry in entries_by_team.items()
        }
        old = sections_by_team.get(submission.team)
        sections_by_team[submission.team] = submission.stored.section
        problems = check_document(sections_by_team)
        if old is not None:
            problems += check_section_update(old, submission.stored.section)
        if problems:
            raise DocumentError("\n".join(map(str, problems)), problems=problems)

    def _load_section(self, team: str, digest: str) -> Section:
        known = self._configuration.sections.find(digest)
        if known is not None:
            return known.section
        name = section_name(team, digest)
        result = self._platform.get(SECTION_KIND, name)
        if not isinstance(result, Success):
            raise result.failure()
        text = result.unwrap().value
        if section_digest(text) != digest:
            raise PlatformError(
                f"section object {name} has digest {section_digest(text)[:16]}",
                ResultCode.PLATFORM_REPLY_INVALID,
            )
        return decode_section(text, f"section {team}")

    def _store_section(self) -> _FailedAttempt | None:
        """Write the section's object, replacing one of the same name.

        The name contains the digest, so one with other content is damaged.
        """
        submission = self._submission
        name = section_name(submission.team, submission.digest)
        result = self._platform.put(SECTION_KIND, name, submission.text, 0)
        if _is_conflict(result):
            version = result.failure().current_version
            result = self._platform.put(SECTION_KIND, name, submission.text, version)
        return None if isinstance(result, Success) else _FailedAttempt(result.failure())

    def _update_manifest(self, stored: _StoredManifest) -> Acceptance | _FailedAttempt:
        submission = self._submission
        manifest = replace_section(
            stored.manifest, submission.team, submission.digest, submission.token
        )
        expired = expired_sections(stored.manifest, manifest)
        version_by_name = look_up_versions(self._platform, expired)
        result = self._platform.put(
            MANIFEST_KIND, MANIFEST_NAME, encode_manifest(manifest), stored.version
        )
        if isinstance(result, Success):
            delete_versions(self._platform, version_by_name)
            self._record_accepted(manifest)
            return self._answer_accepted(manifest.generation)
        error = result.failure()
        if _is_conflict(result):
            self._newest_seen_version = max(
                self._newest_seen_version, error.current_version
            )
        elif not isinstance(error, CallNotStartedError):
            # The write may have taken effect without a usable reply: the next attempt
            # reads the manifest and finds the token if it did.
            self._is_outcome_unknown = True
        return _FailedAttempt(error)

    def _record_accepted(self, manifest: Manifest) -> None:
        entry = manifest.entries_by_team.get(self._submission.team)
        if entry is not None and entry.digest == self._submission.digest:
            value = encode_manifest(manifest)
            self.accepted = AcceptedSection(value, self._submission.stored)

    def _answer_accepted(self, generation: int) -> Acceptance:
        message = f"section {self._submission.team} accepted as version {generation}"
        return self._answer(ResultCode.OK, message, generation=generation)

    def _answer_conflict(self, entry: SectionEntry | None) -> Acceptance:
        submission = self._submission
        base = (
            f"digest {submission.base_digest[:16]}"
            if submission.base_digest
            else "none"
        )
        digest, version = entry or SectionEntry("", 0)
        current = f"version {version}, digest {digest[:16]}" if entry else "none"
        return self._answer(
            ResultCode.DOCUMENT_CONFLICT,
            f"section {submission.team} was edited from {base}; accepted is {current}",
        )._replace(current_digest=digest, current_version=version)

    def _answer(
        self, code: ResultCode, message: str, generation: int = 0
    ) -> Acceptance:
        submission = self._submission
        return Acceptance(code, message, submission.team, generation, submission.digest)


def _is_conflict(result: Result[PlatformObject, PlatformError]) -> bool:
    if isinstance(result, Success):
        return False
    return result.failure().code is ResultCode.PLATFORM_CONFLICT
