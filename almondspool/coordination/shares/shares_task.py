"""Shares task: runs connection shares on timers, platform calls and peer messages."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import eventlet
import prometheus_client
from eventlet import event, queue

from almondspool.codes import ResultCode
from almondspool.coordination.shares.share_actions import (
    Action,
    CloseConnections,
    ReadBucket,
    SetConnectionLimit,
    WriteBucket,
)
from almondspool.coordination.shares.share_calls import ShareCallHandler, ShareCalls
from almondspool.coordination.shares.shares import Shares
from almondspool.errors import PlatformError
from almondspool.protocol.peer import (
    CompareObjects,
    FetchObjects,
    ObjectsReply,
    ReplicatedObject,
)
from almondspool.protocol.shares import BUCKET_NAMES, SHARES_KIND

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from almondspool.coordination.membership.membership_task import MembershipTask
    from almondspool.coordination.shares.share_policy import ShareSettings
    from almondspool.logs import EventLog
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.state.document import Upstream
    from almondspool.transport.timers import TimerHandle, TimerService

TICK_INTERVAL_S = 0.3
PUSH_FANOUT = 2
# Interval at which bucket versions are compared with a member to recover lost pushes.
COMPARE_INTERVAL_S = 10.0
# The same until the holders are known; comparisons do not need the platform.
FIRST_COMPARE_INTERVAL_S = 1.0
CLOSE_POLL_INTERVAL_S = 0.02
# Maximum wait of a rejoin until connections are closed. Exceeds the maximum duration of
# any request.
CLOSE_TIMEOUT_S = 65.0


class SharesDependencies(NamedTuple):
    """Collaborators of the shares task.

    Attributes:
        membership: Membership task.
        platform: Platform interface.
        timers: Timer service.
        log: Event log.
        set_grants: Sets the allowed connections by upstream id; others have none.
        open_connections: Returns the number of open connections to an upstream.
        send_peer: Sends a message to an instance; False if it cannot be reached.
    """

    membership: MembershipTask
    platform: PlatformInterface
    timers: TimerService
    log: EventLog
    set_grants: Callable[[Mapping[str, int]], None]
    open_connections: Callable[[str], int]
    send_peer: Callable[[str, NamedTuple], bool]


class SharesTask(ShareCallHandler):
    """Runs the connection shares of an instance; all events pass through one inbox."""

    def __init__(
        self,
        shares: Shares,
        dependencies: SharesDependencies,
        rng: random.Random,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        """Initialize the task; ``start`` begins to run it."""
        self._shares = shares
        self._dependencies = dependencies
        self._rng = rng
        self._next_compare_at = 0.0
        self._granted_gauge = prometheus_client.Gauge(
            "almondspool_share_connections",
            "Connections that this instance may open, all upstreams together.",
            registry=registry,
        )
        self._refused_counter = prometheus_client.Counter(
            "almondspool_share_buckets_refused",
            "Buckets of connection shares that cannot be decoded.",
            registry=registry,
        )
        self._inbox: queue.LightQueue = queue.LightQueue()
        self._calls = ShareCalls(dependencies.platform, self)
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._tick_subscription: TimerHandle | None = None
        self._release_done: event.Event | None = None
        self._is_ranking = False

    def start(self) -> None:
        """Start to acquire shares as soon as the membership allows it."""
        self._threads = [eventlet.spawn(self._run), eventlet.spawn(self._calls.run)]
        self._tick_subscription = self._dependencies.timers.subscribe(
            TICK_INTERVAL_S, lambda: self._inbox.put(self._tick)
        )

    def stop(self) -> None:
        """Stop the green threads."""
        if self._tick_subscription is not None:
            self._tick_subscription.cancel()
        for thread in self._threads:
            thread.kill()

    def holders(self, upstream_id: str) -> tuple[str, ...]:
        """Return the instances with connections to an upstream.

        Dead instances are omitted; those with status ALIVE come first.
        """
        return self._shares.holders(upstream_id)

    def upstreams_without_successor(self) -> list[str]:
        """Return the upstreams that only this instance holds among the live ones."""
        return self._shares.upstreams_without_successor()

    def upstreams_without_holder(self) -> list[str]:
        """Return the upstreams of the document without a known live holder."""
        return self._shares.upstreams_without_holder()

    def knows_holders(self) -> bool:
        """Return whether this instance knows the holders of connections."""
        return self._shares.knows_holders()

    def allowed_by_upstream_id(self) -> dict[str, int]:
        """Return how many connections this instance may open to each upstream."""
        return self._shares.allowed_by_upstream_id()

    def set_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Set the upstreams of the document in force."""
        self._inbox.put(lambda: self._apply_upstreams(upstreams_by_id))

    def rejoin(self, session: int) -> None:
        """Drop all shares for a new session; return once all connections are closed.

        To be called while MEMBER_REJOINED is handled: the new session, which ends the
        shares of the previous one, is announced afterwards. Gives up after
        CLOSE_TIMEOUT_S.
        """
        held = self._shares.allowed_by_upstream_id()
        self._execute(self._shares.rejoin(session))
        deadline = self._dependencies.timers.now() + CLOSE_TIMEOUT_S
        while still_open := self._count_open_by_upstream_id(held):
            if self._dependencies.timers.now() >= deadline:
                self._dependencies.log.write(
                    "shares.still_open",
                    code=ResultCode.INTERNAL.name,
                    upstreams=sorted(still_open),
                    connections=sum(still_open.values()),
                )
                return
            eventlet.sleep(CLOSE_POLL_INTERVAL_S)

    def _count_open_by_upstream_id(self, upstream_ids: Iterable[str]) -> dict[str, int]:
        counts = {
            upstream_id: self._dependencies.open_connections(upstream_id)
            for upstream_id in upstream_ids
        }
        return {upstream_id: count for upstream_id, count in counts.items() if count}

    def release_all(self) -> None:
        """Release all shares for a shutdown; return once the release is stored."""
        done = event.Event()
        self._release_done = done
        self._inbox.put(lambda: self._execute(self._shares.release_all()))
        done.wait()

    def post_fetch(self, sender: str, fetch: FetchObjects) -> None:
        """Handle a peer's request for buckets."""
        if fetch.kind == SHARES_KIND:
            self._inbox.put(lambda: self._send_buckets(sender, fetch.names))

    def post_compare(self, sender: str, compare: CompareObjects) -> None:
        """Handle a peer's request for buckets newer than those it knows."""
        if compare.kind == SHARES_KIND:
            self._inbox.put(lambda: self._send_newer(sender, compare.versions_by_name))

    def post_objects(self, sender: str, reply: ObjectsReply) -> None:
        """Handle buckets pushed by a peer; objects of other kinds are ignored."""
        buckets = [item for item in reply.objects if item.kind == SHARES_KIND]
        if buckets:
            self._inbox.put(lambda: self._apply_pushed(sender, buckets))

    def _run(self) -> None:
        while True:
            step = self._inbox.get()
            try:
                step()
            except Exception as error:
                # An invalid message must not end the task; the next tick continues.
                self._dependencies.log.write(
                    "shares.internal_error",
                    code=ResultCode.INTERNAL.name,
                    reason=repr(error),
                )

    def _tick(self) -> None:
        dependencies = self._dependencies
        membership = dependencies.membership
        shares = self._shares
        shares.set_view(
            membership.view(), membership.listed_instances(), membership.may_act()
        )
        for upstream_id in shares.capped_upstream_ids():
            shares.set_open_connections(
                upstream_id, dependencies.open_connections(upstream_id)
            )
        timers = dependencies.timers
        self._execute(shares.tick(timers.now(), timers.epoch_ms()))
        self._request_newer_buckets(dependencies.timers.now())
        if shares.is_ranking() and not self._is_ranking:
            self._is_ranking = True
            self._inbox.put(self._rank_batch)
        if self._release_done is not None and shares.is_released():
            done, self._release_done = self._release_done, None
            done.send(None)

    def _apply_upstreams(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        self._shares.set_upstreams(upstreams_by_id)
        self._tick()

    def _rank_batch(self) -> None:
        """Rank a batch of upstreams after yielding; post the next batch, if any."""
        eventlet.sleep(0)
        self._shares.rank_batch()
        if self._shares.is_ranking():
            self._inbox.put(self._rank_batch)
            return
        self._is_ranking = False
        self._tick()

    def _execute(self, actions: Sequence[Action]) -> None:
        changed = False
        for action in actions:
            if isinstance(action, (ReadBucket, WriteBucket)):
                self._calls.post(action)
                continue
            changed = True
            self._log_allowance(action)
        if changed:
            grants = self._shares.allowed_by_upstream_id()
            self._granted_gauge.set(sum(grants.values()))
            self._dependencies.set_grants(grants)

    def _log_allowance(self, action: SetConnectionLimit | CloseConnections) -> None:
        connections = (
            action.connections if isinstance(action, SetConnectionLimit) else 0
        )
        self._dependencies.log.write(
            "shares.allowed", upstream=action.upstream_id, connections=connections
        )

    def on_read(self, name: str, version: int, value: bytes) -> None:
        """Handle a bucket that was read."""
        self._inbox.put(lambda: self._apply_read(name, version, value))

    def on_written(self, name: str, version: int, value: bytes) -> None:
        """Handle a successful write."""
        self._inbox.put(lambda: self._apply_written(name, version, value))

    def on_failed(self, name: str, error: PlatformError) -> None:
        """Handle a failed call."""
        self._inbox.put(lambda: self._apply_failure(name, error))

    def _apply_written(self, name: str, version: int, value: bytes) -> None:
        self._dependencies.log.write("shares.written", bucket=name, version=version)
        self._execute(self._shares.on_written(name, version, value))
        self._push((name,), "")

    def _apply_read(self, name: str, version: int, value: bytes) -> None:
        try:
            self._execute(self._shares.on_bucket_read(name, version, value))
        except PlatformError as error:
            self._refused_counter.inc()
            self._apply_failure(name, error)

    def _apply_failure(self, name: str, error: PlatformError) -> None:
        self._dependencies.log.write(
            "shares.call_failed", bucket=name, code=error.code.name, reason=error
        )
        now = self._dependencies.timers.now()
        self._execute(self._shares.on_call_failed(name, error.code, now))

    def _apply_pushed(self, sender: str, buckets: Sequence[ReplicatedObject]) -> None:
        newer = []
        for item in buckets:
            known = self._shares.versions_by_name().get(item.name, 0)
            if item.name not in BUCKET_NAMES or item.version <= known:
                continue
            try:
                actions = self._shares.on_bucket_received(
                    item.name, item.version, item.value
                )
            except PlatformError as error:
                self._refused_counter.inc()
                self._dependencies.log.write(
                    "shares.refused", sender=sender, code=error.code.name, reason=error
                )
                continue
            self._execute(actions)
            newer.append(item.name)
        if newer:
            self._push(newer, sender)

    def _push(self, names: Sequence[str], skip: str) -> None:
        """Push buckets to a few members other than ``skip``.

        Members push buckets that were new to them on, until all have them.
        """
        for instance in self._pick_members(PUSH_FANOUT, skip):
            self._send_buckets(instance, names)

    def _send_buckets(self, instance: str, names: Sequence[str]) -> None:
        objects = []
        for name in names:
            if name in self._shares.versions_by_name():
                version, value = self._shares.bucket_value(name)
                objects.append(ReplicatedObject(SHARES_KIND, name, version, value))
        if objects:
            self._dependencies.send_peer(instance, ObjectsReply(tuple(objects)))

    def _send_newer(self, instance: str, versions_by_name: Mapping[str, int]) -> None:
        newer = [
            name
            for name, version in self._shares.versions_by_name().items()
            if version > versions_by_name.get(name, 0)
        ]
        self._send_buckets(instance, newer)

    def _request_newer_buckets(self, now: float) -> None:
        """Request buckets whose push was lost from one member, if this is due."""
        if now < self._next_compare_at:
            return
        chosen = self._pick_members(1, "")
        if not chosen:
            return
        are_holders_known = self._shares.knows_holders()
        interval_s = (
            COMPARE_INTERVAL_S if are_holders_known else FIRST_COMPARE_INTERVAL_S
        )
        self._next_compare_at = now + interval_s * self._rng.uniform(0.5, 1.5)
        versions_by_name = self._shares.versions_by_name()
        compare = CompareObjects(SHARES_KIND, versions_by_name)
        self._dependencies.send_peer(chosen[0], compare)

    def _pick_members(self, count: int, skip: str) -> list[str]:
        own = self._dependencies.membership.own().instance
        present = self._dependencies.membership.view().present()
        names = [member.instance for member in present]
        others = [name for name in names if name not in (own, skip)]
        return self._rng.sample(others, min(count, len(others)))

    def version(self) -> int:
        """Return the highest known version of any bucket."""
        return self._shares.version()


def make_shares_task(
    instance: str,
    session: int,
    settings: ShareSettings,
    dependencies: SharesDependencies,
    registry: prometheus_client.CollectorRegistry,
) -> SharesTask:
    """Return the shares task of one instance, not started.

    Args:
        instance: Name of this instance.
        session: Session of this instance, which is its incarnation at the start.
        settings: Settings of the connection shares.
        dependencies: Collaborators of the task.
        registry: Registry of the metrics.
    """
    rng = random.Random(f"{instance}/{session}/shares")
    shares = Shares(instance, session, settings, rng)
    return SharesTask(shares, dependencies, rng, registry)
