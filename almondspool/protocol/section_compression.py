"""Compression of sections for transfer between instances."""

from __future__ import annotations

import zlib

from almondspool.errors import PeerError
from almondspool.protocol.platform import MAX_VALUE_BYTES


def compress_section(text: bytes) -> bytes:
    """Return a section's text in zlib format."""
    return zlib.compress(text)


def decompress_section(compressed: bytes) -> bytes:
    """Decompress a section's text.

    Raises:
        PeerError: If the data is damaged or truncated, or if the text exceeds
            MAX_VALUE_BYTES.
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
