"""Settings of the membership."""

from __future__ import annotations

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """The settings that the membership uses.

    Attributes:
        heartbeat_interval_s: Seconds between two ticks, each of which probes a member.
        suspect_after_s: Seconds without an answer after which a member is suspect.
        dead_after_s: Seconds without an answer after which a member is dead.
        lease_s: Seconds since its last tick for which an instance may act.
        seed_peers: Peer addresses to contact, ``ip:port``, besides those of the
            member records.
    """

    heartbeat_interval_s: float = 1.0
    suspect_after_s: float = 3.0
    dead_after_s: float = 8.0
    lease_s: float = 6.0
    seed_peers: tuple[str, ...] = ()
