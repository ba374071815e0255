"""Manifest: the accepted section of each team, and the generation of the document."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from almondspool.codes import ResultCode
from almondspool.errors import DocumentError
from almondspool.protocol.platform import MAX_VALUE_BYTES

MANIFEST_KIND = "manifest"
MANIFEST_NAME = "current"
SECTION_KIND = "section"
# Length of the part of a section's digest that its object's name contains.
NAME_DIGEST_CHARS = 16
# Limits on the write tokens and the retired sections that a manifest keeps.
MAX_TOKENS = 32
MAX_RETIRED_SECTIONS = 32

_Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
_Team = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")]
_Token = Annotated[str, Meta(min_length=1, max_length=64)]
_Generation = Annotated[int, Meta(ge=1, le=2**53)]


class SectionEntry(NamedTuple):
    """The accepted section of one team.

    Attributes:
        digest: SHA-256 of its text, in hexadecimal digits.
        version: The generation that was created by accepting it.
    """

    digest: _Digest
    version: _Generation


class WriteToken(NamedTuple):
    """Token of an accepted write.

    Attributes:
        token: Chosen by the writer; unique for each write.
        generation: The generation that the write created.
    """

    token: _Token
    generation: _Generation


class RetiredSection(NamedTuple):
    """A section that was replaced but whose object is still stored.

    Attributes:
        team: Its team.
        digest: Its digest.
    """

    team: _Team
    digest: _Digest


_Tokens = Annotated[tuple[WriteToken, ...], Meta(max_length=MAX_TOKENS)]
_Retired = Annotated[tuple[RetiredSection, ...], Meta(max_length=MAX_RETIRED_SECTIONS)]


class Manifest(NamedTuple):
    """Digests of the sections that make up the accepted document.

    Attributes:
        generation: Generation of the document, increased by each accepted write.
        entries_by_team: Accepted sections by team.
        tokens: Tokens of the latest writes, oldest first; at most MAX_TOKENS.
        retired: Latest replaced sections, oldest first; at most MAX_RETIRED_SECTIONS.
    """

    generation: _Generation
    entries_by_team: dict[_Team, SectionEntry]
    tokens: _Tokens = ()
    retired: _Retired = ()

    def find_generation(self, token: str) -> int:
        """Return the generation that a write created; 0 if its token is not kept."""
        for write in self.tokens:
            if write.token == token:
                return write.generation
        return 0


class _ManifestBody(msgspec.Struct, forbid_unknown_fields=True):
    generation: _Generation
    entries_by_team: dict[_Team, SectionEntry]
    tokens: _Tokens = ()
    retired: _Retired = ()


def section_name(team: str, digest: str) -> str:
    """Return the name of the platform object that stores a section."""
    return f"{team}.{digest[:NAME_DIGEST_CHARS]}"


def replace_section(
    manifest: Manifest | None, team: str, digest: str, token: str
) -> Manifest:
    """Return the next manifest, in which a section is added or replaced.

    Args:
        manifest: The current manifest; None before the first.
        team: The section's team.
        digest: The section's digest.
        token: The write's token.
    """
    manifest = manifest or Manifest(0, {})
    generation = manifest.generation + 1
    entries_by_team = dict(manifest.entries_by_team)
    replaced = entries_by_team.get(team)
    entries_by_team[team] = SectionEntry(digest, generation)
    tokens = (*manifest.tokens, WriteToken(token, generation))
    accepted = RetiredSection(team, digest)
    retired = tuple(section for section in manifest.retired if section != accepted)
    if replaced is not None and replaced.digest != digest:
        retired += (RetiredSection(team, replaced.digest),)
    return Manifest(
        generation,
        entries_by_team,
        tokens[-MAX_TOKENS:],
        retired[-MAX_RETIRED_SECTIONS:],
    )


def expired_sections(old: Manifest | None, new: Manifest) -> tuple[RetiredSection, ...]:
    """Return the old manifest's retired sections that are not in the new one.

    Their objects can be deleted from the platform once the new one is written.
    """
    if old is None:
        return ()
    accepted = {
        RetiredSection(team, entry.digest)
        for team, entry in new.entries_by_team.items()
    }
    kept = accepted.union(new.retired)
    return tuple(section for section in old.retired if section not in kept)


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as JSON, as stored in the platform."""
    return msgspec.json.encode(_ManifestBody(*manifest), order="sorted")


def decode_manifest(value: bytes) -> Manifest:
    """Decode and check a manifest.

    Raises:
        DocumentError: With PLATFORM_REPLY_INVALID and a description of the fault.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise _invalid(f"{len(value)} bytes exceed {MAX_VALUE_BYTES}")
    try:
        body = msgspec.json.decode(value, type=_ManifestBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(str(error)) from error
    manifest = Manifest(*msgspec.structs.astuple(body))
    for team, entry in manifest.entries_by_team.items():
        if entry.version > manifest.generation:
            raise _invalid(
                f"section {team} has version {entry.version}, beyond generation"
                f" {manifest.generation}"
            )
    return manifest


def _invalid(reason: str) -> DocumentError:
    message = f"invalid manifest: {reason}"
    return DocumentError(message, ResultCode.PLATFORM_REPLY_INVALID)
