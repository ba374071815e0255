"""Policy that decides how many connections to each upstream an instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.shares.share_plan import (
    ShareContext,
    all_have_shares,
    free_connections,
    is_contended,
    own_connections,
    target_connections,
)
from almondspool.coordination.upstreams.holder_ranking import HolderRanking

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.document import Upstream
    from almondspool.state.shares import UpstreamShares

# The times settle_s and release_grace_s, in heartbeat intervals.
SETTLE_HEARTBEATS = 2
RELEASE_GRACE_HEARTBEATS = 5


class ShareSettings(NamedTuple):
    """Settings of the connection shares; times in seconds.

    Attributes:
        holders: Number of instances that hold connections to one upstream.
        settle_s: How long the ranking must be stable before an instance acts on it.
        release_grace_s: How long a replaced holder keeps its connections after its
            successors have theirs.
        release_after_s: Age at which a stale share expires once the platform no longer
            lists its holder.
    """

    holders: int = 2
    settle_s: float = 2.0
    release_grace_s: float = 5.0
    release_after_s: float = 600.0


def make_share_settings(holders: int, heartbeat_interval_s: float) -> ShareSettings:
    """Return settings with times derived from the heartbeat interval.

    Args:
        holders: Number of instances that hold connections to one upstream.
        heartbeat_interval_s: Time between heartbeats, in seconds.
    """
    return ShareSettings(
        holders=holders,
        settle_s=SETTLE_HEARTBEATS * heartbeat_interval_s,
        release_grace_s=RELEASE_GRACE_HEARTBEATS * heartbeat_interval_s,
    )


class SharePolicy:
    """Ranks holders, and moves connections only once the ranking has settled.

    Attributes:
        wanted_upstream_ids: Upstreams that this instance should hold by the ranking.
    """

    def __init__(self, instance: str, settings: ShareSettings) -> None:
        """Initialize without upstreams and candidates."""
        self._instance = instance
        self._settings = settings
        self._ranking = HolderRanking(settings.holders)
        self._upstreams_by_id: dict[str, Upstream] = {}
        # Whether this instance is a wanted holder, and when this counts as settled.
        self._settled_at_by_upstream_id: dict[str, tuple[bool, float]] = {}
        # When all successors of this instance were first known to have shares.
        self._replaced_at_by_upstream_id: dict[str, float] = {}
        self._is_ranking_stale = False
        self.wanted_upstream_ids: frozenset[str] = frozenset()

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Set the upstreams of the document in force."""
        self._upstreams_by_id = dict(upstreams_by_id)
        self._ranking.set_upstreams(upstreams_by_id)
        self._is_ranking_stale = True
        self._update_wanted_upstream_ids()

    def set_candidates(self, zone_by_instance: Mapping[str, str]) -> None:
        """Set the instances that may hold connections, with their zones."""
        if self._ranking.set_candidates(zone_by_instance):
            self._is_ranking_stale = True
            self._update_wanted_upstream_ids()

    def is_ranking(self) -> bool:
        """Return whether upstreams remain to be ranked with rank_batch()."""
        return self._is_ranking_stale

    def rank_batch(self) -> None:
        """Rank the next batch of upstreams."""
        self._ranking.rank_batch()
        self._update_wanted_upstream_ids()

    def restart_settling(self) -> None:
        """Restart the settling time of every upstream."""
        self._settled_at_by_upstream_id = {}

    def desired_connections(
        self,
        upstream_id: str,
        shares: UpstreamShares,
        context: ShareContext,
        now: float,
    ) -> int:
        """Return the number of connections that this instance should hold.

        Args:
            upstream_id: Id of the upstream.
            shares: Its shares without expired ones.
            context: Inputs of planning.
            now: Monotonic seconds.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            return 0
        own = own_connections(shares, context)
        wanted = self._wanted_holders(upstream)
        settled = self._is_settled(upstream_id, self._instance in wanted, now)
        # Without any holder there is nothing to move and no reason to wait.
        if not settled and shares.active:
            return own
        target = target_connections(
            upstream, self._settings.holders, self._ranking.candidate_count()
        )
        contended = is_contended(shares, upstream, wanted, target)
        if self._instance in wanted:
            if own < target:
                free = free_connections(shares, upstream, context)
                return max(own, min(target, free))
            return target if contended else own
        if contended or not self._keeps_connections(upstream_id, shares, wanted, now):
            return 0
        return own

    def _update_wanted_upstream_ids(self) -> None:
        if self._ranking.has_pending():
            return
        self._is_ranking_stale = False
        self.wanted_upstream_ids = frozenset(
            upstream_id
            for upstream_id, upstream in self._upstreams_by_id.items()
            if self._instance in self._wanted_holders(upstream)
        )

    def _wanted_holders(self, upstream: Upstream) -> tuple[str, ...]:
        count = min(self._settings.holders, upstream.max_connections)
        return self._ranking.pick(upstream.upstream_id, count)

    def _is_settled(self, upstream_id: str, is_wanted: bool, now: float) -> bool:
        wanted_and_time = self._settled_at_by_upstream_id.get(upstream_id)
        if wanted_and_time is None or wanted_and_time[0] != is_wanted:
            wanted_and_time = (is_wanted, now + self._settings.settle_s)
            self._settled_at_by_upstream_id[upstream_id] = wanted_and_time
        return now >= wanted_and_time[1]

    def _keeps_connections(
        self,
        upstream_id: str,
        shares: UpstreamShares,
        wanted: tuple[str, ...],
        now: float,
    ) -> bool:
        """Return whether a replaced holder keeps its connections for now."""
        if not wanted or not all_have_shares(shares, wanted):
            self._replaced_at_by_upstream_id.pop(upstream_id, None)
            return True
        replaced_at = self._replaced_at_by_upstream_id.setdefault(upstream_id, now)
        return now - replaced_at < self._settings.release_grace_s
