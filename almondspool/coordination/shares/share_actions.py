"""Actions returned by the state machine of the connection shares."""

from __future__ import annotations

from typing import NamedTuple


class ReadBucket(NamedTuple):
    """Read a bucket from the platform, then call on_bucket_read or on_call_failed."""

    name: str


class WriteBucket(NamedTuple):
    """Write a bucket conditionally, then call on_written or on_call_failed.

    Attributes:
        name: Name of the bucket.
        expected_version: Version that the write replaces; 0 if there is none yet.
        value: New content, encoded.
    """

    name: str
    expected_version: int
    value: bytes


class SetConnectionLimit(NamedTuple):
    """Set the maximum number of open connections to an upstream, at least 1."""

    upstream_id: str
    connections: int


class CloseConnections(NamedTuple):
    """Close all connections to an upstream."""

    upstream_id: str


Action = ReadBucket | WriteBucket | SetConnectionLimit | CloseConnections
