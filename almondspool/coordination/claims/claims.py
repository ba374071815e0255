"""Claims of non-idempotent requests: their rules, without any input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.protocol.caller import SearchAnswer
from almondspool.protocol.claims import MAX_ANSWER_BYTES, ClaimOp, ClaimState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from almondspool.protocol.caller import SearchRequest

CLAIM_KIND = "claims"
BUCKETS = 64
BUCKET_NAMES = tuple(f"bucket-{number:02d}" for number in range(BUCKETS))
MAX_BUCKET_BYTES = 900_000
# Largest difference between two instances' clocks that the rules withstand.
CLOCK_MARGIN_MS = 30_000
SEND_LEASE_S = 2.0


class Claim(NamedTuple):
    """One request's claim, as stored in its bucket.

    Attributes:
        owner: The instance that may send the request.
        incarnation: The owner's incarnation when it claimed.
        token: Identifies the ask that made the claim.
        state: What is known of the request.
        fingerprint: Digest of the request's content.
        answer: The recorded answer, or empty.
        expires_ms: When it may be dropped, in ms since the epoch.
    """

    owner: str
    incarnation: int
    token: str
    state: ClaimState
    fingerprint: str
    answer: bytes
    expires_ms: int


class ClaimDecision(NamedTuple):
    """What the asking instance must do.

    Attributes:
        token: The ask that is answered.
        code: OK to send or to return the recorded answer; else the code to return.
        is_claimed: Whether the asking instance now owns the claim and may send.
        answer: The recorded answer of an earlier run, or empty.
        send_before: Monotonic second after which the owner must not send.
        detail: One line for people.
        retry_after_s: When to ask again, in seconds, where that is known.
        is_doubtful: Whether a write that holds the refused ask may still take effect.
    """

    token: str
    code: ResultCode
    is_claimed: bool = False
    answer: bytes = b""
    send_before: float = 0.0
    detail: str = ""
    retry_after_s: float = 0.0
    is_doubtful: bool = False

    def still_valid(self, now: float) -> bool:
        """Return whether the owner may send at a monotonic second."""
        return self.is_claimed and now < self.send_before


class Applied(NamedTuple):
    """The result of applying changes to a bucket's content.

    Attributes:
        claims_by_request: The new content.
        ops: The changes.
        decisions: One decision for each change, in order.
        is_changed: Whether the content must be written.
    """

    claims_by_request: dict[str, Claim]
    ops: tuple[ClaimOp, ...]
    decisions: tuple[ClaimDecision, ...]
    is_changed: bool


def bucket_name(request_id: str) -> str:
    """Return the name of the bucket object that holds a request's claim."""
    return BUCKET_NAMES[xxhash.xxh3_64_intdigest(request_id.encode()) % BUCKETS]


def claim_fingerprint(request: SearchRequest) -> str:
    """Return a digest of what a retry of a request must repeat."""
    content = (
        request.team,
        request.shard,
        sorted(request.query.items()),
        request.issued_at_ms,
    )
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(content))


def encode_bucket(claims_by_request: Mapping[str, Claim]) -> bytes:
    """Return a bucket's content as stored in the platform."""
    return msgspec.msgpack.encode(claims_by_request)


_BUCKET_DECODER = msgspec.msgpack.Decoder(dict[str, Claim])


