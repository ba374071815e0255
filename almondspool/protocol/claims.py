"""Claim operations that instances forward to the holder of a claim bucket.

The claim of a non-idempotent request names the only instance that may send it.
"""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

import msgspec

# A larger answer is not recorded with its claim.
MAX_RECORDED_ANSWER_BYTES = 4096

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Answer = Annotated[bytes, msgspec.Meta(max_length=MAX_RECORDED_ANSWER_BYTES)]


class ClaimState(enum.StrEnum):
    """Recorded state of a claimed request.

    Attributes:
        CLAIMED: The owner may send the request or has sent it.
        DONE: The request ran; its answer is recorded unless it was too large.
        UNSENT: The request was not sent; it can be claimed again.
        UNKNOWN: The request may have been sent; its outcome is unknown.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class ClaimOp(NamedTuple):
    """An operation that claims a request, or closes the claim.

    Attributes:
        token: Unique among all instances; the closing operation repeats the claim's
            token.
        request_id: The caller's request id.
        fingerprint: Digest of the request's content.
        issued_at_ms: When the caller first issued the request, in ms since the epoch.
        owner: The instance that claims the request or closes its own claim.
        incarnation: The owner's incarnation.
        state: CLAIMED to claim the request; any other state closes the claim.
        answer: The encoded answer to record when closing; may be empty.
    """

    token: _Id
    request_id: _Id
    fingerprint: _Id
    issued_at_ms: int
    owner: _Id
    incarnation: int
    state: ClaimState = ClaimState.CLAIMED
    answer: _Answer = b""
