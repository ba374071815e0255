"""Limits on the requests that replicas in need accept from all instances together.

Every instance computes its share of a limit from the live members. The sum over all
instances thus stays within the limit without messages between them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.routing.quota import holder_rank

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.routing.quota import ShareAllocation
    from almondspool.state.routes import Replica

# Share of a limit that is divided among its holders, the instances that use the replica
# regularly. The rest is for the others, which find out with it whether the limit holds.
HOLDERS_SHARE = 0.8
# Smaller limits count as this one, in requests a second: the platform tolerates as
# many, and the end of a smaller limit would be noticed late.
MIN_RATE_LIMIT_PER_S = 0.5
# Tokens that an instance may save: one request, and the reserve for urgent ones. A
# larger rate allows what it earns in MAX_ACCRUAL_S.
MIN_CAPACITY = 1.5
# Tokens that only the most urgent requests may use.
URGENT_RESERVE = 0.5
# Tokens accrue for at most this time between two requests that could use them, in
# seconds: otherwise idle instances would save tokens and use them all at once when
# callers move to them.
MAX_ACCRUAL_S = 1.0
# Longest wait that is reported, in seconds: the other instances have shares of their
# own, and a caller that returns may meet any of them.
MAX_REPORTED_WAIT_S = 1.0


def rate_quota(
    rate_limit: float, instance: str, allocation: ShareAllocation, replica: Replica
) -> float:
    """Return how many requests a second an instance may send to a limited replica.

    The holders of a limit are the instances of the serving set, or all instances if all
    serve, but no more of them than the requests a second: those in the replica's
    availability zone first, and then those with the highest rendezvous weight.

    Args:
        rate_limit: Requests a second that the replica accepts from all instances.
        instance: The instance whose quota is computed.
        allocation: Division of limits among the instances.
        replica: The replica.
    """
    rate_limit = max(MIN_RATE_LIMIT_PER_S, rate_limit)
    instance_count = allocation.instance_count()
    zone_by_instance = allocation.zone_by_instance
    if instance_count > len(zone_by_instance):
        # Not all instances are known, so the holders are not known either.
        return rate_limit * HOLDERS_SHARE / instance_count
    candidates = allocation.serving or zone_by_instance.keys()
    holder_count = max(1, min(len(candidates), int(rate_limit)))
    if (
        instance in candidates
        and holder_rank(instance, candidates, allocation, replica) < holder_count
    ):
        share = HOLDERS_SHARE if holder_count < instance_count else 1.0
        return rate_limit * share / holder_count
    other_count = max(1, instance_count - holder_count)
    return rate_limit * (1.0 - HOLDERS_SHARE) / other_count


class RateLimiter:
    """Token bucket for the requests of this instance to one limited replica.

    It starts empty, so that neither a change of the limit nor one of the members allows
    a burst.

    Attributes:
        rate_limit: Requests a second that the replica accepts from all instances.
        quota: Requests a second that this instance may send.
    """

    __slots__ = ("_accrued_at", "_replica", "_tokens", "quota", "rate_limit")

    def __init__(self, now: float, replica: Replica, rate_limit: float) -> None:
        """Start without tokens and without a quota.

        Args:
            now: Monotonic seconds.
            replica: The replica.
            rate_limit: Requests a second that it accepts from all instances.
        """
        self._replica = replica
        self._tokens = 0.0
        self._accrued_at = now
        self.rate_limit = rate_limit
        self.quota = 0.0

    def update_quota(self, quota: Callable[[Replica, float], float]) -> None:
        """Compute the quota again, after the limit or the members have changed."""
        self.quota = quota(self._replica, self.rate_limit)
        self._tokens = min(self._tokens, self._capacity())

    def wait_s(self, now: float, is_urgent: bool) -> float:
        """Return the time until a request may be sent, in seconds; 0.0 if now."""
        self._accrue(now)
        required = 1.0 if is_urgent else 1.0 + URGENT_RESERVE
        if self._tokens >= required:
            return 0.0
        if not self.quota:
            return MAX_REPORTED_WAIT_S
        return min(MAX_REPORTED_WAIT_S, (required - self._tokens) / self.quota)

    def record_sent(self) -> None:
        """Take the token of a request that is sent, whether or not there was one."""
        self._tokens -= 1.0

    def _accrue(self, now: float) -> None:
        elapsed_s = min(MAX_ACCRUAL_S, max(0.0, now - self._accrued_at))
        self._accrued_at = now
        self._tokens = min(self._capacity(), self._tokens + self.quota * elapsed_s)

    def _capacity(self) -> float:
        return max(MIN_CAPACITY, self.quota * MAX_ACCRUAL_S)
