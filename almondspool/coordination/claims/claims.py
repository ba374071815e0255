"""Rules for claims of non-idempotent requests; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.protocol.caller import SearchAnswer
from almondspool.protocol.claims import MAX_RECORDED_ANSWER_BYTES, ClaimOp, ClaimState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from almondspool.protocol.caller import SearchRequest

CLAIM_KIND = "claims"
BUCKET_COUNT = 64
BUCKET_NAMES = tuple(f"bucket-{number:02d}" for number in range(BUCKET_COUNT))
# A bucket of at least this encoded size accepts no further claims and answers.
MAX_BUCKET_BYTES = 900_000
# Maximum clock skew between two instances that the rules tolerate.
MAX_CLOCK_SKEW_MS = 30_000
# Time in which the owner of a claim may send the request, from before the claim is
# written or forwarded.
SEND_LEASE_S = 2.0


class Claim(NamedTuple):
    """Claim of one request, as stored in its bucket.

    Attributes:
        owner: Instance that may send the request.
        incarnation: Incarnation of the owner at the time of the claim.
        token: Token of the operation that made the claim.
        state: Last recorded state of the request.
        fingerprint: Digest of the request's content.
        answer: Recorded answer, or empty.
        expires_ms: Time after which the claim may be dropped, in ms since the epoch.
    """

    owner: str
    incarnation: int
    token: str
    state: ClaimState
    fingerprint: str
    answer: bytes
    expires_ms: int


class ClaimDecision(NamedTuple):
    """Decision on an operation, for the instance that requested it.

    Attributes:
        token: Token of the operation.
        code: OK to send or to return the recorded answer, else the code to return.
        is_claimed: Whether the requesting instance now owns the claim and may send.
        answer: Recorded answer of an earlier run, or empty.
        send_before: End of the owner's lease to send, in monotonic seconds.
        detail: Human-readable reason, one line.
        retry_after_s: Delay before a retry, in seconds; 0 if unknown.
        may_take_effect: Whether a write of the refused operation may still take effect.
    """

    token: str
    code: ResultCode
    is_claimed: bool = False
    answer: bytes = b""
    send_before: float = 0.0
    detail: str = ""
    retry_after_s: float = 0.0
    may_take_effect: bool = False

    def may_send(self, now: float) -> bool:
        """Return whether the owner may send at a time in monotonic seconds."""
        return self.is_claimed and now < self.send_before


class AppliedOps(NamedTuple):
    """Result of applying operations to a bucket's content.

    Attributes:
        claims_by_request: New content.
        ops: Applied operations.
        decisions: One decision per operation, in order.
        is_changed: Whether the content differs and must be written.
    """

    claims_by_request: dict[str, Claim]
    ops: tuple[ClaimOp, ...]
    decisions: tuple[ClaimDecision, ...]
    is_changed: bool


def bucket_name(request_id: str) -> str:
    """Return the name of the bucket object that holds a request's claim."""
    return BUCKET_NAMES[xxhash.xxh3_64_intdigest(request_id.encode()) % BUCKET_COUNT]


def claim_fingerprint(request: SearchRequest) -> str:
    """Return a digest of the request fields that a retry must repeat unchanged."""
    content = (
        request.team,
        request.shard,
        sorted(request.query.items()),
        request.issued_at_ms,
    )
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(content))


def encode_bucket(claims_by_request: Mapping[str, Claim]) -> bytes:
    """Return the stored form of a bucket's content."""
    return msgspec.msgpack.encode(claims_by_request)


_BUCKET_DECODER = msgspec.msgpack.Decoder(dict[str, Claim])


def decode_bucket(value: bytes) -> dict[str, Claim]:
    """Decode a bucket's content.

    Raises:
        PlatformError: With PLATFORM_REPLY_INVALID.
    """
    try:
        return _BUCKET_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(
            f"claim bucket of {len(value)} bytes cannot be decoded: {error}",
            ResultCode.PLATFORM_REPLY_INVALID,
        ) from error


def encode_answer(answer: SearchAnswer) -> bytes:
    """Encode an answer for its claim; empty if it exceeds MAX_RECORDED_ANSWER_BYTES."""
    packed = msgspec.msgpack.encode(answer)
    return packed if len(packed) <= MAX_RECORDED_ANSWER_BYTES else b""


