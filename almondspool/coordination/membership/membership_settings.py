"""Times of the membership."""

from __future__ import annotations

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Times of the membership, in seconds; see the settings table."""

    heartbeat_interval_s: float = 1.0
    suspect_after_s: float = 3.0
    dead_after_s: float = 8.0
    lease_s: float = 6.0
    seed_peers: tuple[str, ...] = ()
