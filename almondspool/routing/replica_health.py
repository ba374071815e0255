"""Health of a replica, as observed from the legs that this instance sends to it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.coordination.upstreams.latency import DecayedPeak

if TYPE_CHECKING:
    from almondspool.protocol.exchange import ReportedLoad
    from almondspool.routing.rate_limit import RateLimiter

# Sends to an unreachable replica are paused for this long first, and twice as long with
# each further failure; searchers that crash are back after a few seconds.
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Weight of one outcome in the failure share, and the half-life of the share. They
# distinguish a replica that fails two of five requests from one that failed once.
OUTCOME_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 6.0
# A smaller failure share adds less to the expected time of a leg than its jitter.
NEGLIGIBLE_FAILURE_SHARE = 0.003
# A load report older than this is stale: several requests have arrived since.
LOAD_REPORT_TTL_S = 0.5
# Slowness that is assumed at least while a replica warms up; its legs may show more.
WARMUP_SLOWNESS = 1.6
# The slowness of a leg decays over this multiple of its latency. An instance finds out
# whether a slow replica has recovered by sending it a request, which then takes as long
# as the last one; the multiple limits how often.
SLOWNESS_DECAY_LEGS = 2.0
# Bounds on one observed slowness: a pause of 100 ms is ten times a short leg.
MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 40.0


class ReplicaHealth:
    """Slowness, failures and load of one replica.

    Slowness is the latency of a leg divided by the median of its route, so that short
    and long searches can be compared. Times are monotonic seconds, and minus infinity
    if there is none.

    Attributes:
        backoff_until: When the backoff that the replica requested ends.
        consecutive_failures: Number of pauses since the last success, at most 8.
        in_flight: Number of this instance's legs at the replica.
        legs_since_report: Number of these legs that were sent after the load report.
        load_report: The load in the replica's latest reply that had one, or None.
        paused_until: When the pause of an unreachable replica ends.
        rate_limiter: Limits the legs to a replica that named a limit, or None.
        reported_at: When that load report arrived.
        warmup_ends_at: When the replica counts as warmed up.
    """

    __slots__ = (
        "_failure_share",
        "_failure_share_at",
        "_decayed_slowness",
        "consecutive_failures",
        "in_flight",
        "legs_since_report",
        "paused_until",
        "load_report",
        "reported_at",
        "backoff_until",
        "rate_limiter",
        "warmup_ends_at",
    )

    def __init__(self, now: float) -> None:
        """Start with a slowness of 1 and no failures."""
        self._decayed_slowness = DecayedPeak(now, 1.0)
        self._failure_share = 0.0
        self._failure_share_at = now
        self.in_flight = 0
        self.legs_since_report = 0
        self.consecutive_failures = 0
        self.paused_until = -math.inf
        self.load_report: ReportedLoad | None = None
        self.reported_at = -math.inf
        self.warmup_ends_at = -math.inf
        self.backoff_until = -math.inf
        self.rate_limiter: RateLimiter | None = None

    def slowness(self, now: float) -> float:
        """Return the expected latency of a leg, in multiples of its route's median."""
        slowness = max(MIN_SLOWNESS, self._decayed_slowness.value(now))
        if now < self.warmup_ends_at:
            slowness = max(slowness, WARMUP_SLOWNESS)
        return slowness

    def failure_share(self, now: float) -> float:
        """Return the recent share of failed legs, 0.0 to 1.0."""
        if self._failure_share < NEGLIGIBLE_FAILURE_SHARE:
            return 0.0
        age_s = max(0.0, now - self._failure_share_at)
        return self._failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_paused(self, now: float) -> bool:
        """Return whether legs should go to other replicas, as this one is unreachable.

        After a pause, one leg at a time probes whether the replica is back.
        """
        if now < self.paused_until:
            return True
        return self.consecutive_failures > 0 and self.in_flight > 0

    def backoff_left_s(self, now: float) -> float:
        """Return the remaining backoff that the replica requested, in seconds."""
        return max(0.0, self.backoff_until - now)

    def send_delay_s(self, now: float, is_urgent: bool) -> float:
        """Return for how long the replica accepts no legs, in seconds.

        Args:
            now: Monotonic seconds.
            is_urgent: Whether the leg may use what is reserved for urgent ones.
        """
        delay_s = self.backoff_left_s(now)
        if self.rate_limiter is not None:
            delay_s = max(delay_s, self.rate_limiter.wait_s(now, is_urgent))
        return delay_s

    def set_backoff(self, now: float, backoff_s: float) -> None:
        """Set the backoff that the replica requested, in seconds from now."""
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def record_sent(self) -> None:
        """Count a leg that is sent to the replica."""
        self.in_flight += 1
        self.legs_since_report += 1
        if self.rate_limiter is not None:
            self.rate_limiter.record_sent()

    def record_success(self, now: float, slowness: float, leg_s: float = 0.0) -> bool:
        """Record the slowness of a leg that succeeded.

        Args:
            now: Monotonic seconds.
            slowness: Latency of the leg in multiples of the median of its route.
            leg_s: The same in seconds.

        Returns:
            Whether the replica is back after a pause.
        """
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self._decayed_slowness.add(now, bounded, SLOWNESS_DECAY_LEGS * leg_s)
        is_back = self.consecutive_failures > 0
        self.end_pause()
        self._update_failure_share(now, 0.0)
        return is_back

    def record_pending(self, now: float, slowness: float, leg_s: float = 0.0) -> None:
        """Record the slowness so far of a leg without a reply, as a lower bound."""
        self._decayed_slowness.raise_to(
            now, min(MAX_SLOWNESS, slowness), SLOWNESS_DECAY_LEGS * leg_s
        )

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
        pause_s = min(MAX_PAUSE_S, INITIAL_PAUSE_S * 2.0**self.consecutive_failures)
        self.consecutive_failures = min(self.consecutive_failures + 1, 8)
        self.paused_until = now + pause_s
        return True

    def end_pause(self) -> None:
        """End the pause, and let the next one be short."""
        self.consecutive_failures = 0
        self.paused_until = -math.inf

    def record_load(self, now: float, report: ReportedLoad) -> None:
        """Record the load reported in a reply."""
        self.load_report = report
        self.reported_at = now
        self.legs_since_report = 0

    def outstanding(self, now: float) -> int:
        """Return the expected number of requests that the replica runs or queues.

        A report does not contain the legs that were sent after it: in a burst, several
        searches would otherwise be admitted on the same report.
        """
        if self.load_report is None or now - self.reported_at > LOAD_REPORT_TTL_S:
            return self.in_flight
        # The reply that brought the report ended one of the running requests.
        reported = self.load_report.running + self.load_report.queued - 1
        return max(self.in_flight, reported + self.legs_since_report)

    def queue_rounds(self, now: float, slots: int) -> float:
        """Return the queue ahead of a new request, in multiples of the slots."""
        return max(0, self.outstanding(now) - slots + 1) / slots

    def _update_failure_share(self, now: float, failed: float) -> None:
        share = self.failure_share(now)
        self._failure_share = share + OUTCOME_WEIGHT * (failed - share)
        self._failure_share_at = now