_ANSWER_DECODER = msgspec.msgpack.Decoder(SearchAnswer)


def decode_answer(packed: bytes) -> SearchAnswer:
    """Decode a recorded answer.

    Raises:
        msgspec.MsgspecError: If the bytes are not an answer.
    """
    return _ANSWER_DECODER.decode(packed)


def closing_state(code: ResultCode) -> ClaimState:
    """Return the state in which an owner closes its claim for a result code."""
    if code in (ResultCode.OK, ResultCode.FAILED):
        return ClaimState.DONE
    # Rejected requests have codes from 100, those that were not run codes from 200.
    is_refusal = 100 <= code < 300
    return ClaimState.UNSENT if is_refusal else ClaimState.UNKNOWN


def check_issue_time(
    now_ms: int, issued_at_ms: int, retention_ms: int
) -> tuple[ResultCode, str]:
    """Return OK, or the reason why a request of this age cannot be claimed.

    By the time a claim is dropped, every instance refuses its request as stale,
    provided that clocks differ by at most MAX_CLOCK_SKEW_MS.
    """
    age_ms = now_ms - issued_at_ms
    if age_ms > retention_ms:
        detail = f"issued {age_ms} ms ago, claims are kept {retention_ms} ms"
        return ResultCode.REQUEST_STALE, detail
    if age_ms < -MAX_CLOCK_SKEW_MS:
        return ResultCode.FIELD_INVALID, f"issued_at_ms is {-age_ms} ms in the future"
    return ResultCode.OK, ""


def expiry_ms(now_ms: int, issued_at_ms: int, retention_ms: int) -> int:
    """Return the expiry time of a claim, in ms since the epoch.

    It is late enough for every instance to refuse the request as stale by then.
    """
    return max(now_ms, issued_at_ms) + retention_ms + 2 * MAX_CLOCK_SKEW_MS


class ClaimRules:
    """Applies operations to a bucket's content."""

    def __init__(
        self, retention_s: float, is_owner_live: Callable[[str, int], bool]
    ) -> None:
        """Initialize with a retention time and a liveness check.

        Args:
            retention_s: Retention time of a claim, in seconds.
            is_owner_live: Returns whether an instance is alive at an incarnation.
        """
        self._retention_ms = int(retention_s * 1000)
        self._is_owner_live = is_owner_live

    def apply(
        self, now_ms: int, content: Mapping[str, Claim], ops: tuple[ClaimOp, ...]
    ) -> AppliedOps:
        """Apply operations in order to a copy of a bucket's content."""
        claims_by_request = {
            request_id: claim
            for request_id, claim in content.items()
            if claim.expires_ms >= now_ms
        }
        bucket_bytes = len(encode_bucket(claims_by_request))
        decisions = []
        is_changed = False
        for op in ops:
            decision, claim = self._decide(
                now_ms, op, claims_by_request.get(op.request_id), bucket_bytes
            )
            decisions.append(decision)
            if claim is not None:
                bucket_bytes += len(op.request_id) + len(msgspec.msgpack.encode(claim))
                claims_by_request[op.request_id] = claim
                is_changed = True
        return AppliedOps(claims_by_request, ops, tuple(decisions), is_changed)

    def _decide(
        self, now_ms: int, op: ClaimOp, existing: Claim | None, bucket_bytes: int
    ) -> tuple[ClaimDecision, Claim | None]:
        expires_ms = expiry_ms(now_ms, op.issued_at_ms, self._retention_ms)
        if op.state != ClaimState.CLAIMED:
            return _close(op, existing, bucket_bytes, expires_ms)
        code, detail = check_issue_time(now_ms, op.issued_at_ms, self._retention_ms)
        if code != ResultCode.OK:
            return ClaimDecision(op.token, code, detail=detail), None
        if existing is not None:
            decision = self._decide_existing(op, existing)
            if decision is not None:
                return decision, None
        if bucket_bytes >= MAX_BUCKET_BYTES:
            return _refuse_for_full_bucket(op, bucket_bytes), None
        claim = _make_claim(op, expires_ms)
        return ClaimDecision(op.token, ResultCode.OK, is_claimed=True), claim

    def _decide_existing(self, op: ClaimOp, existing: Claim) -> ClaimDecision | None:
        """Decide on a request that already has a claim; None if it may be replaced."""
        if existing.fingerprint != op.fingerprint:
            detail = f"request id {op.request_id} was used for another request"
            return ClaimDecision(op.token, ResultCode.FIELD_INVALID, detail=detail)
        if _is_own(op, existing) and existing.state == ClaimState.CLAIMED:
            # The write took effect although its reply was lost.
            return ClaimDecision(op.token, ResultCode.OK, is_claimed=True)
        if existing.state == ClaimState.UNSENT:
            return _refuse_closed(op) if _is_own(op, existing) else None
        if existing.state == ClaimState.DONE:
            return _recorded_decision(op, existing)
        if existing.state == ClaimState.CLAIMED:
            is_live = self._is_owner_live(existing.owner, existing.incarnation)
            code = ResultCode.STILL_RUNNING if is_live else ResultCode.OUTCOME_UNKNOWN
            detail = f"claimed by {existing.owner}, incarnation {existing.incarnation}"
            return ClaimDecision(op.token, code, detail=detail)
        return ClaimDecision(
            op.token,
            ResultCode.OUTCOME_UNKNOWN,
            detail=f"{existing.owner} sent it and got no answer",
        )


