"""Rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates by falling weight for a key, ties by name."""
    return tuple(
        sorted(
            candidates,
            key=lambda candidate: (
                -xxhash.xxh3_64_intdigest(f"{key}/{candidate}"),
                candidate,
            ),
        )
    )
