"""Selection of the replica for a leg by the least expected latency.

A replica in the instance's own availability zone saves the round trip to another zone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.protocol.exchange import ConnectionState
from almondspool.routing.rate_limit import RateLimiter
from almondspool.routing.replica_health import ReplicaHealth

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from almondspool.protocol.exchange import LegSender
    from almondspool.state.routes import Replica

# Round trip to another availability zone: 3 to 4.4 ms each way.
CROSS_ZONE_COST_S = 0.009
# What a replica of another zone must save besides, as a share of a median leg: smaller
# differences between legs are chance, and bytes between zones are charged.
CROSS_ZONE_MEDIAN_SHARE = 0.25
# Time to open a connection: one round trip and 6 ms of set-up at a searcher.
CONNECT_COST_S = 0.007
# Wait for a connection when none is free: about one short leg.
BUSY_COST_S = 0.030
# A failed leg delays the result by at least the time in which another replica answers.
FAILURE_COST_S = 0.300
# Of more replicas than this, only a random sample of this size is compared: otherwise
# all instances would send to the same best replica at the same time.
MAX_COMPARED_REPLICAS = 3
# Upper bound of the random jitter, which spreads the load over equal replicas; smaller
# differences between expected latencies are noise.
JITTER_S = 0.001


class ReplicaChoice(NamedTuple):
    """The replica chosen for a leg, and the reason.

    Attributes:
        replica: The replica, or None if none may be used.
        expected_s: Expected latency of the leg, in seconds; 0.0 without a replica.
        reason: Why this replica or none was chosen, in one word for the log.
        queue_rounds: Queue ahead of the leg, in multiples of the replica's slots.
        is_paused: Whether the replica was chosen although it is unreachable, as all
            others are.
        backoff_s: Seconds until the first of the replicas that could be chosen accepts
            a leg, if each one requested a backoff or is at its limit; otherwise 0.0.
    """

    replica: Replica | None
    expected_s: float
    reason: str
    queue_rounds: float = 0.0
    is_paused: bool = False
    backoff_s: float = 0.0


class ReplicaSelector:
    """Chooses replicas and keeps the health of each replica."""

    def __init__(
        self,
        zone: str,
        sender: LegSender,
        rng: random.Random,
        rate_quota: Callable[[Replica, float], float],
    ) -> None:
        """Start without health records.

        Args:
            zone: Availability zone of this instance.
            sender: Reports the state of the connections to a replica.
            rng: Source of the random sample and the jitter.
            rate_quota: Returns how many requests a second this instance may send to a
                replica, given the limit that the replica named for all instances.
        """
        self._rate_quota = rate_quota
        self._zone = zone
        self._sender = sender
        self._rng = rng
        self._health_by_id: dict[str, ReplicaHealth] = {}

    def health(self, now: float, replica: Replica) -> ReplicaHealth:
        """Return the health of a replica; a new record starts its warm-up."""
        health = self._health_by_id.get(replica.replica_id)
        if health is None:
            health = self._health_by_id[replica.replica_id] = ReplicaHealth(now)
            health.warmup_ends_at = now + replica.warmup_s
        return health

    def set_rate_limit(
        self, now: float, replica: Replica, rate_limit: float | None
    ) -> bool:
        """Set the limit that a replica named, or None if it named none.

        Returns:
            Whether the limit has changed.
        """
        health = self.health(now, replica)
        limiter = health.rate_limiter
        if rate_limit is None:
            health.rate_limiter = None
            return limiter is not None
        if limiter is None:
            limiter = health.rate_limiter = RateLimiter(now, replica, rate_limit)
        elif limiter.rate_limit != rate_limit:
            limiter.rate_limit = rate_limit
        else:
            return False
        limiter.update_quota(self._rate_quota)
        return True

    def refresh_rate_quotas(self) -> None:
        """Apply the current shares of limits, after instances joined or left."""
        for health in self._health_by_id.values():
            if health.rate_limiter is not None:
                health.rate_limiter.update_quota(self._rate_quota)

    def end_pauses(self) -> None:
        """End the pauses of all replicas, as the failures were not theirs."""
        for health in self._health_by_id.values():
            health.end_pause()

    def forget(self, replica_id: str) -> None:
        """Drop the health of a replica that is gone or has restarted."""
        self._health_by_id.pop(replica_id, None)

    def choose(
        self,
        now: float,
        replicas: Sequence[Replica],
        median_s: float,
        tried_ids: Collection[str] = (),
        is_urgent: bool = True,
    ) -> ReplicaChoice:
        """Choose a replica that was not tried yet and to which a connection is allowed.

        Args:
            now: Monotonic seconds.
            replicas: Replicas that accept new requests.
            median_s: Median latency of a leg of this route, in seconds.
            tried_ids: Ids of the replicas to which this request was already sent.
            is_urgent: Whether the leg may use what limited replicas reserve for urgent
                ones.
        """
        allowed = (
            [replica for replica in replicas if replica.replica_id not in tried_ids]
            if tried_ids
            else replicas
        )
        if not allowed:
            return ReplicaChoice(None, 0.0, "no_replica_left")
        allowed = [
            replica
            for replica in allowed
            if self._sender.connection_state(replica) is not ConnectionState.NONE
        ]
        if not allowed:
            return ReplicaChoice(None, 0.0, "no_connection_granted")
        delays_s = [self._send_delay_s(now, replica, is_urgent) for replica in allowed]
        if any(delays_s):
            allowed = [
                replica
                for replica, delay_s in zip(allowed, delays_s, strict=True)
                if not delay_s
            ]
        if not allowed:
            return ReplicaChoice(None, 0.0, "asked_for_time", backoff_s=min(delays_s))
        available = [
            replica for replica in allowed if not self._is_paused(now, replica)
        ]
        reason = "best" if available else "only_paused"
        best = None
        least_expected_s = math.inf
        for replica in self._sample(available or list(allowed)):
            expected_s = self._expected_s(now, replica, median_s)
            if expected_s < least_expected_s:
                best, least_expected_s = replica, expected_s
        queue_rounds = self.health(now, best).queue_rounds(now, best.slots)
        return ReplicaChoice(
            best, least_expected_s, reason, queue_rounds, is_paused=not available
        )

    def _send_delay_s(self, now: float, replica: Replica, is_urgent: bool) -> float:
        health = self._health_by_id.get(replica.replica_id)
        return 0.0 if health is None else health.send_delay_s(now, is_urgent)

    def _is_paused(self, now: float, replica: Replica) -> bool:
        health = self._health_by_id.get(replica.replica_id)
        return health is not None and health.is_paused(now)

    def _sample(self, replicas: list[Replica]) -> list[Replica]:
        if len(replicas) <= MAX_COMPARED_REPLICAS:
            return replicas
        local = [replica for replica in replicas if replica.zone == self._zone]
        if len(local) >= MAX_COMPARED_REPLICAS - 1:
            sample = self._rng.sample(local, MAX_COMPARED_REPLICAS - 1)
        else:
            sample = local
        # One replica outside the sample, of any zone, is always compared, so that legs
        # go to other zones if the local replicas have no free capacity.
        others = [replica for replica in replicas if replica not in sample]
        return [*sample, self._rng.choice(others)]

    def _expected_s(self, now: float, replica: Replica, median_s: float) -> float:
        health = self.health(now, replica)
        rounds_to_completion = 1.0 + health.queue_rounds(now, replica.slots)
        expected_s = median_s * health.slowness(now) * rounds_to_completion
        expected_s += health.failure_share(now) * FAILURE_COST_S
        if replica.zone != self._zone:
            expected_s += CROSS_ZONE_COST_S + CROSS_ZONE_MEDIAN_SHARE * median_s
        connection_state = self._sender.connection_state(replica)
        if connection_state is not ConnectionState.IDLE:
            expected_s += (
                CONNECT_COST_S
                if connection_state is ConnectionState.CONNECT
                else BUSY_COST_S
            )
        return expected_s + self._rng.random() * JITTER_S
