"""Which replicas one shard of a search was sent to, and which may be next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.exchange import LegOutcome
from almondspool.routing.legs import OpenLeg

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.protocol.exchange import LegReply
    from almondspool.state.routes import Replica

# How often the replicas of a shard may reject a search before the shard is missing.
MAX_REJECTIONS = 4
# A replica that rejected a search is asked again after this time for each
# rejection so far: about as long as a short leg holds a slot.
REJECTION_PAUSE_S = 0.010


class ShardSends:
    """The sends of one shard.

    At most so many replicas as the route allows get the search. One that rejected
    it did not run it and may be asked again; one that may have run it is not.

    Attributes:
        service: The shard's service.
        open: Legs that have not ended.
        part: The shard's result, or None.
        is_settled: Whether the shard is in the answer or given up.
        failure: Why it has no part yet, for the log.
        rejections: How often it was rejected.
    """

    __slots__ = (
        "_excluded",
        "_sent",
        "failure",
        "is_settled",
        "open",
        "part",
        "rejections",
        "service",
    )

    def __init__(self, service: str) -> None:
        """Start without sends."""
        self.service = service
        self._sent: set[str] = set()
        self._excluded: set[str] = set()
        self.open: list[OpenLeg] = []
        self.part: LegReply | None = None
        self.is_settled = False
        self.failure = ""
        self.rejections = 0

    def candidates(
        self, usable: Iterable[Replica], attempts: int
    ) -> tuple[Replica, ...]:
        """Return the replicas that may be sent to next.

        Args:
            usable: Replicas that may take new work.
            attempts: How many of them may get the search.
        """
        if not self._sent and not self._excluded:
            return tuple(usable)
        is_full = len(self._sent) >= attempts
        return tuple(
            replica
            for replica in usable
            if replica.replica_id not in self._excluded
            and (not is_full or replica.replica_id in self._sent)
        )

    def begin(
        self, replica: Replica, now: float, reason: str, queued_turns: float
    ) -> OpenLeg:
        """Note a send behind so many turns of the replica."""
        leg = OpenLeg(replica, now, reason, queued_turns)
        self._sent.add(replica.replica_id)
        self._excluded.add(replica.replica_id)
        self.open.append(leg)
        return leg

    def end(self, leg: OpenLeg, outcome: LegOutcome) -> None:
        """Note the end of a send."""
        if leg in self.open:
            self.open.remove(leg)
        replica_id = leg.replica.replica_id
        if outcome is LegOutcome.NOT_RUN:
            self.rejections += 1
            self._excluded.discard(replica_id)
        elif outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            # It got nothing to run; still excluded, as it would be so again.
            self._sent.discard(replica_id)

    def pause_s(self) -> float:
        """Return how long to wait before the next send, in seconds."""
        return REJECTION_PAUSE_S * max(0, self.rejections - 1)
