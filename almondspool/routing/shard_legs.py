"""State of one shard of a search: its legs, its result and the replicas left to try."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.exchange import LegOutcome
from almondspool.routing.legs import OpenLeg

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.protocol.exchange import LegReply
    from almondspool.state.routes import Replica

# A shard counts as missing after this many rejections by its replicas.
MAX_SHARD_REJECTIONS = 4
# The delay before a resend increases by this time with each rejection after the first:
# about as long as a short leg occupies a slot of the replica.
REJECTION_RETRY_DELAY_S = 0.010


class ShardLegs:
    """The legs of one shard of a search.

    The search is sent to at most as many replicas of the shard as the route allows. A
    replica that rejected the search did not run it and may receive it again; a replica
    that may have run it does not.

    Attributes:
        service: The name of the shard's service.
        open_legs: Legs that have not ended.
        result: The shard's partial result, or None.
        is_settled: Whether the shard has a partial result or counts as missing. No
            more legs are sent then.
        failure_reason: Why there is no partial result yet, for the log; empty if no
            leg has failed.
        rejection_count: Number of rejections by replicas of the shard.
    """

    __slots__ = (
        "_excluded_ids",
        "_sent_ids",
        "failure_reason",
        "is_settled",
        "open_legs",
        "result",
        "rejection_count",
        "service",
    )

    def __init__(self, service: str) -> None:
        """Start without legs."""
        self.service = service
        self._sent_ids: set[str] = set()
        self._excluded_ids: set[str] = set()
        self.open_legs: list[OpenLeg] = []
        self.result: LegReply | None = None
        self.is_settled = False
        self.failure_reason = ""
        self.rejection_count = 0

    def candidates(
        self, usable: Iterable[Replica], attempts: int
    ) -> tuple[Replica, ...]:
        """Return the replicas to which the next leg may be sent.

        Args:
            usable: Replicas of the shard that accept new requests.
            attempts: Limit on the replicas of the shard that receive the search.
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
        """Add and return a leg that is about to be sent to a replica."""
        leg = OpenLeg(replica, now, reason, queue_rounds)
        self._sent_ids.add(replica.replica_id)
        self._excluded_ids.add(replica.replica_id)
        self.open_legs.append(leg)
        return leg

    def end_leg(self, leg: OpenLeg, outcome: LegOutcome) -> None:
        """Remove a leg that has ended; its outcome decides which replicas are left."""
        if leg in self.open_legs:
            self.open_legs.remove(leg)
        replica_id = leg.replica.replica_id
        if outcome is LegOutcome.NOT_RUN:
            self.rejection_count += 1
            self._excluded_ids.discard(replica_id)
        elif outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            # The replica did not run the search, so it does not count as an attempt. It
            # stays excluded, as a resend would fail as well.
            self._sent_ids.discard(replica_id)

    def retry_delay_s(self) -> float:
        """Return the delay before the next leg after a rejection, in seconds."""
        return REJECTION_RETRY_DELAY_S * max(0, self.rejection_count - 1)
