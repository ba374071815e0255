"""Forwarding of claim operations between instances and bucket holders."""

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

# Maximum wait of an operation for its holder, and at the holder for its write.
FORWARD_TIMEOUT_S = 0.5
# Share of a claim's total timeout that may be spent waiting for the holder.
FORWARD_TIMEOUT_SHARE = 0.5
# How long no operations are forwarded to a holder that left one undecided.
HOLDER_AVOIDANCE_S = 1.0


class ForwardedOp(NamedTuple):
    """An operation that awaits the reply of its bucket's holder.

    Attributes:
        op: The operation.
        holder: Instance that it was forwarded to.
        forwarded_at: Time of forwarding, in monotonic seconds.
    """

    op: ClaimOp
    holder: str
    forwarded_at: float


class ClaimForwarder:
    """Selects the writer of each operation and tracks the forwarded ones.

    A wrong selection is safe: every write is conditional on the object's version,
    whichever instance makes it.
    """

    def __init__(self, instance: str, holder_of: Callable[[str], str]) -> None:
        """Initialize without operations.

        Args:
            instance: Name of this instance.
            holder_of: Returns the instance that holds a bucket, or an empty string if
                none does.
        """
        self._instance = instance
        self._holder_of = holder_of
        self._forwarded_by_token: dict[str, ForwardedOp] = {}
        self._avoid_until_by_holder: dict[str, float] = {}

    def holder_to_forward_to(self, now: float, bucket: str) -> str:
        """Return the instance to forward an operation to.

        Empty if this instance should write the bucket: it is the holder, there is no
        holder, or the holder is being avoided.
        """
        holder = self._holder_of(bucket)
        if holder == self._instance:
            return ""
        if now < self._avoid_until_by_holder.get(holder, now):
            return ""
        return holder

    def is_holder(self, bucket: str) -> bool:
        """Return whether this instance writes a bucket on behalf of all others."""
        return self._holder_of(bucket) == self._instance

    def add(self, now: float, op: ClaimOp, holder: str) -> None:
        """Record that an operation was forwarded to a holder."""
        self._forwarded_by_token[op.token] = ForwardedOp(op, holder, now)

    def pop(self, op: ClaimOp) -> ForwardedOp | None:
        """Remove and return an operation that still awaits its reply."""
        forwarded = self._forwarded_by_token.get(op.token)
        if forwarded is None or forwarded.op is not op:
            return None
        return self._forwarded_by_token.pop(op.token)

    def pop_replied(self, sender: str, reply: ClaimReply) -> ForwardedOp | None:
        """Remove and return the operation of a reply; None if it is not awaited."""
        forwarded = self._forwarded_by_token.get(reply.token)
        if forwarded is None or forwarded.holder != sender:
            return None
        if forwarded.op.state != reply.state:
            return None
        return self._forwarded_by_token.pop(reply.token)

    def forwarded_to(self, holder: str) -> tuple[ForwardedOp, ...]:
        """Return the operations that await the reply of a holder."""
        forwarded = self._forwarded_by_token.values()
        return tuple(op for op in forwarded if op.holder == holder)

    def avoid(self, now: float, holder: str) -> None:
        """Stop forwarding to a holder for HOLDER_AVOIDANCE_S."""
        self._avoid_until_by_holder[holder] = now + HOLDER_AVOIDANCE_S

    def is_idle(self) -> bool:
        """Return whether no operation awaits a reply."""
        return not self._forwarded_by_token


class RemoteOp(NamedTuple):
    """An operation of another instance that is queued here to be written.

    Attributes:
        op: The operation.
        bucket: Name of its bucket.
        reply: Sends a message back to the operation's owner.
        expires_at: When its owner stops waiting, in monotonic seconds.
    """

    op: ClaimOp
    bucket: str
    reply: Callable[[NamedTuple], object]
    expires_at: float


class RemoteOps:
    """Operations of other instances that are queued here, at the buckets' holder."""

    def __init__(self) -> None:
        """Initialize without operations."""
        self._remote_by_token: dict[str, RemoteOp] = {}

    def add(
        self,
        now: float,
        op: ClaimOp,
        bucket: str,
        reply: Callable[[NamedTuple], object],
    ) -> None:
        """Keep an operation until it is decided, at most for FORWARD_TIMEOUT_S."""
        self._remote_by_token.pop(op.token, None)
        self._remote_by_token[op.token] = RemoteOp(
            op, bucket, reply, now + FORWARD_TIMEOUT_S
        )

    def send_decision(self, decision: ClaimDecision) -> bool:
        """Send a decision to the operation's owner; False if it is not remote."""
        remote = self._remote_by_token.pop(decision.token, None)
        if remote is None:
            return False
        remote.reply(make_reply(remote.op, decision))
        return True

    def pop_expired(self, now: float) -> tuple[RemoteOp, ...]:
        """Remove and return the operations that expired, oldest first."""
        expired = []
        for remote in self._remote_by_token.values():
            if remote.expires_at > now:
                break
            expired.append(remote)
        for remote in expired:
            del self._remote_by_token[remote.op.token]
        return tuple(expired)


def make_reply(op: ClaimOp, decision: ClaimDecision) -> ClaimReply:
    """Return the message that carries a decision to the owner."""
    return ClaimReply(
        op.token,
        op.state,
        decision.code,
        decision.is_claimed,
        decision.answer,
        decision.detail[:MAX_DETAIL_CHARS],
        decision.may_take_effect,
    )


def make_not_holder_reply(op: ClaimOp, detail: str) -> ClaimReply:
    """Return the message upon which the owner writes the operation itself."""
    return ClaimReply(op.token, op.state, ResultCode.PEER_NOT_HOLDER, detail=detail)


def is_undecided(reply: ClaimReply) -> bool:
    """Return whether the owner must write the operation itself after a reply."""
    return reply.code in (ResultCode.PEER_NOT_HOLDER, ResultCode.NOT_RUN_PLATFORM_DOWN)


class ClaimHolders:
    """Holder of each claim bucket, updated when the serving members change."""

    def __init__(self, view: Callable[[], View]) -> None:
        """Initialize without holders.

        Args:
            view: Returns the current membership; the same object while unchanged.
        """
        self._view = view
        self._view_of_holders: View | None = None
        self._serving_instances: tuple[str, ...] = ()
        self._holder_by_bucket: dict[str, str] = {}

    def holder_of(self, bucket: str) -> str:
        """Return the instance that holds a bucket; empty if no member is serving."""
        self._refresh()
        return self._holder_by_bucket.get(bucket, "")

    def _refresh(self) -> None:
        view = self._view()
        if view is self._view_of_holders:
            return
        self._view_of_holders = view
        serving_instances = tuple(member.instance for member in view.serving())
        if serving_instances == self._serving_instances:
            return
        self._serving_instances = serving_instances
        self._holder_by_bucket = {
            bucket: highest_ranked(f"claims/{bucket}", serving_instances)
            for bucket in BUCKET_NAMES
        }
