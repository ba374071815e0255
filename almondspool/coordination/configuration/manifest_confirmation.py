"""Finds out whether a read of the manifest is current, by a conditional write."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME

if TYPE_CHECKING:
    from returns.result import Result

    from almondspool.errors import PlatformError
    from almondspool.protocol.platform import PlatformInterface


def read_current_manifest(platform: PlatformInterface) -> Result[bytes, PlatformError]:
    """Return the manifest as it is now, however stale the platform's reads are.

    The manifest that was read is written back unchanged on condition of its version,
    which fails if it was stale. Whether or not a lost reply hides the effect, the
    content stays as accepted.
    """
    read = platform.get(MANIFEST_KIND, MANIFEST_NAME)
    written = read.bind(
        lambda found: platform.put(
            MANIFEST_KIND, MANIFEST_NAME, found.value, found.version
        )
    )
    return written.map(lambda stored: stored.value)
