"""Deletion of section objects that were replaced many generations ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from almondspool.protocol.manifest import SECTION_KIND, section_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.protocol.manifest import RetiredSection
    from almondspool.protocol.platform import PlatformInterface


def look_up_versions(
    platform: PlatformInterface, expired: Iterable[RetiredSection]
) -> dict[str, int]:
    """Return the versions of expired sections' objects, by name.

    Call this before the update of the manifest, and delete_versions after it: a writer
    that accepts the same section again reads the updated manifest first and then writes
    the object, so that its version is no longer the one to delete.

    Args:
        platform: Stores the objects; one that cannot be read is left out.
        expired: Replaced sections that the new manifest no longer lists.
    """
    version_by_name = {}
    for retired in expired:
        name = section_name(retired.team, retired.digest)
        result = platform.get(SECTION_KIND, name)
        if isinstance(result, Success):
            version_by_name[name] = result.unwrap().version
    return version_by_name


def delete_versions(
    platform: PlatformInterface, version_by_name: Mapping[str, int]
) -> None:
    """Delete the objects that still have these versions; failures are ignored."""
    for name, version in version_by_name.items():
        platform.delete(SECTION_KIND, name, version)