def _recorded_decision(op: ClaimOp, existing: Claim) -> ClaimDecision:
    if existing.answer:
        return ClaimDecision(op.token, ResultCode.OK, answer=existing.answer)
    return ClaimDecision(
        op.token,
        ResultCode.OUTCOME_UNKNOWN,
        detail="it ran, and its answer was too large to be kept",
    )


def _refuse_closed(op: ClaimOp) -> ClaimDecision:
    """Refuse an operation that arrives after its owner has abandoned it."""
    detail = f"ask {op.token} was given up by its owner"
    return ClaimDecision(op.token, ResultCode.NOT_RUN_CLAIM_CLOSED, detail=detail)


def _is_own(op: ClaimOp, existing: Claim) -> bool:
    return (existing.owner, existing.incarnation, existing.token) == (
        op.owner,
        op.incarnation,
        op.token,
    )


def _make_claim(op: ClaimOp, expires_ms: int) -> Claim:
    return Claim(
        op.owner,
        op.incarnation,
        op.token,
        op.state,
        op.fingerprint,
        b"",
        expires_ms,
    )


def _close(
    op: ClaimOp, existing: Claim | None, bucket_bytes: int, expires_ms: int
) -> tuple[ClaimDecision, Claim | None]:
    """Close the claim that the operation's owner made with the same token.

    The claim of another operation is kept.
    """
    decision = ClaimDecision(op.token, ResultCode.OK)
    if existing is None or not _is_own(op, existing):
        return decision, _fence(op, existing, expires_ms)
    if existing.state == op.state:
        return decision, None
    if op.state == ClaimState.UNSENT and existing.state != ClaimState.CLAIMED:
        return decision, None
    answer = op.answer if _answer_fits(op.answer, bucket_bytes) else b""
    return decision, existing._replace(state=op.state, answer=answer)


def _answer_fits(answer: bytes, bucket_bytes: int) -> bool:
    return (
        len(answer) <= MAX_RECORDED_ANSWER_BYTES
        and bucket_bytes + len(answer) < MAX_BUCKET_BYTES
    )


def _fence(op: ClaimOp, existing: Claim | None, expires_ms: int) -> Claim | None:
    """Return an unsent claim that prevents a delayed write of the operation's claim.

    Writing it changes the object's version, so that the delayed conditional write
    can no longer take effect. None if no such claim is needed.
    """
    if op.state != ClaimState.UNSENT:
        return None
    if existing is not None and existing.state != ClaimState.UNSENT:
        return None
    return _make_claim(op, expires_ms)


def _refuse_for_full_bucket(op: ClaimOp, bucket_bytes: int) -> ClaimDecision:
    detail = (
        f"claim bucket {bucket_name(op.request_id)} is full with {bucket_bytes} bytes"
    )
    return ClaimDecision(op.token, ResultCode.NOT_RUN_OVERLOADED, detail=detail)
