"""Claim operations that instances forward to the holder of a bucket."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

import msgspec

MAX_ANSWER_BYTES = 4096

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Answer = Annotated[bytes, msgspec.Meta(max_length=MAX_ANSWER_BYTES)]


class ClaimState(enum.StrEnum):
    """Recorded state of a claimed request."""

    CLAIMED = "claimed"
    DONE = "done"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class ClaimOp(NamedTuple):
    """A change to a bucket, requested by an instance.

    Attributes:
        token: Unique among all instances; closing repeats the claim's token.
        request_id: The caller's request id.
        fingerprint: Digest of the request's content.
        issued_at_ms: When the caller first issued the request, in ms since the epoch.
        owner: The requesting instance.
        incarnation: The owner's incarnation.
        state: CLAIMED to claim, any other state to close the owner's claim.
        answer: The answer to record.
    """

    token: _Id
    request_id: _Id
    fingerprint: _Id
    issued_at_ms: int
    owner: _Id
    incarnation: int
    state: ClaimState = ClaimState.CLAIMED
    answer: _Answer = b""
