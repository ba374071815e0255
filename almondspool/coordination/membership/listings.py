"""The platform's list of instances, which lags, and the times of platform calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.membership.member_actions import ReadPlatform, WriteRecord
from almondspool.state.members import Member, MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from almondspool.protocol.platform import ListedInstance

RECORD_INTERVAL_S = 300.0
LISTING_INTERVAL_S = 15.0
JOIN_RETRY_S = 2.0
WRITE_RETRY_S = 10.0
# From this fleet size on, intervals grow so that the fleet's call rate is constant.
CONSTANT_RATE_FLEET_SIZE = 8
INTERVAL_JITTER = 0.2


class PlatformListings:
    """Keeps the listed instances and the times of the next platform calls.

    Attributes:
        version: Increases with each list received.
        listed_instances: The instances in the last list.
    """

    def __init__(self, rng: random.Random) -> None:
        """Jitter the times with the given generator."""
        self._rng = rng
        self._next_write_at = 0.0
        self._next_read_at = 0.0
        self.version = 0
        self.listed_instances: frozenset[str] = frozenset()
        self._leaving_session_by_instance: dict[str, int] = {}
        self._unmarked_session_by_instance: dict[str, int] = {}

    def replace(
        self,
        listings: Iterable[ListedInstance],
        session_by_instance: Mapping[str, int],
    ) -> list[str]:
        """Replace the list; return the instances whose leaving mark changed.

        A new mark counts only for a session that an earlier read showed without it:
        as the list lags, it still shows the mark of a process that has ended.

        Args:
            listings: The platform's list.
            session_by_instance: The current session of each known instance.
        """
        listings = tuple(listings)
        previous = self._leaving_session_by_instance
        self.version += 1
        marked = {listing.instance for listing in listings if listing.leaving}
        self.listed_instances = frozenset(listing.instance for listing in listings)
        self._leaving_session_by_instance = {
            instance: session
            for instance, session in session_by_instance.items()
            if instance in marked and self._is_valid_mark(instance, session, previous)
        }
        self._unmarked_session_by_instance = {
            instance: session
            for instance, session in session_by_instance.items()
            if instance not in marked
        }
        return sorted(previous.keys() ^ self._leaving_session_by_instance.keys())

    def is_leaving(self, member: Member) -> bool:
        """Return whether the list marks this session as leaving."""
        return self._leaving_session_by_instance.get(member.instance) == member.session

    def _is_valid_mark(
        self, instance: str, session: int, previous: Mapping[str, int]
    ) -> bool:
        was_unmarked = self._unmarked_session_by_instance.get(instance) == session
        return was_unmarked or previous.get(instance) == session

    def with_leaving_mark(self, member: Member) -> Member:
        """Return a record with the list's leaving mark applied."""
        if self.is_leaving(member) and member.status < MemberStatus.LEAVING:
            return member._replace(status=MemberStatus.LEAVING)
        return member

    def write(self, own: Member, now: float, fleet_size: int) -> WriteRecord:
        """Return a write of the own record and schedule its renewal."""
        self._next_write_at = now + self._interval(RECORD_INTERVAL_S, fleet_size)
        return WriteRecord(own)

    def schedule_write_retry(self, now: float) -> None:
        """Schedule another write of the own record after a failure, with jitter."""
        self._next_write_at = now + self._interval(WRITE_RETRY_S, 1)

    def schedule_read(self, now: float) -> None:
        """Schedule a read within JOIN_RETRY_S, which also spaces repeated reads."""
        self._next_read_at = min(self._next_read_at, now + JOIN_RETRY_S)

    def due_calls(
        self, own: Member, now: float, fleet_size: int, is_joining: bool
    ) -> list[WriteRecord | ReadPlatform]:
        """Return the platform calls that are due.

        Args:
            own: The own record.
            now: Monotonic seconds.
            fleet_size: How many instances there are.
            is_joining: Whether the platform is needed to confirm the view.
        """
        actions: list[WriteRecord | ReadPlatform] = []
        if now >= self._next_write_at:
            actions.append(self.write(own, now, fleet_size))
        if is_joining:
            self.schedule_read(now)
        if now >= self._next_read_at:
            self._next_read_at = now + self._interval(LISTING_INTERVAL_S, fleet_size)
            actions.append(ReadPlatform())
        return actions

    def _interval(self, base_s: float, fleet_size: int) -> float:
        stretched_s = base_s * max(1.0, fleet_size / CONSTANT_RATE_FLEET_SIZE)
        return stretched_s * self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
