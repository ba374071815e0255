"""Incremental ranking of the instances that may hold connections to each upstream."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.state.document import Upstream

# Candidates kept for each upstream beyond the holders needed. As many may leave before
# the upstream is ranked anew.
SPARE_CANDIDATES = 5
# Pairs of an upstream and a candidate that are ranked in one event loop iteration.
PAIRS_PER_BATCH = 10_000


class _RankedInstance(NamedTuple):
    """A candidate of one upstream.

    Attributes:
        order: Negated rendezvous weight; the lowest ranks first.
        instance: The candidate.
    """

    order: int
    instance: str


class HolderRanking:
    """Ranks the best candidates of each upstream, and updates them incrementally.

    Keeps the head of two rankings for each upstream: of the instances in the upstream's
    availability zone (local) and of all others (remote). Upstreams that don't fit into
    one batch are pending until rank_batch() has been called often enough.
    """

    def __init__(self, max_holders: int) -> None:
        """Initialize without upstreams and candidates.

        Args:
            max_holders: The highest count passed to pick().
        """
        self._max_holders = max_holders
        self._max_kept = max_holders + SPARE_CANDIDATES
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._zone_by_instance: dict[str, str] = {}
        self._local_by_id: dict[str, list[_RankedInstance]] = {}
        self._remote_by_id: dict[str, list[_RankedInstance]] = {}
        self._pending_by_id: dict[str, Upstream] = {}

    def candidate_count(self) -> int:
        """Return how many instances may hold connections."""
        return len(self._zone_by_instance)

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Replace the upstreams; only new and moved ones are ranked."""
        previous = self._upstreams_by_id
        self._upstreams_by_id = dict(upstreams_by_id)
        for upstream_id in previous.keys() - upstreams_by_id.keys():
            del self._local_by_id[upstream_id]
            del self._remote_by_id[upstream_id]
            self._pending_by_id.pop(upstream_id, None)
        for upstream_id, upstream in upstreams_by_id.items():
            known = previous.get(upstream_id)
            if known is None or known.zone != upstream.zone:
                self._local_by_id[upstream_id] = []
                self._remote_by_id[upstream_id] = []
                self._pending_by_id[upstream_id] = upstream
        self.rank_batch()

    def set_candidates(self, zone_by_instance: Mapping[str, str]) -> bool:
        """Replace the candidates; return whether they changed."""
        previous = self._zone_by_instance
        self._zone_by_instance = dict(zone_by_instance)
        removed = previous.items() - zone_by_instance.items()
        added = zone_by_instance.items() - previous.items()
        if not removed and not added:
            return False
        remaining_by_zone = collections.Counter(
            zone for _, zone in previous.items() - removed
        )
        removed_instances = {instance for instance, _ in removed}
        is_bulk_change = len(added) > SPARE_CANDIDATES
        for upstream_id, upstream in self._upstreams_by_id.items():
            self._remove(upstream, removed_instances)
            if upstream_id in self._pending_by_id:
                continue
            if is_bulk_change or self._lacks_candidates(upstream, remaining_by_zone):
                self._pending_by_id[upstream_id] = upstream
            else:
                self._add(upstream, added, remaining_by_zone)
        self.rank_batch()
        return True

    def is_pending(self, upstream_id: str) -> bool:
        """Return whether an upstream has yet to be ranked."""
        return upstream_id in self._pending_by_id

    def has_pending(self) -> bool:
        """Return whether any upstream has yet to be ranked."""
        return bool(self._pending_by_id)

    def rank_batch(self) -> None:
        """Rank one batch of the pending upstreams."""
        count = max(1, PAIRS_PER_BATCH // max(1, self.candidate_count()))
        for upstream in tuple(self._pending_by_id.values())[:count]:
            self._rank(upstream)
            del self._pending_by_id[upstream.upstream_id]

    def pick(self, upstream_id: str, count: int) -> tuple[str, ...]:
        """Return holders by rank: best local, best remote, then all others."""
        local = self._local_by_id.get(upstream_id, [])
        remote = self._remote_by_id.get(upstream_id, [])
        chosen = [*local[:1], *remote[:1]][:count]
        others = sorted(set(local + remote) - set(chosen))
        chosen += others[: count - len(chosen)]
        return tuple(ranked.instance for ranked in chosen)

    def _rank(self, upstream: Upstream) -> None:
        local: list[_RankedInstance] = []
        remote: list[_RankedInstance] = []
        for instance, zone in self._zone_by_instance.items():
            ranked = _rank_instance(upstream, instance)
            (local if zone == upstream.zone else remote).append(ranked)
        self._local_by_id[upstream.upstream_id] = sorted(local)[: self._max_kept]
        self._remote_by_id[upstream.upstream_id] = sorted(remote)[: self._max_kept]

    def _rankings(
        self, upstream: Upstream
    ) -> tuple[list[_RankedInstance], list[_RankedInstance]]:
        upstream_id = upstream.upstream_id
        return self._local_by_id[upstream_id], self._remote_by_id[upstream_id]

    def _remove(self, upstream: Upstream, removed_instances: set[str]) -> None:
        for ranking in self._rankings(upstream):
            ranking[:] = [
                ranked for ranked in ranking if ranked.instance not in removed_instances
            ]

    def _lacks_candidates(
        self, upstream: Upstream, remaining_by_zone: Mapping[str, int]
    ) -> bool:
        sizes = _group_sizes(upstream, remaining_by_zone)
        return any(
            len(ranking) < min(self._max_holders, size)
            for ranking, size in zip(self._rankings(upstream), sizes, strict=True)
        )

    def _add(
        self,
        upstream: Upstream,
        added: Iterable[tuple[str, str]],
        remaining_by_zone: Mapping[str, int],
    ) -> None:
        local, remote = self._rankings(upstream)
        local_size, remote_size = _group_sizes(upstream, remaining_by_zone)
        is_local_complete, is_remote_complete = (
            len(local) == local_size,
            len(remote) == remote_size,
        )
        for instance, zone in added:
            is_local = zone == upstream.zone
            ranking, is_complete = (
                (local, is_local_complete) if is_local else (remote, is_remote_complete)
            )
            ranked = _rank_instance(upstream, instance)
            # An instance that ranks below the last one kept may also rank below others
            # that are not kept.
            if is_complete or (ranking and ranked < ranking[-1]):
                bisect.insort(ranking, ranked)
        for ranking in (local, remote):
            del ranking[self._max_kept :]


def _group_sizes(
    upstream: Upstream, count_by_zone: Mapping[str, int]
) -> tuple[int, int]:
    local = count_by_zone.get(upstream.zone, 0)
    return local, sum(count_by_zone.values()) - local


def _rank_instance(upstream: Upstream, instance: str) -> _RankedInstance:
    return _RankedInstance(-weight(upstream.upstream_id, instance), instance)
