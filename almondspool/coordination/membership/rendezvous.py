"""Rendezvous hashing, which assigns duties to instances without an election."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from almondspool.state.members import Member


def rank(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return all candidates in the order in which they hold a key's duty.

    Every instance with the same candidates gets the same order, and the removal of a
    candidate moves only the duties that it held.

    Args:
        key: Names the duty.
        candidates: Names of instances or upstreams.
    """
    return tuple(
        sorted(candidates, key=lambda name: (-weight(key, name), name)),
    )


def highest_ranked(key: str, candidates: Iterable[str]) -> str:
    """Return the candidate of the highest weight; an empty name if there is none.

    Args:
        key: Names the duty.
        candidates: Names of instances or upstreams.
    """
    return min(candidates, key=lambda name: (-weight(key, name), name), default="")


def rank_over_zones(key: str, members: Sequence[Member]) -> tuple[str, ...]:
    """Return instances in rank order, the first of each availability zone first.

    Args:
        key: Names the duty.
        members: The instances that may hold it.
    """
    zone_by_instance = {member.instance: member.zone for member in members}
    seen_zones = set()
    first_of_zones = []
    remaining = []
    for instance in rank(key, zone_by_instance):
        zone = zone_by_instance[instance]
        (remaining if zone in seen_zones else first_of_zones).append(instance)
        seen_zones.add(zone)
    return tuple(first_of_zones + remaining)


def weight(key: str, name: str) -> int:
    """Return the weight of a candidate; the one with the highest holds the duty."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
