"""Ranks instances as holders of each upstream, without ranking all on a change."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.state.document import Upstream

# Candidates kept for an upstream in its zone and as many elsewhere; when those
# that go leave fewer, all candidates are ranked again.
KEPT = 6


class _Ranked(NamedTuple):
    order: int
    instance: str


class HolderRanking:
    """The best candidates of each upstream, kept up to date as candidates change."""

    def __init__(self) -> None:
        """Start without upstreams and candidates."""
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._zone_by_instance: dict[str, str] = {}
        self._near_by_id: dict[str, list[_Ranked]] = {}
        self._far_by_id: dict[str, list[_Ranked]] = {}

    def candidates(self) -> int:
        """Return how many instances may hold connections."""
        return len(self._zone_by_instance)

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Replace the upstreams; only new and moved ones are ranked."""
        former = self._upstreams_by_id
        self._upstreams_by_id = dict(upstreams_by_id)
        for upstream_id in former.keys() - upstreams_by_id.keys():
            del self._near_by_id[upstream_id]
            del self._far_by_id[upstream_id]
        for upstream_id, upstream in upstreams_by_id.items():
            known = former.get(upstream_id)
            if known is None or known.zone != upstream.zone:
                self._rank(upstream)

    def set_candidates(self, zone_by_instance: Mapping[str, str]) -> bool:
        """Replace the instances that may hold connections; return if they changed."""
        former = self._zone_by_instance
        self._zone_by_instance = dict(zone_by_instance)
        gone = former.items() - zone_by_instance.items()
        new = zone_by_instance.items() - former.items()
        if not gone and not new:
            return False
        for upstream in self._upstreams_by_id.values():
            if self._remove(upstream, gone):
                self._rank(upstream)
            else:
                self._add(upstream, new)
        return True

    def pick(self, upstream_id: str, count: int) -> tuple[str, ...]:
        """Return the holders by rank: one in the zone, one elsewhere, then others."""
        near = self._near_by_id.get(upstream_id, [])
        far = self._far_by_id.get(upstream_id, [])
        chosen = [*near[:1], *far[:1]][:count]
        others = sorted(set(near + far) - set(chosen))
        chosen += others[: count - len(chosen)]
        return tuple(ranked.instance for ranked in chosen)

    def _rank(self, upstream: Upstream) -> None:
        near: list[_Ranked] = []
        far: list[_Ranked] = []
        for instance, zone in self._zone_by_instance.items():
            ranked = _ranked(upstream, instance)
            (near if zone == upstream.zone else far).append(ranked)
        self._near_by_id[upstream.upstream_id] = sorted(near)[:KEPT]
        self._far_by_id[upstream.upstream_id] = sorted(far)[:KEPT]

    def _lists(self, upstream: Upstream) -> tuple[list[_Ranked], list[_Ranked]]:
        upstream_id = upstream.upstream_id
        return self._near_by_id[upstream_id], self._far_by_id[upstream_id]

    def _remove(self, upstream: Upstream, gone: Iterable[tuple[str, str]]) -> bool:
        """Take candidates out; return whether too few are left."""
        names = {instance for instance, _ in gone}
        shortened = False
        for kept in self._lists(upstream):
            was_full = len(kept) >= KEPT
            left = [ranked for ranked in kept if ranked.instance not in names]
            shortened |= was_full and len(left) < len(kept)
            kept[:] = left
        return shortened

    def _add(self, upstream: Upstream, new: Iterable[tuple[str, str]]) -> None:
        near, far = self._lists(upstream)
        for instance, zone in new:
            kept = near if zone == upstream.zone else far
            bisect.insort(kept, _ranked(upstream, instance))
            del kept[KEPT:]


def _ranked(upstream: Upstream, instance: str) -> _Ranked:
    return _Ranked(-weight(upstream.upstream_id, instance), instance)
