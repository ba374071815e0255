"""One claim bucket: batches asks into conditional updates of one object."""

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
        Applied,
        Claim,
        ClaimOp,
        ClaimRules,
    )
    from almondspool.errors import PlatformError
    from almondspool.protocol.platform import PlatformObject

MAX_OPS = 1000
MAX_FAILED_READS = 3


class ReadBucket(NamedTuple):
    """Read the bucket object."""

    name: str


class WriteBucket(NamedTuple):
    """Write the bucket object if its version is still the expected one."""

    name: str
    value: bytes
    expected_version: int


class ClaimBucket:
    """Turns queued asks into reads and conditional writes of one object.

    The caller carries out ``next_step`` one at a time and reports its result by
    ``on_read``, ``on_written`` or ``on_failed``, which return decisions. A decision
    that needs no write rests on a fresh read; one that needs a write is returned
    once the write is known to have taken effect. After a write whose reply was
    lost, the object is read back and searched for the asks' own tokens.
    """

    def __init__(self, name: str, rules: ClaimRules) -> None:
        """Hold the asks of one bucket object."""
        self.name = name
        self._rules = rules
        self._op_by_token: dict[str, ClaimOp] = {}
        self._content: dict[str, Claim] | None = None
        self._version = 0
        self._attempt: Applied | None = None
        self._doubtful_tokens: set[str] = set()
        self._remote_tokens: set[str] = set()
        self._lease_from_by_token: dict[str, float] = {}
        self._failed_reads = 0

    def is_full(self) -> bool:
        """Return whether no further claim is queued."""
        return len(self._op_by_token) >= MAX_OPS

    def add(self, op: ClaimOp) -> ClaimDecision | None:
        """Queue an ask; return a refusal if the queue is full."""
        if self.is_full() and op.state == ClaimState.CLAIMED:
            detail = f"{MAX_OPS} asks are waiting for claim bucket {self.name}"
            code = ResultCode.NOT_RUN_OVERLOADED
            return ClaimDecision(op.token, code, detail=detail)
        self._op_by_token[op.token] = op
        return None

    def add_remote(self, op: ClaimOp) -> ClaimDecision | None:
        """Queue an ask of another instance, which alone may close it."""
        refusal = self.add(op)
        if refusal is None:
            self._remote_tokens.add(op.token)
        return refusal

    def add_rerouted(
        self, op: ClaimOp, asked_at: float, is_doubtful: bool
    ) -> ClaimDecision | None:
        """Queue an own ask that another instance did not decide.

        Args:
            op: The ask.
            asked_at: When the other was asked, in monotonic seconds.
            is_doubtful: Whether the other may have written it, or may yet.
        """
        refusal = self.add(op)
        if refusal is not None and is_doubtful:
            self._op_by_token[op.token] = op._replace(state=ClaimState.UNSENT)
        elif refusal is None:
            self._lease_from_by_token[op.token] = asked_at
            if is_doubtful:
                self._doubtful_tokens.add(op.token)
        return refusal

    def withdraw(self, token: str) -> None:
        """Drop an ask of another instance that no longer waits here."""
        if token in self._remote_tokens:
            self._remove(token)

    def abandon(self, token: str) -> None:
        """Give up waiting for a claim; if it took effect it is closed as unsent."""
        op = self._op_by_token.get(token)
        if op is None or op.state != ClaimState.CLAIMED:
            return
        if token in self._doubtful_tokens or self._is_attempted(token):
            self._op_by_token[token] = op._replace(state=ClaimState.UNSENT)
        else:
            self._remove(token)

    def has_work(self) -> bool:
        """Return whether asks are queued."""
        return bool(self._op_by_token)

    def next_step(self, now: float, now_ms: int) -> ReadBucket | WriteBucket | None:
        """Return the next call to the platform.

        Args:
            now: Monotonic seconds.
            now_ms: Milliseconds since the epoch.
        """
        if not self._op_by_token:
            return None
        if self._content is None:
            return ReadBucket(self.name)
        applied = self._apply(now_ms)
        if not applied.is_changed:
            return ReadBucket(self.name)
        self._attempt = applied
        for op in applied.ops:
            self._lease_from_by_token[op.token] = now
        value = encode_bucket(applied.claims_by_request)
        return WriteBucket(self.name, value, self._version)

    def on_read(
        self, now_ms: int, found: PlatformObject | None
    ) -> tuple[ClaimDecision, ...]:
        """Take the object as read, or None if there is none.

        Raises:
            PlatformError: With PLATFORM_REPLY_INVALID.
        """
        self._content = decode_bucket(found.value) if found else {}
        self._version = found.version if found else 0
        self._failed_reads = 0
        applied = self._apply(now_ms)
        if applied.is_changed:
            return ()
        return self._settle(applied)

    def on_written(self, version: int) -> tuple[ClaimDecision, ...]:
        """Take the version of a write that took effect."""
        applied = self._attempt
        self._attempt = None
        self._content = applied.claims_by_request
        self._version = version
        return self._settle(applied)

    def on_failed(self, error: PlatformError) -> tuple[ClaimDecision, ...]:
        """Take the failure of a call; claims that can't be made are refused.

        A call over the platform's rate is only put off: the asks stay queued.
        """
        attempt, self._attempt = self._attempt, None
        if error.code == ResultCode.PLATFORM_RATE_LIMITED:
            return ()
        self._content = None
        if attempt is not None:
            self._note_doubt(attempt)
            return ()
        self._failed_reads += 1
        if self._doubtful_tokens and self._failed_reads < MAX_FAILED_READS:
            return ()
        return self._refuse_claims(error)

    def _apply(self, now_ms: int) -> Applied:
        ops = tuple(self._op_by_token.values())
        return self._rules.apply(now_ms, self._content, ops)

    def _is_attempted(self, token: str) -> bool:
        if self._attempt is None:
            return False
        return any(decision.token == token for decision in self._attempt.decisions)

    def _note_doubt(self, attempt: Applied) -> None:
        # Also after a conflict: the call may have been repeated on its way.
        claimed = [each.token for each in attempt.decisions if each.is_claimed]
        self._doubtful_tokens.update(claimed)

    def _settle(self, applied: Applied) -> tuple[ClaimDecision, ...]:
        settled = []
        for op, decision in zip(applied.ops, applied.decisions, strict=True):
            if self._op_by_token.get(op.token) is not op:
                # Closed while it was written: what replaced it stays queued.
                continue
            if decision.is_claimed:
                # Another instance's ask has no lease here: its asker counts its own.
                lease_from = self._lease_from_by_token.get(op.token, 0.0)
                decision = decision._replace(send_before=lease_from + SEND_LEASE_S)
            self._remove(op.token)
            settled.append(decision)
        return tuple(settled)

    def _refuse_claims(self, error: PlatformError) -> tuple[ClaimDecision, ...]:
        refused = []
        for token, op in list(self._op_by_token.items()):
            if op.state != ClaimState.CLAIMED:
                continue
            refused.append(
                ClaimDecision(
                    token,
                    ResultCode.NOT_RUN_PLATFORM_DOWN,
                    detail=str(error),
                    is_doubtful=token in self._doubtful_tokens,
                )
            )
            if token in self._remote_tokens:
                self._remove(token)
            else:
                self.abandon(token)
        return tuple(refused)

    def _remove(self, token: str) -> None:
        self._op_by_token.pop(token, None)
        self._lease_from_by_token.pop(token, None)
        self._doubtful_tokens.discard(token)
        self._remote_tokens.discard(token)
