"""Connection shares: which instance may open how many connections."""

from __future__ import annotations

from typing import NamedTuple


class Share(NamedTuple):
    """Connections that an instance may hold open to one upstream.

    Attributes:
        instance: The holder.
        session: The holder's session (see Member) in which the share was granted.
        connections: How many.
        since_ms: When the share became stale, in ms since the epoch; 0 if active.
    """

    instance: str
    session: int
    connections: int
    since_ms: int = 0


class UpstreamShares(NamedTuple):
    """All shares of one upstream.

    Attributes:
        active: Shares of the present holders.
        stale: Shares of holders that are gone, whose connections may still be open.
    """

    active: tuple[Share, ...] = ()
    stale: tuple[Share, ...] = ()

    def connections(self) -> int:
        """Return the connections that may be open, all together."""
        return sum(share.connections for share in self.active + self.stale)

    def of(self, instance: str, session: int) -> Share | None:
        """Return the share, active or stale, of one session of an instance."""
        for share in self.active + self.stale:
            if share.instance == instance and share.session == session:
                return share
        return None


NO_SHARES = UpstreamShares()
