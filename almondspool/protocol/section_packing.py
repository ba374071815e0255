"""Compressed form of a section's text, in which peers copy it."""

from __future__ import annotations

import zlib

from almondspool.errors import PeerError
from almondspool.protocol.platform import MAX_VALUE_BYTES


def pack_section(text: bytes) -> bytes:
    """Return a section's text compressed."""
    return zlib.compress(text)


def unpack_section(packed: bytes) -> bytes:
    """Return the text of a packed section.

    Raises:
        PeerError: When it is damaged, or larger than a platform value may be.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise PeerError(f"packed section of {len(packed)} bytes: {error}") from error
    if len(text) > MAX_VALUE_BYTES or not decompressor.eof:
        raise PeerError(
            f"packed section of {len(packed)} bytes is cut off, or exceeds"
            f" {MAX_VALUE_BYTES} bytes"
        )
    return text
