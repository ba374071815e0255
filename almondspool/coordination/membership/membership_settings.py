"""Settings of the membership."""

from __future__ import annotations

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Intervals of the membership in seconds, and the seeds; see the settings."""

    heartbeat_interval_s: float = 1.0
    suspect_after_s: float = 3.0
    dead_after_s: float = 8.0
    lease_s: float = 6.0
    seed_peers: tuple[str, ...] = ()
