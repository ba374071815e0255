"""Actions returned by the connection shares."""

from __future__ import annotations

from typing import NamedTuple


class ReadBucket(NamedTuple):
    """Read a bucket from the platform; calls on_bucket_read or on_call_failed."""

    name: str


class WriteBucket(NamedTuple):
    """Write a bucket conditionally; calls on_written or on_call_failed."""

    name: str
    expected_version: int
    value: bytes


class SetConnectionLimit(NamedTuple):
    """Set the maximum number of open connections to an upstream."""

    upstream_id: str
    connections: int


class CloseConnections(NamedTuple):
    """Close all connections to an upstream."""

    upstream_id: str


Action = ReadBucket | WriteBucket | SetConnectionLimit | CloseConnections
