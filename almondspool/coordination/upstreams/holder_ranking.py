"""Ranks instances as holders of each upstream, without ranking all on a change."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.state.document import Upstream

# Candidates kept beyond those needed: so many may go before all are ranked again.
SPARE = 5
# Pairs of upstream and candidate that are weighed before others get a turn.
PAIRS_PER_TURN = 10_000


class _Ranked(NamedTuple):
    order: int
    instance: str


class HolderRanking:
    """The best candidates of each upstream, kept up to date as candidates change.

    For each upstream it keeps the beginning of two rankings: of the instances in the
    upstream's availability zone and of all others. What cannot be ranked in one turn
    is pending until take_turn() was called often enough.
    """

    def __init__(self, needed: int) -> None:
        """Start without upstreams and candidates.

        Args:
            needed: How many holders pick() is asked for at most.
        """
        self._needed = needed
        self._kept = needed + SPARE
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._zone_by_instance: dict[str, str] = {}
        self._near_by_id: dict[str, list[_Ranked]] = {}
        self._far_by_id: dict[str, list[_Ranked]] = {}
        self._pending_by_id: dict[str, Upstream] = {}

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
            self._pending_by_id.pop(upstream_id, None)
        for upstream_id, upstream in upstreams_by_id.items():
            known = former.get(upstream_id)
            if known is None or known.zone != upstream.zone:
                self._near_by_id[upstream_id] = []
                self._far_by_id[upstream_id] = []
                self._pending_by_id[upstream_id] = upstream
        self.take_turn()

    def set_candidates(self, zone_by_instance: Mapping[str, str]) -> bool:
        """Replace the instances that may hold connections; return if they changed."""
        former = self._zone_by_instance
        self._zone_by_instance = dict(zone_by_instance)
        gone = former.items() - zone_by_instance.items()
        new = zone_by_instance.items() - former.items()
        if not gone and not new:
            return False
        staying = collections.Counter(zone for _, zone in former.items() - gone)
        gone_names = {instance for instance, _ in gone}
        are_many = len(new) > SPARE
        for upstream_id, upstream in self._upstreams_by_id.items():
            self._remove(upstream, gone_names)
            if upstream_id in self._pending_by_id:
                continue
            if are_many or self._is_short(upstream, staying):
                self._pending_by_id[upstream_id] = upstream
            else:
                self._add(upstream, new, staying)
        self.take_turn()
        return True

    def is_pending(self, upstream_id: str) -> bool:
        """Return whether an upstream is still to be ranked."""
        return upstream_id in self._pending_by_id

    def has_pending(self) -> bool:
        """Return whether any upstream is still to be ranked."""
        return bool(self._pending_by_id)

    def take_turn(self) -> None:
        """Rank some pending upstreams."""
        count = max(1, PAIRS_PER_TURN // max(1, self.candidates()))
        for upstream in tuple(self._pending_by_id.values())[:count]:
            self._rank(upstream)
            del self._pending_by_id[upstream.upstream_id]

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
        self._near_by_id[upstream.upstream_id] = sorted(near)[: self._kept]
        self._far_by_id[upstream.upstream_id] = sorted(far)[: self._kept]

    def _lists(self, upstream: Upstream) -> tuple[list[_Ranked], list[_Ranked]]:
        upstream_id = upstream.upstream_id
        return self._near_by_id[upstream_id], self._far_by_id[upstream_id]

    def _remove(self, upstream: Upstream, names: set[str]) -> None:
        for kept in self._lists(upstream):
            kept[:] = [ranked for ranked in kept if ranked.instance not in names]

    def _is_short(self, upstream: Upstream, staying: Mapping[str, int]) -> bool:
        sizes = _group_sizes(upstream, staying)
        return any(
            len(kept) < min(self._needed, size)
            for kept, size in zip(self._lists(upstream), sizes, strict=True)
        )

    def _add(
        self,
        upstream: Upstream,
        new: Iterable[tuple[str, str]],
        staying: Mapping[str, int],
    ) -> None:
        near, far = self._lists(upstream)
        near_size, far_size = _group_sizes(upstream, staying)
        near_whole, far_whole = len(near) == near_size, len(far) == far_size
        for instance, zone in new:
            is_near = zone == upstream.zone
            kept, is_whole = (near, near_whole) if is_near else (far, far_whole)
            ranked = _ranked(upstream, instance)
            # Behind the last kept one there may be others that are not kept.
            if is_whole or (kept and ranked < kept[-1]):
                bisect.insort(kept, ranked)
        for kept in (near, far):
            del kept[self._kept :]


def _group_sizes(
    upstream: Upstream, count_by_zone: Mapping[str, int]
) -> tuple[int, int]:
    near = count_by_zone.get(upstream.zone, 0)
    return near, sum(count_by_zone.values()) - near


def _ranked(upstream: Upstream, instance: str) -> _Ranked:
    return _Ranked(-weight(upstream.upstream_id, instance), instance)
