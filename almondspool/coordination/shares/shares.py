"""Connection shares: splits each upstream's limit over a few instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.coordination.shares.share_actions import (
    Action,
    CloseAll,
    OpenUpTo,
    ReadBucket,
    WriteBucket,
)
from almondspool.coordination.shares.share_bucket import UNREAD, ShareBucket
from almondspool.coordination.shares.share_plan import (
    ShareContext,
    own_connections,
    own_differs,
    tidy,
    with_own,
)
from almondspool.coordination.shares.share_policy import SharePolicy, ShareSettings
from almondspool.protocol.shares import (
    BUCKET_NAMES,
    bucket_of,
    decode_bucket,
    encode_bucket,
)
from almondspool.state.members import MemberStatus, View
from almondspool.state.shares import NO_SHARES, UpstreamShares

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from almondspool.state.document import Upstream

CONFLICT_RETRY_S = 0.1
MAX_CONFLICT_RETRY_S = 5.0
OUTAGE_RETRY_S = 5.0
MAX_OUTAGE_RETRY_S = 30.0
RATE_RETRY_S = 1.0
MAX_FAILURES = 8
# Longer than any time the policy waits for, in ticks.
QUIET_TICKS = 16


class Shares:
    """Takes views, bucket states and ticks; returns actions.

    What this instance may open never exceeds its share in the platform's object, and
    all shares of an upstream, stale ones included, never exceed its limit.
    """

    def __init__(
        self, instance: str, session: int, settings: ShareSettings, rng: random.Random
    ) -> None:
        """Start without connections and without knowledge of any bucket."""
        self._instance = instance
        self._session = session
        self._settings = settings
        self._rng = rng
        self._order = rng.sample(BUCKET_NAMES, len(BUCKET_NAMES))
        self._policy = SharePolicy(instance, settings)
        self._buckets_by_name = {
            name: ShareBucket(name, instance) for name in BUCKET_NAMES
        }
        self._upstream_ids: frozenset[str] = frozenset()
        self._view = View({})
        self._states_by_instance = self._view.states_by_instance()
        self._listed: frozenset[str] = frozenset()
        self._may_act = False
        self._is_releasing = False
        self._quiet_ticks = 0
        self._cap_by_upstream_id: dict[str, int] = {}
        self._open_by_upstream_id: dict[str, int] = {}
        self._told_by_upstream_id: dict[str, int] = {}

    def version(self) -> int:
        """Return the highest known version of any bucket."""
        return max(0, *(each.version for each in self._buckets_by_name.values()))

    def versions_by_name(self) -> dict[str, int]:
        """Return the known version of each bucket that was read."""
        return {
            name: bucket.version
            for name, bucket in self._buckets_by_name.items()
            if bucket.version != UNREAD
        }

    def bucket_value(self, name: str) -> tuple[int, bytes]:
        """Return a bucket's version and stored form, for peers."""
        bucket = self._buckets_by_name[name]
        return bucket.version, encode_bucket(bucket.shares_by_upstream_id)

    def allowed(self, upstream_id: str) -> int:
        """Return how many connections to an upstream may be open here now."""
        bucket = self._bucket_of(upstream_id)
        own = bucket.own_connections(upstream_id, self._session)
        return min(own, self._cap_by_upstream_id.get(upstream_id, own))

    def allowed_by_upstream_id(self) -> dict[str, int]:
        """Return what may be open here, for all upstreams with any."""
        ids = sorted(self._told_by_upstream_id)
        return {upstream_id: self.allowed(upstream_id) for upstream_id in ids}

    def holders(self, upstream_id: str) -> tuple[str, ...]:
        """Return the instances with connections, those surely alive first."""
        members = self._view.members_by_instance
        ranked = []
        for share in self._bucket_of(upstream_id).shares_of(upstream_id).active:
            member = members.get(share.instance)
            if member is None or member.status == MemberStatus.DEAD:
                continue
            if share.session == member.session:
                ranked.append((member.status, share.instance))
        if not self.allowed(upstream_id):
            ranked = [item for item in ranked if item[1] != self._instance]
        return tuple(instance for _, instance in sorted(ranked))

    def upstreams_without_successor(self) -> list[str]:
        """Return the upstreams held here that no other live instance holds.

        Empty if no other instance could hold them.
        """
        members = self._view.members_by_instance
        others = {
            name
            for name, member in members.items()
            if name != self._instance and member.status == MemberStatus.ALIVE
        }
        if not others:
            return []
        held = [key for key, told in self._told_by_upstream_id.items() if told]
        return [key for key in held if others.isdisjoint(self.holders(key))]

    def upstreams_without_holder(self) -> list[str]:
        """Return the upstreams of the document without a live holder known here."""
        return sorted(key for key in self._upstream_ids if not self.holders(key))

    def knows_holders(self) -> bool:
        """Return whether it is known here who holds connections."""
        all_read = len(self.versions_by_name()) == len(BUCKET_NAMES)
        return all_read or len(self.upstreams_without_holder()) < len(
            self._upstream_ids
        )

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Take the upstreams of the document in force."""
        self._quiet_ticks = 0
        self._upstream_ids = frozenset(upstreams_by_id)
        self._policy.set_upstreams(upstreams_by_id)

    def is_ranking(self) -> bool:
        """Return whether rank_some() is to be called before the next tick."""
        return self._policy.is_ranking()

    def rank_some(self) -> None:
        """Rank some more upstreams, as many as may be done at a time."""
        self._quiet_ticks = 0
        self._policy.rank_batch()

    def set_view(self, view: View, listed: frozenset[str], may_act: bool) -> None:
        """Take the membership.

        Args:
            view: The members.
            listed: Instances in the platform's list; empty if it was never read.
            may_act: Whether this instance is confirmed and its lease holds.
        """
        if (listed, may_act) != (self._listed, self._may_act):
            self._quiet_ticks = 0
        self._listed = listed
        self._may_act = may_act
        if view is self._view:
            return
        states_by_instance = view.states_by_instance()
        if states_by_instance != self._states_by_instance:
            self._quiet_ticks = 0
        self._states_by_instance = states_by_instance
        self._view = view
        self._policy.set_candidates(
            {member.instance: member.zone for member in view.present() if member.ready}
        )

    def rejoin(self, session: int) -> list[Action]:
        """Begin a new session: every connection must be closed before it is told."""
        self._session = session
        self._quiet_ticks = 0
        self._may_act = False
        self._cap_by_upstream_id = {}
        self._policy.restart()
        for bucket in self._buckets_by_name.values():
            bucket.must_read = True
        return self._tell()

    def release_all(self) -> list[Action]:
        """Close all connections and end all shares, for a planned stop."""
        self._is_releasing = True
        self._quiet_ticks = 0
        for upstream_id, told in self._told_by_upstream_id.items():
            if told:
                self._cap(upstream_id, 0)
        return self._tell()

    def is_released(self) -> bool:
        """Return whether no share of this session is left."""
        return self._is_releasing and not any(
            bucket.has_own(self._session) for bucket in self._buckets_by_name.values()
        )

    def connections_open(self, upstream_id: str, count: int) -> None:
        """Take how many connections are open here."""
        self._open_by_upstream_id[upstream_id] = count

    def closing(self) -> list[str]:
        """Return the upstreams whose open connections are to be counted."""
        return sorted(self._cap_by_upstream_id)

    def tick(self, now: float, wall_ms: int) -> list[Action]:
        """Do what is due.

        Args:
            now: Monotonic seconds.
            wall_ms: Milliseconds since the epoch.
        """
        reads = self._plan_reads(now)
        if not self._may_act and not self._is_releasing:
            return reads
        context = ShareContext(
            self._instance,
            self._session,
            self._view.members_by_instance,
            self._listed,
            wall_ms,
            int(self._settings.release_after_s * 1000),
        )
        writes = self._plan_writes(context, now)
        if reads or writes:
            self._quiet_ticks = 0
        told = [] if self._is_quiet() else self._tell()
        self._quiet_ticks += 1
        return [*told, *reads, *writes]

    def bucket_read(self, name: str, version: int, value: bytes) -> list[Action]:
        """Take a bucket from the platform; version 0 if there is none.

        Raises:
            PlatformError: With PLATFORM_REPLY_INVALID; what was known stays.
        """
        bucket = self._buckets_by_name[name]
        bucket.is_busy = False
        actions = self.bucket_heard(name, version, value)
        bucket.must_read = False
        return actions

    def bucket_heard(self, name: str, version: int, value: bytes) -> list[Action]:
        """Take a bucket from a peer.

        Raises:
            PlatformError: With PLATFORM_REPLY_INVALID; what was known stays.
        """
        bucket = self._buckets_by_name[name]
        if version > bucket.version:
            self._quiet_ticks = 0
            bucket.learn(version, decode_bucket(name, value) if value else {})
        return self._tell()

    def write_done(self, name: str, version: int, value: bytes) -> list[Action]:
        """Take the success of a write."""
        self._buckets_by_name[name].failures = 0
        return self.bucket_read(name, version, value)

    def call_failed(self, name: str, code: ResultCode, now: float) -> list[Action]:
        """Take the failure of a read or write, whose effect may be unknown."""
        bucket = self._buckets_by_name[name]
        bucket.is_busy = False
        backoff_s = _backoff_s(code, bucket.failures)
        bucket.failures = min(bucket.failures + 1, MAX_FAILURES)
        bucket.retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)
        if code != ResultCode.PLATFORM_CONFLICT:
            return []
        bucket.is_busy = True
        return [ReadBucket(name)]

    def _bucket_of(self, upstream_id: str) -> ShareBucket:
        return self._buckets_by_name[bucket_of(upstream_id)]

    def _plan_reads(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name in BUCKET_NAMES:
            bucket = self._buckets_by_name[name]
            if bucket.must_read and not bucket.is_busy and now >= bucket.retry_at:
                bucket.is_busy = True
                actions.append(ReadBucket(name))
        return actions

    def _plan_writes(self, context: ShareContext, now: float) -> list[Action]:
        """Plan the write of one bucket: by the next one, more may be known.

        While nothing changes, one bucket is looked at in each tick, since only the age
        of what is known can ask for a write.
        """
        ids_by_bucket: dict[str, list[str]] = {}
        for upstream_id in sorted(self._relevant_ids()):
            ids_by_bucket.setdefault(bucket_of(upstream_id), []).append(upstream_id)
        # Instances begin with different buckets, lest all write the same at once.
        self._order.append(self._order.pop(0))
        for name in self._order[:1] if self._is_quiet() else self._order:
            bucket = self._buckets_by_name[name]
            if bucket.is_busy or now < bucket.retry_at or bucket.must_read:
                self._quiet_ticks = 0
                continue
            changes: dict[str, UpstreamShares] = {}
            for upstream_id in ids_by_bucket.get(name, ()):
                planned = self._plan(upstream_id, context, now)
                if planned is not None:
                    changes[upstream_id] = planned
            if changes:
                return [self._write(bucket, changes)]
        return []

    def _is_quiet(self) -> bool:
        return self._quiet_ticks >= QUIET_TICKS

    def _relevant_ids(self) -> set[str]:
        held = (bucket.own_ids for bucket in self._buckets_by_name.values())
        return self._policy.wanted_ids.union(*held)

    def _plan(
        self, upstream_id: str, context: ShareContext, now: float
    ) -> UpstreamShares | None:
        """Return the upstream's new shares, or None if nothing is to be written."""
        bucket = self._bucket_of(upstream_id)
        shares = tidy(bucket.shares_of(upstream_id), context)
        own = own_connections(shares, context)
        desired = 0
        if not self._is_releasing:
            desired = self._policy.desire(upstream_id, shares, context, now)
        if desired < own:
            self._cap(upstream_id, desired)
            if self._open_by_upstream_id.get(upstream_id, own) > desired:
                return None
        else:
            if self._cap_by_upstream_id.pop(upstream_id, None) is not None:
                self._quiet_ticks = 0
            self._open_by_upstream_id.pop(upstream_id, None)
        planned = with_own(shares, context, desired)
        known = bucket.shares_of(upstream_id)
        if desired != own or own_differs(planned, known, context):
            return planned
        # A wanted holder also marks the dead, so that the age of their shares runs.
        if planned != known and upstream_id in self._policy.wanted_ids:
            return planned
        # A write whose result is unknown is settled by the next one.
        return planned if bucket.is_unsettled(upstream_id) else None

    def _cap(self, upstream_id: str, connections: int) -> None:
        if self._cap_by_upstream_id.get(upstream_id) != connections:
            self._cap_by_upstream_id[upstream_id] = connections
            self._quiet_ticks = 0
            # A count from before may have grown under the former cap.
            self._open_by_upstream_id.pop(upstream_id, None)

    def _write(self, bucket: ShareBucket, changes: dict[str, UpstreamShares]) -> Action:
        attempt = {**bucket.shares_by_upstream_id, **changes}
        attempt = {
            key: shares for key, shares in attempt.items() if shares != NO_SHARES
        }
        bucket.begin_write(attempt, self._session)
        return WriteBucket(bucket.name, bucket.version, encode_bucket(attempt))

    def _tell(self) -> list[Action]:
        """Return actions for the upstreams whose allowance changed."""
        actions: list[Action] = []
        for upstream_id in sorted(
            self._relevant_ids() | self._told_by_upstream_id.keys()
        ):
            allowed = self.allowed(upstream_id)
            if allowed == self._told_by_upstream_id.get(upstream_id, 0):
                continue
            self._told_by_upstream_id[upstream_id] = allowed
            actions.append(
                OpenUpTo(upstream_id, allowed) if allowed else CloseAll(upstream_id)
            )
        return actions


def _backoff_s(code: ResultCode, failures: int) -> float:
    if code == ResultCode.PLATFORM_CONFLICT:
        return min(MAX_CONFLICT_RETRY_S, CONFLICT_RETRY_S * 2**failures)
    if code == ResultCode.PLATFORM_RATE_LIMITED:
        return RATE_RETRY_S
    return min(MAX_OUTAGE_RETRY_S, OUTAGE_RETRY_S * 2**failures)
