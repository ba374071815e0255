"""Outcome of a routed request, and the answers that an instance gives by itself."""

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
    """How a routed request ended.

    Attributes:
        answer: The caller's answer; None if the caller has disconnected.
        code: The result code.
        reason: Why the request ended, for the log.
        parts: Number of shards in a search's answer. Of other requests: 1 for the
            reply of an upstream that succeeded, otherwise 0.
        shards: Number of shards that the search queries, or 1 for other requests; 0 if
            the router refused the request, or its caller has disconnected.
        extra: Number of legs beyond the first of the request, or of each shard.
        missing: Missing shards with the reason of each, for the log.
        upstream: Id of the replica whose reply is passed on; otherwise empty.
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
    """Return the answer to a request that no upstream has run or will run.

    Args:
        codec: Encodes the answer's headers.
        retry_after_s: Seconds after which the caller may retry.
    """
    return Answer(UNAVAILABLE, codec.retry_headers(retry_after_s))


def failure_answer(code: ResultCode) -> Answer:
    """Return the answer to a failed request that may have run."""
    status = GATEWAY_TIMEOUT if code is ResultCode.LEG_TIMEOUT else BAD_GATEWAY
    return Answer(status, (), describe_code(code).encode())
