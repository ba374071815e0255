"""Decides how many connections to an upstream this instance should hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.shares.share_plan import (
    ShareContext,
    are_in_place,
    free_connections,
    is_crowded,
    own_connections,
    target_connections,
)
from almondspool.coordination.upstreams.holder_ranking import HolderRanking

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.document import Upstream
    from almondspool.state.shares import UpstreamShares

SETTLE_HEARTBEATS = 2
GRACE_HEARTBEATS = 5


class ShareSettings(NamedTuple):
    """Times and counts of the connection shares.

    Attributes:
        holders: Instances that hold connections to one upstream.
        settle_s: How long the ranking must want a holder before it acts on it.
        release_grace_s: How long a replaced holder keeps its connections after its
            successors have theirs.
        release_after_s: Age of a stale share from which it ends once the platform
            no longer lists its holder.
    """

    holders: int = 2
    settle_s: float = 2.0
    release_grace_s: float = 5.0
    release_after_s: float = 600.0


def make_share_settings(holders: int, heartbeat_interval_s: float) -> ShareSettings:
    """Return settings whose times follow the membership's pace.

    Args:
        holders: Instances that hold connections to one upstream.
        heartbeat_interval_s: Time between heartbeats, in seconds.
    """
    return ShareSettings(
        holders=holders,
        settle_s=SETTLE_HEARTBEATS * heartbeat_interval_s,
        release_grace_s=GRACE_HEARTBEATS * heartbeat_interval_s,
    )


class SharePolicy:
    """Ranks holders and lets a move happen only once the ranking is settled.

    Attributes:
        wanted_ids: Upstreams of which the ranking wants this instance as a holder.
    """

    def __init__(self, instance: str, settings: ShareSettings) -> None:
        """Start without upstreams and candidates."""
        self._instance = instance
        self._settings = settings
        self._ranking = HolderRanking(settings.holders)
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._settled_at_by_upstream_id: dict[str, tuple[bool, float]] = {}
        self._in_place_at_by_upstream_id: dict[str, float] = {}
        self._is_stale = False
        self.wanted_ids: frozenset[str] = frozenset()

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Take the upstreams of the document in force."""
        self._upstreams_by_id = dict(upstreams_by_id)
        self._ranking.set_upstreams(upstreams_by_id)
        self._is_stale = True
        self._want()

    def set_candidates(self, zone_by_instance: Mapping[str, str]) -> None:
        """Take the instances that may hold connections, with their zones."""
        if self._ranking.set_candidates(zone_by_instance):
            self._is_stale = True
            self._want()

    def is_ranking(self) -> bool:
        """Return whether rank_batch() is to be called."""
        return self._is_stale

    def rank_batch(self) -> None:
        """Rank some more upstreams, as many as may be done at a time."""
        self._ranking.rank_batch()
        self._want()

    def restart(self) -> None:
        """Let every ranking settle again."""
        self._settled_at_by_upstream_id = {}

    def desire(
        self,
        upstream_id: str,
        shares: UpstreamShares,
        context: ShareContext,
        now: float,
    ) -> int:
        """Return how many connections this instance should hold.

        Args:
            upstream_id: The upstream.
            shares: Its tidied shares.
            context: What planning depends on.
            now: Monotonic seconds.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            return 0
        own = own_connections(shares, context)
        wanted = self._wanted(upstream)
        settled = self._is_settled(upstream_id, self._instance in wanted, now)
        # Without any holder there is nothing to move, and no reason to wait.
        if not settled and shares.active:
            return own
        target = target_connections(
            upstream, self._settings.holders, self._ranking.candidates()
        )
        crowded = is_crowded(shares, upstream, wanted, target)
        if self._instance in wanted:
            if own < target:
                free = free_connections(shares, upstream, context)
                return max(own, min(target, free))
            return target if crowded else own
        if crowded or not self._keeps(upstream_id, shares, wanted, now):
            return 0
        return own

    def _want(self) -> None:
        if self._ranking.has_pending():
            return
        self._is_stale = False
        self.wanted_ids = frozenset(
            upstream_id
            for upstream_id, upstream in self._upstreams_by_id.items()
            if self._instance in self._wanted(upstream)
        )

    def _wanted(self, upstream: Upstream) -> tuple[str, ...]:
        count = min(self._settings.holders, upstream.max_connections)
        return self._ranking.pick(upstream.upstream_id, count)

    def _is_settled(self, upstream_id: str, is_wanted: bool, now: float) -> bool:
        known = self._settled_at_by_upstream_id.get(upstream_id)
        if known is None or known[0] != is_wanted:
            known = (is_wanted, now + self._settings.settle_s)
            self._settled_at_by_upstream_id[upstream_id] = known
        return now >= known[1]

    def _keeps(
        self,
        upstream_id: str,
        shares: UpstreamShares,
        wanted: tuple[str, ...],
        now: float,
    ) -> bool:
        """Return whether a replaced holder keeps its connections for now."""
        if not wanted or not are_in_place(shares, wanted):
            self._in_place_at_by_upstream_id.pop(upstream_id, None)
            return True
        since = self._in_place_at_by_upstream_id.setdefault(upstream_id, now)
        return now - since < self._settings.release_grace_s
