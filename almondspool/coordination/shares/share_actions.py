"""What the connection shares decide to do."""

from __future__ import annotations

from typing import NamedTuple


class ReadBucket(NamedTuple):
    """Read a bucket from the platform, then call bucket_read or call_failed."""

    name: str


class WriteBucket(NamedTuple):
    """Write a bucket, then call write_done or call_failed."""

    name: str
    expected_version: int
    value: bytes


class OpenUpTo(NamedTuple):
    """Keep at most so many connections to an upstream open from now on."""

    upstream_id: str
    connections: int


class CloseAll(NamedTuple):
    """Close every connection to an upstream."""

    upstream_id: str


Action = ReadBucket | WriteBucket | OpenUpTo | CloseAll
