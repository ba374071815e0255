"""Claim bucket: batches claim operations into conditional writes of one object."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.claims.claims import (
    SEND_LEASE_S,
    ClaimDecision,
    ClaimState,
    decode_bucket,
    encode_bucket,
)

if TYPE_CHECKING:
    from almondspool.coordination.claims.claims import (
        AppliedOps,
        Claim,
        ClaimOp,
        ClaimRules,
    )
    from almondspool.errors import PlatformError
    from almondspool.protocol.platform import PlatformObject

# A bucket with this many queued operations refuses further claims.
MAX_QUEUED_OPS = 1000
# Consecutive failed reads after which claims are refused even if some of them may have
# taken effect; without such claims, the first failed read refuses them.
MAX_FAILED_READS = 3


class ReadBucket(NamedTuple):
    """Read the bucket object from the platform."""

    name: str


class WriteBucket(NamedTuple):
    """Write the bucket object if its version is still the expected one.

    Attributes:
        name: Name of the bucket.
        value: New content, encoded.
        expected_version: Version that was read; 0 if the object did not exist.
    """

    name: str
    value: bytes
    expected_version: int


class ClaimBucket:
    """Turns queued operations into reads and conditional writes of one object.

    The caller makes the platform calls that ``next_step`` returns, one at a time, and
    reports the result of each to ``on_read``, ``on_written`` or ``on_failed``, which
    return decisions. A decision that needs no write is based on a fresh read; one that
    needs a write is returned once the write is known to have taken effect. After a
    write whose reply was lost, the object is read back and searched for the tokens of
    the operations.
    """

    def __init__(self, name: str, rules: ClaimRules) -> None:
        """Initialize an empty queue for one bucket object."""
        self.name = name
        self._rules = rules
        self._op_by_token: dict[str, ClaimOp] = {}
        # None if the object must be read before the next write.
        self._claims_by_request: dict[str, Claim] | None = None
        self._version = 0
        self._pending_write: AppliedOps | None = None
        self._uncertain_tokens: set[str] = set()
        self._remote_tokens: set[str] = set()
        self._lease_start_by_token: dict[str, float] = {}
        self._failed_reads = 0

    def is_full(self) -> bool:
        """Return whether the queue accepts no further claims."""
        return len(self._op_by_token) >= MAX_QUEUED_OPS

    def add(self, op: ClaimOp) -> ClaimDecision | None:
        """Queue an operation; return a refusal of a claim if the queue is full.

        An operation that closes a claim is queued even then.
        """
        if self.is_full() and op.state == ClaimState.CLAIMED:
            detail = f"{MAX_QUEUED_OPS} asks are waiting for claim bucket {self.name}"
            code = ResultCode.NOT_RUN_OVERLOADED
            return ClaimDecision(op.token, code, detail=detail)
        self._op_by_token[op.token] = op
        return None

    def add_remote(self, op: ClaimOp) -> ClaimDecision | None:
        """Queue an operation of another instance; only that instance may close it."""
        refusal = self.add(op)
        if refusal is None:
            self._remote_tokens.add(op.token)
        return refusal

    def add_returned(
        self, op: ClaimOp, forwarded_at: float, may_take_effect: bool
    ) -> ClaimDecision | None:
        """Queue an operation of this instance that the bucket's holder did not decide.

        Args:
            op: The operation.
            forwarded_at: When it was forwarded to the holder, in monotonic seconds.
            may_take_effect: Whether the holder may have written it or may still do so.
        """
        refusal = self.add(op)
        if refusal is not None and may_take_effect:
            self._op_by_token[op.token] = op._replace(state=ClaimState.UNSENT)
        elif refusal is None:
            self._lease_start_by_token[op.token] = forwarded_at
            if may_take_effect:
                self._uncertain_tokens.add(op.token)
        return refusal

    def remove_remote(self, token: str) -> None:
        """Remove an operation whose owner, another instance, has stopped waiting."""
        if token in self._remote_tokens:
            self._remove(token)

    def abandon(self, token: str) -> None:
        """Stop waiting for a claim; if it may have taken effect, close it as unsent."""
        op = self._op_by_token.get(token)
        if op is None or op.state != ClaimState.CLAIMED:
            return
        if token in self._uncertain_tokens or self._is_being_written(token):
            self._op_by_token[token] = op._replace(state=ClaimState.UNSENT)
        else:
            self._remove(token)

    def has_work(self) -> bool:
        """Return whether operations are queued."""
        return bool(self._op_by_token)

    def next_step(self, now: float, now_ms: int) -> ReadBucket | WriteBucket | None:
        """Return the next platform call, or None if no operation is queued.

        Args:
            now: Monotonic seconds.
            now_ms: Milliseconds since the epoch.
        """
        if not self._op_by_token:
            return None
        if self._claims_by_request is None:
            return ReadBucket(self.name)
        applied = self._apply(now_ms)
        if not applied.is_changed:
            return ReadBucket(self.name)
        self._pending_write = applied
        for op in applied.ops:
            self._lease_start_by_token[op.token] = now
        value = encode_bucket(applied.claims_by_request)
        return WriteBucket(self.name, value, self._version)

    def on_read(
        self, now_ms: int, found: PlatformObject | None
    ) -> tuple[ClaimDecision, ...]:
        """Handle a successful read; ``found`` is None if the object does not exist.

        Raises:
            PlatformError: With PLATFORM_REPLY_INVALID.
        """
        self._claims_by_request = decode_bucket(found.value) if found else {}
        self._version = found.version if found else 0
        self._failed_reads = 0
        applied = self._apply(now_ms)
        if applied.is_changed:
            return ()
        return self._resolve(applied)

    def on_written(self, version: int) -> tuple[ClaimDecision, ...]:
        """Handle a successful write, which gave the object a new version."""
        applied = self._pending_write
        self._pending_write = None
        self._claims_by_request = applied.claims_by_request
        self._version = version
        return self._resolve(applied)

    def on_failed(self, error: PlatformError) -> tuple[ClaimDecision, ...]:
        """Handle a failed call; return refusals of the claims that cannot be made.

        Operations stay queued after a call beyond the platform's rate limit, which is
        retried, and after a failed write, whose effect is checked by the next read.
        """
        write, self._pending_write = self._pending_write, None
        if error.code == ResultCode.PLATFORM_RATE_LIMITED:
            return ()
        self._claims_by_request = None
        if write is not None:
            self._record_uncertain(write)
            return ()
        self._failed_reads += 1
        if self._uncertain_tokens and self._failed_reads < MAX_FAILED_READS:
            return ()
        return self._refuse_queued_claims(error)

    def _apply(self, now_ms: int) -> AppliedOps:
        ops = tuple(self._op_by_token.values())
        return self._rules.apply(now_ms, self._claims_by_request, ops)

    def _is_being_written(self, token: str) -> bool:
        if self._pending_write is None:
            return False
        return any(
            decision.token == token for decision in self._pending_write.decisions
        )

    def _record_uncertain(self, write: AppliedOps) -> None:
        # Required after a conflict too: a write that was delivered twice conflicts with
        # itself.
        claimed = [
            decision.token for decision in write.decisions if decision.is_claimed
        ]
        self._uncertain_tokens.update(claimed)

    def _resolve(self, applied: AppliedOps) -> tuple[ClaimDecision, ...]:
        """Dequeue operations whose decisions are final and return the decisions."""
        resolved = []
        for op, decision in zip(applied.ops, applied.decisions, strict=True):
            if self._op_by_token.get(op.token) is not op:
                # The claim was abandoned during the write: the operation that closes it
                # stays queued.
                continue
            if decision.is_claimed:
                # The owner of a remote operation computes the lease itself.
                lease_start = self._lease_start_by_token.get(op.token, 0.0)
                decision = decision._replace(send_before=lease_start + SEND_LEASE_S)
            self._remove(op.token)
            resolved.append(decision)
        return tuple(resolved)

    def _refuse_queued_claims(self, error: PlatformError) -> tuple[ClaimDecision, ...]:
        refused = []
        for token, op in list(self._op_by_token.items()):
            if op.state != ClaimState.CLAIMED:
                continue
            refused.append(
                ClaimDecision(
                    token,
                    ResultCode.NOT_RUN_PLATFORM_DOWN,
                    detail=str(error),
                    may_take_effect=token in self._uncertain_tokens,
                )
            )
            if token in self._remote_tokens:
                self._remove(token)
            else:
                self.abandon(token)
        return tuple(refused)

    def _remove(self, token: str) -> None:
        self._op_by_token.pop(token, None)
        self._lease_start_by_token.pop(token, None)
        self._uncertain_tokens.discard(token)
        self._remote_tokens.discard(token)
