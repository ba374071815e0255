"""State of the sends of one shard of a search, and its remaining candidates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.exchange import LegOutcome
from almondspool.routing.legs import OpenLeg

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.protocol.exchange import LegReply
    from almondspool.state.routes import Replica

# Rejections by the replicas of a shard after which the shard counts as missing.
MAX_REJECTIONS = 4
# The delay before a resend grows by this time with each rejection after the first:
# about as long as a short leg holds a slot.
REJECTION_RETRY_DELAY_S = 0.010


class ShardSends:
    """The sends of one shard.

    The search is sent to at most as many replicas as the route allows. A replica that
    rejected it did not run it and may be sent to again; one that may have run it is
    not sent to again.

    Attributes:
        service: The shard's service.
        open: Legs that have not ended.
        result: The shard's partial result, or None.
        is_settled: Whether the shard has answered or was given up.
        failure: Why there is no partial result yet, for the log.
        rejections: Number of rejections by replicas of the shard.
    """

    __slots__ = (
        "_excluded_ids",
        "_sent_ids",
        "failure",
        "is_settled",
        "open",
        "result",
        "rejections",
        "service",
    )

    def __init__(self, service: str) -> None:
        """Start without sends."""
        self.service = service
        self._sent_ids: set[str] = set()
        self._excluded_ids: set[str] = set()
        self.open: list[OpenLeg] = []
        self.result: LegReply | None = None
        self.is_settled = False
        self.failure = ""
        self.rejections = 0

    def candidates(
        self, usable: Iterable[Replica], attempts: int
    ) -> tuple[Replica, ...]:
        """Return the replicas that may be sent to next.

        Args:
            usable: Replicas that may take new work.
            attempts: How many replicas the search may be sent to.
        """
        if not self._sent_ids and not self._excluded_ids:
            return tuple(usable)
        is_attempt_limit_reached = len(self._sent_ids) >= attempts
        return tuple(
            replica
            for replica in usable
            if replica.replica_id not in self._excluded_ids
            and (not is_attempt_limit_reached or replica.replica_id in self._sent_ids)
        )

    def add_leg(
        self, replica: Replica, now: float, reason: str, queue_rounds: float
    ) -> OpenLeg:
        """Add a leg that is about to be sent to a replica, and return it."""
        leg = OpenLeg(replica, now, reason, queue_rounds)
        self._sent_ids.add(replica.replica_id)
        self._excluded_ids.add(replica.replica_id)
        self.open.append(leg)
        return leg

    def end_leg(self, leg: OpenLeg, outcome: LegOutcome) -> None:
        """Record the end of a leg."""
        if leg in self.open:
            self.open.remove(leg)
        replica_id = leg.replica.replica_id
        if outcome is LegOutcome.NOT_RUN:
            self.rejections += 1
            self._excluded_ids.discard(replica_id)
        elif outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            # Nothing ran there. It stays excluded, as a resend would fail as well.
            self._sent_ids.discard(replica_id)

    def retry_delay_s(self) -> float:
        """Return how long to wait before the next send, in seconds."""
        return REJECTION_RETRY_DELAY_S * max(0, self.rejections - 1)
