"""What the platform's lagging list of instances says, and when to read it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.member_actions import ReadPlatform, WriteRecord
from almondspool.state.members import Member, MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from almondspool.protocol.platform import InstanceListing

RECORD_INTERVAL_S = 300.0
LISTING_INTERVAL_S = 15.0
JOIN_RETRY_S = 2.0
WRITE_RETRY_S = 10.0
# From this many instances on, the whole fleet's platform calls stay constant.
LISTING_FLEET = 8
JITTER = 0.2


class Listings:
    """Keeps the listed instances and the times of the next platform calls."""

    def __init__(self, rng: random.Random) -> None:
        """Jitter the times with the given generator."""
        self._rng = rng
        self._next_write_at = 0.0
        self._next_read_at = 0.0
        self._marked_session_by_instance: dict[str, int] = {}
        self._is_read = False
        self.listed: frozenset[str] = frozenset()

    def replace(
        self, listings: Iterable[InstanceListing], members: Iterable[Member], own: str
    ) -> list[str]:
        """Take a new list; return the instances whose leaving mark changed.

        The list lags: a mark is of the session known when it is first seen, or of an
        earlier process if the own instance finds it at its first look.
        """
        listings = tuple(listings)
        former = self._marked_session_by_instance
        session_by_instance = {each.instance: each.session for each in members}
        if not self._is_read:
            session_by_instance[own] -= 1
        self._is_read = True
        self.listed = frozenset(listing.instance for listing in listings)
        self._marked_session_by_instance = {
            name: former.get(name, session_by_instance.get(name, 0))
            for name in sorted(each.instance for each in listings if each.leaving)
        }
        return sorted(former.keys() ^ self._marked_session_by_instance.keys())

    def is_marked(self, member: Member) -> bool:
        """Return whether the list marks the present session as leaving."""
        session = self._marked_session_by_instance.get(member.instance)
        return session is not None and member.session <= session

    def marked(self, member: Member) -> Member:
        """Return a record with the list's leaving mark laid over it."""
        if self.is_marked(member) and member.status < MemberStatus.LEAVING:
            return member._replace(status=MemberStatus.LEAVING)
        return member

    def write(self, own: Member, now: float, fleet: int) -> WriteRecord:
        """Return a write of the own record and plan its renewal."""
        self._next_write_at = now + self._interval(RECORD_INTERVAL_S, fleet)
        return WriteRecord(own)

    def write_soon(self, now: float) -> None:
        """Write the own record again after a failure, jittered."""
        self._next_write_at = now + self._interval(WRITE_RETRY_S, 1)

    def read_soon(self, now: float) -> None:
        """Read the platform at the next tick, but not twice within a second or two."""
        self._next_read_at = min(self._next_read_at, now + JOIN_RETRY_S)

    def due(
        self, own: Member, now: float, fleet: int, joining: bool
    ) -> list[WriteRecord | ReadPlatform]:
        """Return the platform calls that are due.

        Args:
            own: The own record.
            now: Monotonic seconds.
            fleet: How many instances there are.
            joining: Whether the platform is needed to confirm the view.
        """
        actions: list[WriteRecord | ReadPlatform] = []
        if now >= self._next_write_at:
            actions.append(self.write(own, now, fleet))
        if joining:
            self.read_soon(now)
        if now >= self._next_read_at:
            self._next_read_at = now + self._interval(LISTING_INTERVAL_S, fleet)
            actions.append(ReadPlatform())
        return actions

    def _interval(self, base_s: float, fleet: int) -> float:
        stretched_s = base_s * max(1.0, fleet / LISTING_FLEET)
        return stretched_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
