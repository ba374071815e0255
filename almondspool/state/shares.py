"""Connection shares: how many connections each instance may open to an upstream."""

from __future__ import annotations

from typing import NamedTuple


class Share(NamedTuple):
    """Connections that an instance may hold open to one upstream.

    Attributes:
        instance: The instance that holds the share.
        session: The holder's session (see Member) in which the share was granted.
        connections: Number of connections.
        stale_since_ms: Time at which it became stale, as the holder departed, in ms
            since the epoch; 0 if active.
    """

    instance: str
    session: int
    connections: int
    stale_since_ms: int = 0


class UpstreamShares(NamedTuple):
    """All shares of one upstream.

    Attributes:
        active: Shares of present instances.
        stale: Shares of departed instances, whose connections may still be open.
    """

    active: tuple[Share, ...] = ()
    stale: tuple[Share, ...] = ()

    def connections(self) -> int:
        """Return the total number of connections that may be open."""
        return sum(share.connections for share in self.active + self.stale)

    def find(self, instance: str, session: int) -> Share | None:
        """Return the active or stale share of one session of an instance, if any."""
        for share in self.active + self.stale:
            if share.instance == instance and share.session == session:
                return share
        return None


NO_SHARES = UpstreamShares()
