"""Which holder an ask travels to, and which asks wait for one or for another's."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.claims.claims import BUCKET_NAMES
from almondspool.coordination.membership.rendezvous import highest_ranked
from almondspool.protocol.peer import MAX_DETAIL_CHARS, ClaimReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.claims.claims import ClaimDecision
    from almondspool.protocol.claims import ClaimOp
    from almondspool.state.members import View

# Longest time that an ask waits for its holder, and at the holder for its write.
FORWARD_TIMEOUT_S = 0.5
# Share of a claim's whole time that may be spent waiting for the holder.
FORWARD_TIMEOUT_SHARE = 0.5
# How long a holder that did not decide an ask is not asked again.
AVOID_S = 1.0


class RoutedAsk(NamedTuple):
    """An ask that waits for the reply of a bucket's holder.

    Attributes:
        op: The ask.
        holder: The instance that was asked.
        asked_at: When, in monotonic seconds.
    """

    op: ClaimOp
    holder: str
    asked_at: float


class ClaimForwarder:
    """Decides who writes an ask, and keeps the asks that wait for a holder.

    Safety does not rest on it: whoever writes, the object's version decides.
    """

    def __init__(self, instance: str, holder_of: Callable[[str], str]) -> None:
        """Route an instance's asks.

        Args:
            instance: The own instance.
            holder_of: Returns the instance that holds a bucket, empty for none.
        """
        self._instance = instance
        self._holder_of = holder_of
        self._routed_by_token: dict[str, RoutedAsk] = {}
        self._avoid_until_by_holder: dict[str, float] = {}

    def holder_to_ask(self, now: float, bucket: str) -> str:
        """Return the instance to ask; empty if this one writes the bucket itself."""
        holder = self._holder_of(bucket)
        if holder == self._instance:
            return ""
        if now < self._avoid_until_by_holder.get(holder, now):
            return ""
        return holder

    def is_holder(self, bucket: str) -> bool:
        """Return whether this instance writes a bucket for all others."""
        return self._holder_of(bucket) == self._instance

    def add(self, now: float, op: ClaimOp, holder: str) -> None:
        """Note that an ask went to a holder."""
        self._routed_by_token[op.token] = RoutedAsk(op, holder, now)

    def take(self, op: ClaimOp) -> RoutedAsk | None:
        """Return an ask that still waits, which it then no longer does."""
        routed = self._routed_by_token.get(op.token)
        if routed is None or routed.op is not op:
            return None
        return self._routed_by_token.pop(op.token)

    def take_replied(self, sender: str, reply: ClaimReply) -> RoutedAsk | None:
        """Return the ask that a reply decides; None for a late or foreign reply."""
        routed = self._routed_by_token.get(reply.token)
        if routed is None or routed.holder != sender:
            return None
        if routed.op.state != reply.state:
            return None
        return self._routed_by_token.pop(reply.token)

    def waiting_for(self, holder: str) -> tuple[RoutedAsk, ...]:
        """Return the asks that wait for a holder."""
        routed = self._routed_by_token.values()
        return tuple(each for each in routed if each.holder == holder)

    def avoid(self, now: float, holder: str) -> None:
        """Ask a holder nothing for a while."""
        self._avoid_until_by_holder[holder] = now + AVOID_S

    def is_idle(self) -> bool:
        """Return whether no ask waits for a holder."""
        return not self._routed_by_token


class RemoteAsk(NamedTuple):
    """An ask of another instance that waits here to be written.

    Attributes:
        op: The ask.
        bucket: Its bucket.
        reply: Sends a message back to the asker.
        expires_at: When the asker has given up, in monotonic seconds.
    """

    op: ClaimOp
    bucket: str
    reply: Callable[[NamedTuple], object]
    expires_at: float


class RemoteAsks:
    """The asks of other instances that wait at the holder of their buckets."""

    def __init__(self) -> None:
        """Start without asks."""
        self._remote_by_token: dict[str, RemoteAsk] = {}

    def add(
        self,
        now: float,
        op: ClaimOp,
        bucket: str,
        reply: Callable[[NamedTuple], object],
    ) -> None:
        """Keep an operation until it is decided, at most for FORWARD_TIMEOUT_S."""
        self._remote_by_token.pop(op.token, None)
        self._remote_by_token[op.token] = RemoteAsk(
            op, bucket, reply, now + FORWARD_TIMEOUT_S
        )

    def answer(self, decision: ClaimDecision) -> bool:
        """Send a decision to its asker; False if it is not of another instance."""
        remote = self._remote_by_token.pop(decision.token, None)
        if remote is None:
            return False
        remote.reply(make_reply(remote.op, decision))
        return True

    def pop_expired(self, now: float) -> tuple[RemoteAsk, ...]:
        """Return the asks whose askers no longer wait, oldest first."""
        expired = []
        for remote in self._remote_by_token.values():
            if remote.expires_at > now:
                break
            expired.append(remote)
        for remote in expired:
            del self._remote_by_token[remote.op.token]
        return tuple(expired)


def make_reply(op: ClaimOp, decision: ClaimDecision) -> ClaimReply:
    """Return the message that tells an asker its decision."""
    return ClaimReply(
        op.token,
        op.state,
        decision.code,
        decision.is_claimed,
        decision.answer,
        decision.detail[:MAX_DETAIL_CHARS],
        decision.may_take_effect,
    )


def not_holder_reply(op: ClaimOp, detail: str) -> ClaimReply:
    """Return the message that sends an asker back to write itself."""
    return ClaimReply(op.token, op.state, ResultCode.PEER_NOT_HOLDER, detail=detail)


def is_undecided(reply: ClaimReply) -> bool:
    """Return whether the asker must write itself after a reply."""
    return reply.code in (ResultCode.PEER_NOT_HOLDER, ResultCode.NOT_RUN_PLATFORM_DOWN)


class ClaimHolders:
    """Who holds each claim bucket, ranked anew when the serving members change."""

    def __init__(self, view: Callable[[], View]) -> None:
        """Rank the members of a view.

        Args:
            view: Returns the present membership; the same object while unchanged.
        """
        self._view = view
        self._ranked_view: View | None = None
        self._names: tuple[str, ...] = ()
        self._holder_by_bucket: dict[str, str] = {}

    def holder_of(self, bucket: str) -> str:
        """Return the instance that writes a bucket for all; empty for none."""
        self._refresh()
        return self._holder_by_bucket.get(bucket, "")

    def _refresh(self) -> None:
        view = self._view()
        if view is self._ranked_view:
            return
        self._ranked_view = view
        names = tuple(member.instance for member in view.serving())
        if names == self._names:
            return
        self._names = names
        self._holder_by_bucket = {
            bucket: highest_ranked(f"claims/{bucket}", names) for bucket in BUCKET_NAMES
        }
