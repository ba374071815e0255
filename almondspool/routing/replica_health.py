"""Health of a replica as observed from the legs of this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.coordination.upstreams.latency import DecayedPeak

if TYPE_CHECKING:
    from almondspool.protocol.exchange import ReportedLoad

# First pause of the sends to an unreachable replica, doubled with each further
# failure; searchers that crash are back after a few seconds.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Weight of one outcome in the failure share, and its half-life: a replica that fails
# two of five requests is distinguished from one that failed once.
FAILURE_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 6.0
# A smaller failure share adds less to the expected time of a leg than its jitter.
NEGLIGIBLE_FAILURE_SHARE = 0.003
# A load report older than this is stale: several requests have arrived since.
REPORT_TTL_S = 0.5
# Least slowness assumed of a replica while it warms up; its own times may show more.
WARMUP_SLOWNESS = 1.6
# A leg this many times slower than the median met either a short pause of the replica
# or a slow replica, and only the next leg can tell which. The replica is therefore
# avoided for a while: a pause ends within a tenth of a second, and a replica that is
# slow again is avoided for twice as long.
SLOW_FACTOR = 3.0
MIN_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 8.0
# Added to the slowness of an avoided replica, in multiples of the median leg: it is
# used only if it is faster than the others by more than this.
AVOIDANCE_PENALTY = 4.0
# Bounds on one observed slowness: a pause of 100 ms is ten times a short leg.
MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 40.0


class ReplicaHealth:
    """Slowness, failures and load of one replica.

    Slowness is the time of a leg divided by the median of its route, so that short
    and long searches can be compared.
    """

    __slots__ = (
        "_failure_share",
        "_failure_share_at",
        "_peak",
        "_slow_legs",
        "avoided_until",
        "consecutive_failures",
        "in_flight",
        "paused_until",
        "report",
        "reported_at",
        "backoff_until",
        "warmup_ends_at",
    )

    def __init__(self, now: float) -> None:
        """Start with a slowness of 1 and no failures."""
        self._peak = DecayedPeak(now, 1.0)
        self._failure_share = 0.0
        self._failure_share_at = now
        self._slow_legs = 0
        self.avoided_until = -math.inf
        self.in_flight = 0
        self.consecutive_failures = 0
        self.paused_until = -math.inf
        self.report: ReportedLoad | None = None
        self.reported_at = -math.inf
        self.warmup_ends_at = -math.inf
        self.backoff_until = -math.inf

    def slowness(self, now: float) -> float:
        """Return the expected time of a leg, in multiples of its route's median."""
        slowness = max(MIN_SLOWNESS, self._peak.value(now))
        if now < self.avoided_until:
            slowness += AVOIDANCE_PENALTY
        if now < self.warmup_ends_at:
            slowness = max(slowness, WARMUP_SLOWNESS)
        return slowness

    def failure_share(self, now: float) -> float:
        """Return the recent share of failed legs, 0 to 1."""
        if self._failure_share < NEGLIGIBLE_FAILURE_SHARE:
            return 0.0
        age_s = max(0.0, now - self._failure_share_at)
        return self._failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_paused(self, now: float) -> bool:
        """Return whether legs should go to other replicas.

        After a pause, one leg at a time probes whether the replica is back.
        """
        if now < self.paused_until:
            return True
        return self.consecutive_failures > 0 and self.in_flight > 0

    def backoff_left_s(self, now: float) -> float:
        """Return the rest of the backoff that the replica asked for, in seconds."""
        return max(0.0, self.backoff_until - now)

    def set_backoff(self, now: float, backoff_s: float) -> None:
        """Set the backoff that the replica asked for, in seconds from now."""
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def record_success(self, now: float, slowness: float) -> bool:
        """Record the slowness of a leg that succeeded.

        Returns:
            Whether the replica is back after a pause.
        """
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self._peak.add(now, bounded)
        self._update_avoidance(now, slowness)
        is_back = self.consecutive_failures > 0
        self.consecutive_failures = 0
        self.paused_until = -math.inf
        self._update_failure_share(now, 0.0)
        return is_back

    def record_pending(self, now: float, slowness: float) -> None:
        """Record a lower bound of the slowness of a leg that has no reply yet."""
        self._peak.raise_to(now, min(MAX_SLOWNESS, slowness))
        if slowness >= SLOW_FACTOR:
            self._update_avoidance(now, slowness)

    def record_failure(self, now: float) -> None:
        """Record a leg that ran and failed, or was rejected."""
        self._update_failure_share(now, 1.0)

    def record_unreachable(self, now: float, may_have_run: bool) -> bool:
        """Pause sends after a reset, a refused connection or a long silence.

        Args:
            now: Monotonic seconds.
            may_have_run: Whether a request had reached the replica. A refused
                connection does not count as a failure: the replica is down, and
                as healthy as before once it is back.

        Returns:
            Whether a pause began.
        """
        if may_have_run:
            self._update_failure_share(now, 1.0)
        if now < self.paused_until:
            # The leg was sent before the pause began, so it adds no information.
            return False
        pause_s = min(MAX_PAUSE_S, MIN_PAUSE_S * 2.0**self.consecutive_failures)
        self.consecutive_failures = min(self.consecutive_failures + 1, 8)
        self.paused_until = now + pause_s
        return True

    def record_load(self, now: float, report: ReportedLoad) -> None:
        """Record the load reported in a reply."""
        self.report = report
        self.reported_at = now

    def outstanding(self, now: float) -> int:
        """Return how many requests are expected at the replica, running or queued."""
        if self.report is None or now - self.reported_at > REPORT_TTL_S:
            return self.in_flight
        return max(self.in_flight, self.report.running + self.report.queued - 1)

    def queue_rounds(self, now: float, slots: int) -> float:
        """Return the queue ahead of a new request, in multiples of the slots."""
        return max(0, self.outstanding(now) - slots + 1) / slots

    def _update_avoidance(self, now: float, slowness: float) -> None:
        if slowness < SLOW_FACTOR:
            self._slow_legs = 0
        elif now >= self.avoided_until:
            avoidance_s = min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2.0**self._slow_legs)
            self.avoided_until = now + avoidance_s
            self._slow_legs += 1

    def _update_failure_share(self, now: float, failed: float) -> None:
        share = self.failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (failed - share)
        self._failure_share_at = now
