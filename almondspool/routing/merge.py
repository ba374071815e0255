"""Merge of the partial results of a search into the greatest records of all shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Size of a record. Records are compared byte by byte.
RECORD_BYTES = 16


def merge_top_k(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Duplicates are kept. Bytes after the last complete record of a part are ignored.

    Args:
        parts: Bodies of partial results: records of RECORD_BYTES each, in any order.
        top_k: How many records to return at most.
    """
    # For a few hundred short records, sorting all of them is faster than a heap.
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_k])
