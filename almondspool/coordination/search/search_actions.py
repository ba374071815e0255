"""Actions that a search session returns to its driver."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.coordination.upstreams.replicas import Candidate
    from almondspool.protocol.caller import SearchAnswer
    from almondspool.protocol.peer import Suspicion
    from almondspool.protocol.upstream import Leg


class SendLeg(NamedTuple):
    """Send a leg through an instance that holds connections to the upstream.

    Attributes:
        upstream_id: The chosen upstream.
        leg: The leg; its deadline leaves time for the result to return.
        reason: Why the leg is sent now and why to this upstream.
        candidates: The upstreams that were scored.
        is_exclusive: Whether the leg must not share an exchange with other legs.
    """

    upstream_id: str
    leg: Leg
    reason: str
    candidates: tuple[Candidate, ...]
    is_exclusive: bool = False


class CancelLeg(NamedTuple):
    """Cancel a leg whose result is no longer needed.

    Attributes:
        upstream_id: The upstream to which the leg was sent.
        leg_id: The leg.
        reason: Why its result is no longer needed.
    """

    upstream_id: str
    leg_id: str
    reason: str


class BroadcastSuspicion(NamedTuple):
    """Report a request that may crash upstreams to all peers."""

    suspicion: Suspicion
    reason: str


class Finish(NamedTuple):
    """Return the answer; always the last action of a session, emitted once."""

    answer: SearchAnswer
    reason: str


Action = SendLeg | CancelLeg | BroadcastSuspicion | Finish
