"""One bucket of connection shares as an instance knows it."""

from __future__ import annotations

from almondspool.state.shares import NO_SHARES, UpstreamShares

UNREAD = -1


class ShareBucket:
    """The newest known state of a bucket and the writes whose result is unknown.

    A write that was sent may still take effect until a later version than the one it
    expected is known. Until then the own share counts as the lowest of what is known
    and what was asked for.

    Attributes:
        name: The bucket's name.
        version: Its known version; 0 if the platform has none, UNREAD before that.
        shares_by_upstream_id: Its known content.
        is_busy: Whether a call for it is under way.
        must_read: Whether it has to be read before anything is written.
        retry_at: Monotonic seconds before which no call is made.
        failures: Calls that failed in a row.
        own_ids: Upstreams with a share of the own instance, of whatever session.
    """

    def __init__(self, name: str, instance: str) -> None:
        """Start unread, for one instance."""
        self.name = name
        self._instance = instance
        self.version = UNREAD
        self.shares_by_upstream_id: dict[str, UpstreamShares] = {}
        self.is_busy = False
        self.must_read = True
        self.retry_at = 0.0
        self.failures = 0
        self.own_ids: frozenset[str] = frozenset()
        self._expected_version = UNREAD
        self._lowest_by_upstream_id: dict[str, int] = {}

    def learn(
        self, version: int, shares_by_upstream_id: dict[str, UpstreamShares]
    ) -> bool:
        """Take a state from the platform or a peer; False if it is not newer."""
        if version <= self.version:
            return False
        self.version = version
        self.shares_by_upstream_id = shares_by_upstream_id
        self.own_ids = frozenset(
            upstream_id
            for upstream_id, shares in shares_by_upstream_id.items()
            if any(
                share.instance == self._instance
                for share in shares.active + shares.stale
            )
        )
        if version > self._expected_version:
            self._lowest_by_upstream_id = {}
        return True

    def begin_write(
        self,
        attempt_by_upstream_id: dict[str, UpstreamShares],
        session: int,
    ) -> None:
        """Note a write that expects the known version."""
        self.is_busy = True
        self._expected_version = self.version
        for upstream_id in attempt_by_upstream_id.keys() | self.own_ids:
            asked = self._held(attempt_by_upstream_id, upstream_id, session)
            lowest = self._lowest_by_upstream_id.get(upstream_id, asked)
            self._lowest_by_upstream_id[upstream_id] = min(lowest, asked)

    def own_connections(self, upstream_id: str, session: int) -> int:
        """Return how many connections the instance may count on."""
        known = self._held(self.shares_by_upstream_id, upstream_id, session)
        return min(known, self._lowest_by_upstream_id.get(upstream_id, known))

    def is_unsettled(self, upstream_id: str) -> bool:
        """Return whether a write with unknown result touched an upstream's share."""
        return upstream_id in self._lowest_by_upstream_id

    def has_own(self, session: int) -> bool:
        """Return whether any upstream has a share of this session."""
        return any(
            self._held(self.shares_by_upstream_id, upstream_id, session)
            for upstream_id in self.own_ids
        )

    def shares_of(self, upstream_id: str) -> UpstreamShares:
        """Return the known shares of an upstream."""
        return self.shares_by_upstream_id.get(upstream_id, NO_SHARES)

    def _held(
        self,
        shares_by_upstream_id: dict[str, UpstreamShares],
        upstream_id: str,
        session: int,
    ) -> int:
        shares = shares_by_upstream_id.get(upstream_id, NO_SHARES)
        share = shares.find(self._instance, session)
        return share.connections if share else 0
