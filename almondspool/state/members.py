"""Membership records of the instances."""

from __future__ import annotations

import enum
from typing import NamedTuple


class MemberStatus(enum.IntEnum):
    """What an instance believes of another; a higher one wins at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """One instance as its peers know it.

    Attributes:
        instance: Its name from the settings.
        incarnation: Grows each time it starts or re-joins.
        zone: Its availability zone.
        caller_address: ``ip:port`` for callers and operators.
        peer_address: ``ip:port`` for peers (TCP channel and UDP heartbeats).
        status: What the record says of it.
        generation: The document generation it runs.
        load: Busy share from 0.0 to 1.0.
        shares_version: The version of the connection shares it acts on; on the users'
            platform the revision of the searchers' entries that it knows.
        revision: Grows with each change of the record within one incarnation.
        session: The incarnation at which it last started or re-joined; it then held
            no connection and no lease. Refuting a suspicion leaves it as it is.
        ready: Whether its view and generation were confirmed since it joined, and
            callers may be sent to it.
        power: Its processor, in cores; 0.0 if it does not tell.
    """

    instance: str
    incarnation: int
    zone: str
    caller_address: str
    peer_address: str
    status: MemberStatus = MemberStatus.ALIVE
    generation: int = 0
    load: float = 0.0
    shares_version: int = 0
    revision: int = 0
    session: int = 0
    ready: bool = True
    power: float = 0.0

    @property
    def is_disputed(self) -> bool:
        """Whether somebody holds the instance for lost, so that it must object."""
        return self.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)


class View(NamedTuple):
    """The membership as one instance sees it at one moment."""

    members_by_instance: dict[str, Member]

    def serving(self) -> tuple[Member, ...]:
        """Return the members that may take new work, ordered by name."""
        return tuple(
            member
            for _, member in sorted(self.members_by_instance.items())
            if member.status == MemberStatus.ALIVE and member.ready
        )

    def present(self) -> tuple[Member, ...]:
        """Return the members not known to be dead or leaving, ordered by name."""
        return tuple(
            member
            for _, member in sorted(self.members_by_instance.items())
            if member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        )

    def standings(self) -> dict[str, tuple[MemberStatus, int, bool]]:
        """Return status, session and readiness by instance."""
        return {
            name: (member.status, member.session, member.ready)
            for name, member in self.members_by_instance.items()
        }

    def is_live(self, instance: str, incarnation: int) -> bool:
        """Return whether an instance may still act under an incarnation."""
        member = self.members_by_instance.get(instance)
        if member is None or member.status == MemberStatus.DEAD:
            return False
        return member.session <= incarnation
