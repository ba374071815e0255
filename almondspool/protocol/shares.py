"""Codec of the stored connection shares, one object for each bucket of upstreams."""

from __future__ import annotations

import msgspec
import xxhash

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.state.shares import Share, UpstreamShares

SHARES_KIND = "shares"
BUCKET_COUNT = 16
BUCKET_NAMES = tuple(f"{number:02d}" for number in range(BUCKET_COUNT))

_DECODER = msgspec.msgpack.Decoder(dict[str, UpstreamShares])
_ENCODER = msgspec.msgpack.Encoder(order="sorted")


def bucket_name(upstream_id: str) -> str:
    """Return the name of the bucket that contains an upstream's shares."""
    return BUCKET_NAMES[xxhash.xxh3_64_intdigest(upstream_id.encode()) % BUCKET_COUNT]


def encode_bucket(shares_by_upstream_id: dict[str, UpstreamShares]) -> bytes:
    """Encode a bucket as stored in the platform."""
    return _ENCODER.encode(shares_by_upstream_id)


def decode_bucket(name: str, value: bytes) -> dict[str, UpstreamShares]:
    """Decode and check a bucket; return its shares by upstream id.

    Raises:
        PlatformError: With PLATFORM_REPLY_INVALID, the bucket and the fault.
    """
    try:
        shares_by_upstream_id = _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(name, str(error)) from error
    for upstream_id, shares in shares_by_upstream_id.items():
        if bucket_name(upstream_id) != name:
            raise _invalid(name, f"upstream {upstream_id} is of another bucket")
        for share in shares.active + shares.stale:
            _check_share(name, upstream_id, share)
    return shares_by_upstream_id


def _check_share(name: str, upstream_id: str, share: Share) -> None:
    if share.connections < 1:
        raise _invalid(
            name,
            f"upstream {upstream_id} gives instance {share.instance}"
            f" {share.connections} connections",
        )


def _invalid(name: str, reason: str) -> PlatformError:
    return PlatformError(
        f"shares bucket {name}: {reason}", ResultCode.PLATFORM_REPLY_INVALID
    )