def decode_bucket(value: bytes) -> dict[str, Claim]:
    """Return a bucket's content.

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


def pack_answer(answer: SearchAnswer) -> bytes:
    """Return an answer for a claim; empty if it exceeds MAX_ANSWER_BYTES."""
    packed = msgspec.msgpack.encode(answer)
    return packed if len(packed) <= MAX_ANSWER_BYTES else b""


_ANSWER_DECODER = msgspec.msgpack.Decoder(SearchAnswer)


def unpack_answer(packed: bytes) -> SearchAnswer:
    """Return a recorded answer.

    Raises:
        msgspec.MsgspecError: If the bytes are not an answer.
    """
    return _ANSWER_DECODER.decode(packed)


def closing_state(code: ResultCode) -> ClaimState:
    """Return the state in which an owner closes its claim after an answer."""
    if code in (ResultCode.OK, ResultCode.FAILED):
        return ClaimState.DONE
    is_refusal = 100 <= code < 300
    return ClaimState.UNSENT if is_refusal else ClaimState.UNKNOWN


def check_issue_time(
    now_ms: int, issued_at_ms: int, retention_ms: int
) -> tuple[ResultCode, str]:
    """Return OK, or why the age of a request forbids to claim it.

    A claim is dropped only after every instance refuses the request as stale, as
    long as clocks differ by at most CLOCK_MARGIN_MS.
    """
    age_ms = now_ms - issued_at_ms
    if age_ms > retention_ms:
        detail = f"issued {age_ms} ms ago, claims are kept {retention_ms} ms"
        return ResultCode.REQUEST_STALE, detail
    if age_ms < -CLOCK_MARGIN_MS:
        return ResultCode.FIELD_INVALID, f"issued_at_ms is {-age_ms} ms in the future"
    return ResultCode.OK, ""


def expiry_ms(now_ms: int, issued_at_ms: int, retention_ms: int) -> int:
    """Return when a claim may be dropped, in ms since the epoch."""
    return max(now_ms, issued_at_ms) + retention_ms + 2 * CLOCK_MARGIN_MS


class ClaimRules:
    """Applies asks to a bucket's content."""

    def __init__(
        self, retention_s: float, is_owner_live: Callable[[str, int], bool]
    ) -> None:
        """Keep claims for a time, and judge owners by the membership.

        Args:
            retention_s: How long a claim is kept, in seconds.
            is_owner_live: Whether an instance is alive at an incarnation.
        """
        self._retention_ms = int(retention_s * 1000)
        self._is_owner_live = is_owner_live

    def apply(
        self, now_ms: int, content: Mapping[str, Claim], ops: tuple[ClaimOp, ...]
    ) -> Applied:
        """Apply asks in order to a bucket's content; nothing is changed in place."""
        claims_by_request = {
            request_id: claim
            for request_id, claim in content.items()
            if claim.expires_ms >= now_ms
        }
        size = len(encode_bucket(claims_by_request))
        decisions = []
        is_changed = False
        for op in ops:
            decision, claim = self._decide(
                now_ms, op, claims_by_request.get(op.request_id), size
            )
            decisions.append(decision)
            if claim is not None:
                size += len(op.request_id) + len(msgspec.msgpack.encode(claim))
                claims_by_request[op.request_id] = claim
                is_changed = True
        return Applied(claims_by_request, ops, tuple(decisions), is_changed)

    def _decide(
        self, now_ms: int, op: ClaimOp, present: Claim | None, size: int
    ) -> tuple[ClaimDecision, Claim | None]:
        expires_ms = expiry_ms(now_ms, op.issued_at_ms, self._retention_ms)
        if op.state != ClaimState.CLAIMED:
            return _close(op, present, size, expires_ms)
        code, detail = check_issue_time(now_ms, op.issued_at_ms, self._retention_ms)
        if code != ResultCode.OK:
            return ClaimDecision(op.token, code, detail=detail), None
        if present is not None:
            decision = self._judge(op, present)
            if decision is not None:
                return decision, None
        if size >= MAX_BUCKET_BYTES:
            return _refuse_full(op, size), None
        claim = _make_claim(op, expires_ms)
        return ClaimDecision(op.token, ResultCode.OK, is_claimed=True), claim

    def _judge(self, op: ClaimOp, present: Claim) -> ClaimDecision | None:
        """Return the decision on a request that has a claim; None to claim anew."""
        if present.fingerprint != op.fingerprint:
            detail = f"request id {op.request_id} was used for another request"
            return ClaimDecision(op.token, ResultCode.FIELD_INVALID, detail=detail)
        if _is_own(op, present) and present.state == ClaimState.CLAIMED:
            # The write took effect although its reply was lost.
            return ClaimDecision(op.token, ResultCode.OK, is_claimed=True)
        if present.state == ClaimState.UNSENT:
            return _refuse_closed(op) if _is_own(op, present) else None
        if present.state == ClaimState.DONE:
            return _recorded(op, present)
        if present.state == ClaimState.CLAIMED:
            is_live = self._is_owner_live(present.owner, present.incarnation)
            code = ResultCode.STILL_RUNNING if is_live else ResultCode.OUTCOME_UNKNOWN
            detail = f"claimed by {present.owner}, incarnation {present.incarnation}"
            return ClaimDecision(op.token, code, detail=detail)
        return ClaimDecision(
            op.token,
            ResultCode.OUTCOME_UNKNOWN,
            detail=f"{present.owner} sent it and got no answer",
        )


def _recorded(op: ClaimOp, present: Claim) -> ClaimDecision:
    if present.answer:
        return ClaimDecision(op.token, ResultCode.OK, answer=present.answer)
    return ClaimDecision(
        op.token,
        ResultCode.OUTCOME_UNKNOWN,
        detail="it ran, and its answer was too large to be kept",
    )


def _refuse_closed(op: ClaimOp) -> ClaimDecision:
    """Refuse an ask that arrives after its owner has given it up."""
    detail = f"ask {op.token} was given up by its owner"
    return ClaimDecision(op.token, ResultCode.NOT_RUN_CLAIM_CLOSED, detail=detail)


def _is_own(op: ClaimOp, present: Claim) -> bool:
    return (present.owner, present.incarnation, present.token) == (
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
    op: ClaimOp, present: Claim | None, size: int, expires_ms: int
) -> tuple[ClaimDecision, Claim | None]:
    """Close the owner's own claim; a claim of another ask is left alone."""
    decision = ClaimDecision(op.token, ResultCode.OK)
    if present is None or not _is_own(op, present):
        return decision, _fence(op, present, expires_ms)
    if present.state == op.state:
        return decision, None
    if op.state == ClaimState.UNSENT and present.state != ClaimState.CLAIMED:
        return decision, None
    answer = op.answer if _fits(op.answer, size) else b""
    return decision, present._replace(state=op.state, answer=answer)


def _fits(answer: bytes, size: int) -> bool:
    return len(answer) <= MAX_ANSWER_BYTES and size + len(answer) < MAX_BUCKET_BYTES


def _fence(op: ClaimOp, present: Claim | None, expires_ms: int) -> Claim | None:
    """Return a claim closed as unsent in place of one that may still be written.

    Writing it changes the object's version, so that a delayed write of the claim
    itself can no longer take effect.
    """
    if op.state != ClaimState.UNSENT:
        return None
    if present is not None and present.state != ClaimState.UNSENT:
        return None
    return _make_claim(op, expires_ms)


def _refuse_full(op: ClaimOp, size: int) -> ClaimDecision:
    detail = f"claim bucket {bucket_name(op.request_id)} is full with {size} bytes"
    return ClaimDecision(op.token, ResultCode.NOT_RUN_OVERLOADED, detail=detail)
