"""Compression of a section's text, as peers propagate it."""

from __future__ import annotations

import zlib

from almondspool.errors import PeerError
from almondspool.protocol.platform import MAX_VALUE_BYTES


def compress_section(text: bytes) -> bytes:
    """Compress a section's text."""
    return zlib.compress(text)


def decompress_section(compressed: bytes) -> bytes:
    """Decompress a section's text.

    Raises:
        PeerError: If it is damaged, or larger than a platform value may be.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(compressed, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise PeerError(
            f"compressed section of {len(compressed)} bytes: {error}"
        ) from error
    if len(text) > MAX_VALUE_BYTES or not decompressor.eof:
        raise PeerError(
            f"compressed section of {len(compressed)} bytes is truncated or exceeds"
            f" {MAX_VALUE_BYTES} bytes"
        )
    return text
