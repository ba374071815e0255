"""Connection shares: splits each upstream's limit among a few instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.coordination.shares.share_actions import (
    Action,
    CloseConnections,
    ReadBucket,
    SetConnectionLimit,
    WriteBucket,
)
from almondspool.coordination.shares.share_bucket import UNREAD, ShareBucket
from almondspool.coordination.shares.share_plan import (
    ShareContext,
    expire_shares,
    own_connections,
    own_shares_differ,
    with_own_share,
)
from almondspool.coordination.shares.share_policy import SharePolicy, ShareSettings
from almondspool.protocol.shares import (
    BUCKET_NAMES,
    bucket_name,
    decode_bucket,
    encode_bucket,
)
from almondspool.state.members import MemberStatus, View
from almondspool.state.shares import NO_SHARES, UpstreamShares

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from almondspool.state.document import Upstream

# Backoff after a failed call, before jitter, by the kind of failure. It doubles with
# each failure from the minimum to the maximum.
MIN_CONFLICT_BACKOFF_S = 0.1
MAX_CONFLICT_BACKOFF_S = 5.0
MIN_OUTAGE_BACKOFF_S = 5.0
MAX_OUTAGE_BACKOFF_S = 30.0
RATE_LIMIT_BACKOFF_S = 1.0
# The count of failed calls stops here, which bounds the exponent of the backoff.
MAX_COUNTED_FAILURES = 8
# Number of ticks without a change after which one bucket is checked per tick. A waiting
# time of the policy that is longer ends up to one round of the buckets later.
QUIET_TICKS = 16


class Shares:
    """State machine of the shares: takes views, bucket states, ticks; returns actions.

    The allowance of this instance never exceeds its share stored in the platform, and
    all shares of an upstream, including stale ones, never exceed its limit.
    """

    def __init__(
        self, instance: str, session: int, settings: ShareSettings, rng: random.Random
    ) -> None:
        """Initialize without connections and with unread buckets."""
        self._instance = instance
        self._session = session
        self._settings = settings
        self._rng = rng
        self._bucket_order = rng.sample(BUCKET_NAMES, len(BUCKET_NAMES))
        self._policy = SharePolicy(instance, settings)
        self._buckets_by_name = {
            name: ShareBucket(name, instance) for name in BUCKET_NAMES
        }
        self._upstream_ids: frozenset[str] = frozenset()
        self._view = View({})
        self._states_by_instance = self._view.states_by_instance()
        self._listed_instances: frozenset[str] = frozenset()
        self._may_serve = False
        self._is_releasing = False
        # Number of ticks since the last change that can require an action.
        self._quiet_ticks = 0
        # Connections allowed while a share is being reduced, below the stored share.
        self._cap_by_upstream_id: dict[str, int] = {}
        self._open_by_upstream_id: dict[str, int] = {}
        # Allowance of the last SetConnectionLimit; 0 after CloseConnections.
        self._reported_by_upstream_id: dict[str, int] = {}

    def version(self) -> int:
        """Return the highest known version of any bucket, or 0."""
        return max(0, *(bucket.version for bucket in self._buckets_by_name.values()))

    def versions_by_name(self) -> dict[str, int]:
        """Return the known version of each bucket that was read."""
        return {
            name: bucket.version
            for name, bucket in self._buckets_by_name.items()
            if bucket.version != UNREAD
        }

    def bucket_value(self, name: str) -> tuple[int, bytes]:
        """Return the version and stored form of a bucket, for peers."""
        bucket = self._buckets_by_name[name]
        return bucket.version, encode_bucket(bucket.shares_by_upstream_id)

    def allowed(self, upstream_id: str) -> int:
        """Return how many connections to an upstream this instance may open."""
        bucket = self._bucket_of(upstream_id)
        own = bucket.own_connections(upstream_id, self._session)
        return min(own, self._cap_by_upstream_id.get(upstream_id, own))

    def allowed_by_upstream_id(self) -> dict[str, int]:
        """Return how many connections this instance may open to each upstream.

        Contains every upstream that an action was returned for.
        """
        ids = sorted(self._reported_by_upstream_id)
        return {upstream_id: self.allowed(upstream_id) for upstream_id in ids}

    def holders(self, upstream_id: str) -> tuple[str, ...]:
        """Return the instances with connections to an upstream.

        Dead instances are omitted; those with status ALIVE come first.
        """
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
        """Return the upstreams that only this instance holds among the live ones.

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
        held_ids = [
            upstream_id
            for upstream_id, allowed in self._reported_by_upstream_id.items()
            if allowed
        ]
        return [
            upstream_id
            for upstream_id in held_ids
            if others.isdisjoint(self.holders(upstream_id))
        ]

    def upstreams_without_holder(self) -> list[str]:
        """Return the upstreams of the document without a known live holder."""
        return sorted(
            upstream_id
            for upstream_id in self._upstream_ids
            if not self.holders(upstream_id)
        )

    def knows_holders(self) -> bool:
        """Return whether this instance knows the holders of connections.

        True once every bucket was read, or if any upstream has a known live holder.
        """
        all_read = len(self.versions_by_name()) == len(BUCKET_NAMES)
        return all_read or len(self.upstreams_without_holder()) < len(
            self._upstream_ids
        )

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Set the upstreams of the document in force."""
        self._quiet_ticks = 0
        self._upstream_ids = frozenset(upstreams_by_id)
        self._policy.set_upstreams(upstreams_by_id)

    def is_ranking(self) -> bool:
        """Return whether rank_batch() must be called before the next tick."""
        return self._policy.is_ranking()

    def rank_batch(self) -> None:
        """Rank the next batch of upstreams."""
        self._quiet_ticks = 0
        self._policy.rank_batch()

    def set_view(
        self, view: View, listed_instances: frozenset[str], may_serve: bool
    ) -> None:
        """Set the membership.

        Args:
            view: Current members.
            listed_instances: Instances listed by the platform; empty if never read.
            may_serve: Whether this instance is confirmed and its lease holds.
        """
        if (listed_instances, may_serve) != (self._listed_instances, self._may_serve):
            self._quiet_ticks = 0
        self._listed_instances = listed_instances
        self._may_serve = may_serve
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
        """Begin a new session, in which this instance has no shares yet.

        The session may be announced once every connection is closed.

        Args:
            session: The new session.
        """
        self._session = session
        self._quiet_ticks = 0
        self._may_serve = False
        self._cap_by_upstream_id = {}
        self._policy.restart_settling()
        for bucket in self._buckets_by_name.values():
            bucket.must_read = True
        return self._report_changed_allowances()

    def release_all(self) -> list[Action]:
        """Close all connections and release all shares, for a graceful shutdown."""
        self._is_releasing = True
        self._quiet_ticks = 0
        for upstream_id, allowed in self._reported_by_upstream_id.items():
            if allowed:
                self._set_cap(upstream_id, 0)
        return self._report_changed_allowances()

    def is_released(self) -> bool:
        """Return whether all shares of this session have been released."""
        return self._is_releasing and not any(
            bucket.has_own_share(self._session)
            for bucket in self._buckets_by_name.values()
        )

    def set_open_connections(self, upstream_id: str, count: int) -> None:
        """Report the number of open connections to an upstream."""
        self._open_by_upstream_id[upstream_id] = count

    def capped_upstream_ids(self) -> list[str]:
        """Return the upstreams whose open connections must be reported before a tick.

        Their allowance is lower than the stored share, which is reduced once the
        surplus connections are closed.
        """
        return sorted(self._cap_by_upstream_id)

    def tick(self, now: float, now_ms: int) -> list[Action]:
        """Return the actions that are due.

        Args:
            now: Monotonic seconds.
            now_ms: Milliseconds since the epoch.
        """
        reads = self._plan_reads(now)
        if not self._may_serve and not self._is_releasing:
            return reads
        context = ShareContext(
            self._instance,
            self._session,
            self._view.members_by_instance,
            self._listed_instances,
            now_ms,
            int(self._settings.release_after_s * 1000),
        )
        writes = self._plan_writes(context, now)
        if reads or writes:
            self._quiet_ticks = 0
        limits = [] if self._is_quiet() else self._report_changed_allowances()
        self._quiet_ticks += 1
        return [*limits, *reads, *writes]

    def on_bucket_read(self, name: str, version: int, value: bytes) -> list[Action]:
        """Handle a bucket that was read; version 0 if it does not exist.

        Raises:
            PlatformError: With PLATFORM_REPLY_INVALID; the known state is kept.
        """
        bucket = self._buckets_by_name[name]
        bucket.is_busy = False
        actions = self.on_bucket_received(name, version, value)
        bucket.must_read = False
        return actions

    def on_bucket_received(self, name: str, version: int, value: bytes) -> list[Action]:
        """Handle a bucket received from a peer.

        Raises:
            PlatformError: With PLATFORM_REPLY_INVALID; the known state is kept.
        """
        bucket = self._buckets_by_name[name]
        if version > bucket.version:
            self._quiet_ticks = 0
            bucket.apply_state(version, decode_bucket(name, value) if value else {})
        return self._report_changed_allowances()

    def on_written(self, name: str, version: int, value: bytes) -> list[Action]:
        """Handle a successful write, which gave the bucket a new version."""
        self._buckets_by_name[name].failures = 0
        return self.on_bucket_read(name, version, value)

    def on_call_failed(self, name: str, code: ResultCode, now: float) -> list[Action]:
        """Handle a failed read or write; the write may have taken effect.

        After a conflict, the bucket is read again at once.
        """
        bucket = self._buckets_by_name[name]
        bucket.is_busy = False
        backoff_s = _backoff_s(code, bucket.failures)
        bucket.failures = min(bucket.failures + 1, MAX_COUNTED_FAILURES)
        bucket.retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)
        if code != ResultCode.PLATFORM_CONFLICT:
            return []
        bucket.is_busy = True
        return [ReadBucket(name)]

    def _bucket_of(self, upstream_id: str) -> ShareBucket:
        return self._buckets_by_name[bucket_name(upstream_id)]

    def _plan_reads(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name in BUCKET_NAMES:
            bucket = self._buckets_by_name[name]
            if bucket.must_read and not bucket.is_busy and now >= bucket.retry_at:
                bucket.is_busy = True
                actions.append(ReadBucket(name))
        return actions

    def _plan_writes(self, context: ShareContext, now: float) -> list[Action]:
        """Plan a write of at most one bucket.

        The others wait for a later tick, when more may be known. While nothing changes,
        one bucket is checked per tick, since only the age of the known state can then
        require a write.
        """
        ids_by_bucket: dict[str, list[str]] = {}
        for upstream_id in sorted(self._relevant_ids()):
            ids_by_bucket.setdefault(bucket_name(upstream_id), []).append(upstream_id)
        # Instances start at different buckets to avoid conflicting writes.
        self._bucket_order.append(self._bucket_order.pop(0))
        for name in self._bucket_order[:1] if self._is_quiet() else self._bucket_order:
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
        """Return the upstreams whose shares this instance has or should have."""
        own_ids = (bucket.own_upstream_ids for bucket in self._buckets_by_name.values())
        return self._policy.wanted_upstream_ids.union(*own_ids)

    def _plan(
        self, upstream_id: str, context: ShareContext, now: float
    ) -> UpstreamShares | None:
        """Return the planned shares of an upstream; None if no write is needed."""
        bucket = self._bucket_of(upstream_id)
        shares = expire_shares(bucket.shares_of(upstream_id), context)
        own = own_connections(shares, context)
        desired = 0
        if not self._is_releasing:
            desired = self._policy.desired_connections(
                upstream_id, shares, context, now
            )
        if desired < own:
            self._set_cap(upstream_id, desired)
            if self._open_by_upstream_id.get(upstream_id, own) > desired:
                return None
        else:
            if self._cap_by_upstream_id.pop(upstream_id, None) is not None:
                self._quiet_ticks = 0
            self._open_by_upstream_id.pop(upstream_id, None)
        planned = with_own_share(shares, context, desired)
        known = bucket.shares_of(upstream_id)
        if desired != own or own_shares_differ(planned, known, context):
            return planned
        # A wanted holder also marks shares of dead holders as stale, so that they age.
        if planned != known and upstream_id in self._policy.wanted_upstream_ids:
            return planned
        # The next write resolves an earlier one whose result is unknown.
        return planned if bucket.is_uncertain(upstream_id) else None

    def _set_cap(self, upstream_id: str, connections: int) -> None:
        if self._cap_by_upstream_id.get(upstream_id) != connections:
            self._cap_by_upstream_id[upstream_id] = connections
            self._quiet_ticks = 0
            # The earlier count may have grown under the previous cap.
            self._open_by_upstream_id.pop(upstream_id, None)

    def _write(self, bucket: ShareBucket, changes: dict[str, UpstreamShares]) -> Action:
        content = {**bucket.shares_by_upstream_id, **changes}
        content = {
            upstream_id: shares
            for upstream_id, shares in content.items()
            if shares != NO_SHARES
        }
        bucket.begin_write(content, self._session)
        return WriteBucket(bucket.name, bucket.version, encode_bucket(content))

    def _report_changed_allowances(self) -> list[Action]:
        """Return actions for upstreams whose allowance has changed."""
        actions: list[Action] = []
        for upstream_id in sorted(
            self._relevant_ids() | self._reported_by_upstream_id.keys()
        ):
            allowed = self.allowed(upstream_id)
            if allowed == self._reported_by_upstream_id.get(upstream_id, 0):
                continue
            self._reported_by_upstream_id[upstream_id] = allowed
            actions.append(
                SetConnectionLimit(upstream_id, allowed)
                if allowed
                else CloseConnections(upstream_id)
            )
        return actions


def _backoff_s(code: ResultCode, failures: int) -> float:
    if code == ResultCode.PLATFORM_CONFLICT:
        return min(MAX_CONFLICT_BACKOFF_S, MIN_CONFLICT_BACKOFF_S * 2**failures)
    if code == ResultCode.PLATFORM_RATE_LIMITED:
        return RATE_LIMIT_BACKOFF_S
    return min(MAX_OUTAGE_BACKOFF_S, MIN_OUTAGE_BACKOFF_S * 2**failures)
