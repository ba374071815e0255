"""Linearizable read of the manifest by a conditional write."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME

if TYPE_CHECKING:
    from returns.result import Result

    from almondspool.errors import PlatformError
    from almondspool.protocol.platform import PlatformInterface


def read_current_manifest(platform: PlatformInterface) -> Result[bytes, PlatformError]:
    """Return the current manifest, or an error if the platform's reads are stale.

    The manifest that was read is written back unchanged, on the condition that its
    version is still the current one; this fails if the read was stale. The content
    stays as accepted, even if a lost reply hides whether the write took effect.
    """
    read = platform.get(MANIFEST_KIND, MANIFEST_NAME)
    written = read.bind(
        lambda found: platform.put(
            MANIFEST_KIND, MANIFEST_NAME, found.value, found.version
        )
    )
    return written.map(lambda stored: stored.value)
