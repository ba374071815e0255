"""Local state of one bucket of connection shares."""

from __future__ import annotations

from almondspool.state.shares import NO_SHARES, UpstreamShares

# Version of a bucket that was never read.
UNREAD = -1


class ShareBucket:
    """Latest known state of a bucket, and writes with an unknown result.

    A write that was sent may still take effect until a version later than its expected
    one is known. Until then, the share of this instance counts as the minimum of the
    known and the requested numbers of connections.

    Attributes:
        name: Name of the bucket.
        version: Known version; 0 if it does not exist, UNREAD if it was never read.
        shares_by_upstream_id: Known content.
        is_busy: Whether a platform call for it is in progress.
        must_read: Whether it must be read before it can be written.
        retry_at: Earliest time of the next call, in monotonic seconds.
        failures: Number of failed calls since the last successful write.
        own_upstream_ids: Upstreams with a share of this instance, from any session.
    """

    def __init__(self, name: str, instance: str) -> None:
        """Initialize an unread bucket for one instance."""
        self.name = name
        self._instance = instance
        self.version = UNREAD
        self.shares_by_upstream_id: dict[str, UpstreamShares] = {}
        self.is_busy = False
        self.must_read = True
        self.retry_at = 0.0
        self.failures = 0
        self.own_upstream_ids: frozenset[str] = frozenset()
        self._write_expected_version = UNREAD
        self._min_connections_by_upstream_id: dict[str, int] = {}

    def apply_state(
        self, version: int, shares_by_upstream_id: dict[str, UpstreamShares]
    ) -> bool:
        """Apply a state from the platform or a peer; False if it is not newer."""
        if version <= self.version:
            return False
        self.version = version
        self.shares_by_upstream_id = shares_by_upstream_id
        self.own_upstream_ids = frozenset(
            upstream_id
            for upstream_id, shares in shares_by_upstream_id.items()
            if any(
                share.instance == self._instance
                for share in shares.active + shares.stale
            )
        )
        if version > self._write_expected_version:
            self._min_connections_by_upstream_id = {}
        return True

    def begin_write(
        self,
        requested_by_upstream_id: dict[str, UpstreamShares],
        session: int,
    ) -> None:
        """Record that a write conditional on the known version begins.

        Args:
            requested_by_upstream_id: Content that is written.
            session: Session of this instance.
        """
        self.is_busy = True
        self._write_expected_version = self.version
        for upstream_id in requested_by_upstream_id.keys() | self.own_upstream_ids:
            requested = self._connections_in(
                requested_by_upstream_id, upstream_id, session
            )
            minimum = self._min_connections_by_upstream_id.get(upstream_id, requested)
            self._min_connections_by_upstream_id[upstream_id] = min(minimum, requested)

    def own_connections(self, upstream_id: str, session: int) -> int:
        """Return the connections granted to a session of this instance.

        The number is valid whether or not writes with an unknown result take effect.
        """
        known = self._connections_in(self.shares_by_upstream_id, upstream_id, session)
        return min(known, self._min_connections_by_upstream_id.get(upstream_id, known))

    def is_uncertain(self, upstream_id: str) -> bool:
        """Return whether a write of an upstream's shares has an unknown result."""
        return upstream_id in self._min_connections_by_upstream_id

    def has_own_share(self, session: int) -> bool:
        """Return whether this instance has a share of any upstream in a session."""
        return any(
            self._connections_in(self.shares_by_upstream_id, upstream_id, session)
            for upstream_id in self.own_upstream_ids
        )

    def shares_of(self, upstream_id: str) -> UpstreamShares:
        """Return the known shares of an upstream."""
        return self.shares_by_upstream_id.get(upstream_id, NO_SHARES)

    def _connections_in(
        self,
        shares_by_upstream_id: dict[str, UpstreamShares],
        upstream_id: str,
        session: int,
    ) -> int:
        shares = shares_by_upstream_id.get(upstream_id, NO_SHARES)
        share = shares.find(self._instance, session)
        return share.connections if share else 0
