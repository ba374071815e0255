"""Actions that a search session asks its driver to carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.coordination.upstreams.replicas import Candidate
    from almondspool.protocol.caller import SearchAnswer
    from almondspool.protocol.peer import Suspicion
    from almondspool.protocol.upstream import Leg


class SendLeg(NamedTuple):
    """Send a leg by an instance that holds connections to the upstream.

    Attributes:
        upstream_id: The chosen upstream.
        leg: The leg; its deadline leaves time for the way back.
        reason: Why now and why this upstream.
        candidates: What was weighed.
        is_alone: Whether the leg must not share an exchange with other legs.
    """

    upstream_id: str
    leg: Leg
    reason: str
    candidates: tuple[Candidate, ...]
    is_alone: bool = False


class CancelLeg(NamedTuple):
    """Tell the upstream that a leg's result is no longer wanted."""

    upstream_id: str
    leg_id: str
    reason: str


class ShareSuspicion(NamedTuple):
    """Tell all peers that a request cut off an upstream."""

    suspicion: Suspicion
    reason: str


class Finish(NamedTuple):
    """Return the answer; always the last action of a session, and sent once."""

    answer: SearchAnswer
    reason: str


Action = SendLeg | CancelLeg | ShareSuspicion | Finish
