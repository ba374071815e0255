"""The platform's list of instances, and the times of the membership's platform calls.

The list is updated late: it may still show an instance as it was some time ago.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.membership.member_actions import (
    ReadRecordsAndListing,
    WriteRecord,
)
from almondspool.state.members import Member, MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from almondspool.protocol.platform import ListedInstance

# How often the own record is written again, although it did not change.
RECORD_WRITE_INTERVAL_S = 300.0
# How often the member records and the list of instances are read.
PLATFORM_READ_INTERVAL_S = 15.0
# Maximum delay of the next read, and so the interval of repeated reads, while the view
# is not confirmed or a peer reports a status of this instance that the list explains.
EARLY_READ_DELAY_S = 2.0
RECORD_WRITE_RETRY_S = 10.0
# From this number of instances on, the intervals grow in proportion to it, so that the
# call rate of the whole fleet is constant.
CONSTANT_RATE_FLEET_SIZE = 8
# Intervals are varied by up to this fraction in both directions.
INTERVAL_JITTER_FRACTION = 0.2


class PlatformListings:
    """Keeps the last list of instances and the times of the next platform calls.

    Attributes:
        version: Number of lists received.
        listed_instances: The instances in the last list.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without a list; ``rng`` is the source of the jitter of the times."""
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

        As the list is updated late, it may still show the mark of an earlier process of
        an instance. A new mark therefore counts only if an earlier list showed the same
        session without it.

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
            if instance in marked and self._is_current_mark(instance, session, previous)
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

    def _is_current_mark(
        self, instance: str, session: int, previous: Mapping[str, int]
    ) -> bool:
        was_unmarked = self._unmarked_session_by_instance.get(instance) == session
        return was_unmarked or previous.get(instance) == session

    def with_leaving_mark(self, member: Member) -> Member:
        """Return a record, with status LEAVING if the list marks it as leaving."""
        if self.is_leaving(member) and member.status < MemberStatus.LEAVING:
            return member._replace(status=MemberStatus.LEAVING)
        return member

    def write_record(self, own: Member, now: float, fleet_size: int) -> WriteRecord:
        """Return the action to write the own record, and schedule the next write."""
        self._next_write_at = now + self._jittered_interval_s(
            RECORD_WRITE_INTERVAL_S, fleet_size
        )
        return WriteRecord(own)

    def schedule_write_retry(self, now: float) -> None:
        """Schedule the next write of the own record after a failed one."""
        self._next_write_at = now + self._jittered_interval_s(RECORD_WRITE_RETRY_S, 1)

    def schedule_read(self, now: float) -> None:
        """Schedule a read after EARLY_READ_DELAY_S, unless one is due earlier."""
        self._next_read_at = min(self._next_read_at, now + EARLY_READ_DELAY_S)

    def due_calls(
        self, own: Member, now: float, fleet_size: int, needs_read: bool
    ) -> list[WriteRecord | ReadRecordsAndListing]:
        """Return the platform calls that are due, and schedule the next ones.

        Args:
            own: The own record.
            now: Monotonic seconds.
            fleet_size: How many instances there are, this one included.
            needs_read: Whether a read of the platform is needed to confirm the view.
        """
        actions: list[WriteRecord | ReadRecordsAndListing] = []
        if now >= self._next_write_at:
            actions.append(self.write_record(own, now, fleet_size))
        if needs_read:
            self.schedule_read(now)
        if now >= self._next_read_at:
            self._next_read_at = now + self._jittered_interval_s(
                PLATFORM_READ_INTERVAL_S, fleet_size
            )
            actions.append(ReadRecordsAndListing())
        return actions

    def _jittered_interval_s(self, base_s: float, fleet_size: int) -> float:
        scaled_s = base_s * max(1.0, fleet_size / CONSTANT_RATE_FLEET_SIZE)
        return scaled_s * self._rng.uniform(
            1 - INTERVAL_JITTER_FRACTION, 1 + INTERVAL_JITTER_FRACTION
        )
