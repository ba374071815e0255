"""Outcome of a routed request, and the answers that no upstream provides."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode, describe_code
from almondspool.protocol.exchange import Answer

if TYPE_CHECKING:
    from almondspool.protocol.exchange import HeaderCodec

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Outcome(NamedTuple):
    """The end of a routed request.

    Attributes:
        answer: The caller's answer; None if the caller has disconnected.
        code: The result code.
        reason: Why the request ended, for the log.
        parts: Shards in the answer, or 1 for a reply that is passed on.
        shards: Shards that the search covers.
        extra: Sends beyond the first of each shard.
        missing: Missing shards with their reasons.
        upstream: The replica whose reply is passed on.
    """

    answer: Answer | None
    code: ResultCode
    reason: str
    parts: int = 0
    shards: int = 0
    extra: int = 0
    missing: str = ""
    upstream: str = ""


def refusal_answer(codec: HeaderCodec, retry_after_s: float) -> Answer:
    """Return the answer to a request that no upstream has run or will run."""
    return Answer(UNAVAILABLE, codec.retry_headers(retry_after_s))


def failure_answer(code: ResultCode) -> Answer:
    """Return the answer to a failed request that may have run."""
    status = GATEWAY_TIMEOUT if code is ResultCode.LEG_TIMEOUT else BAD_GATEWAY
    return Answer(status, (), describe_code(code).encode())
