"""Membership records of the instances."""

from __future__ import annotations

import enum
from typing import NamedTuple


class MemberStatus(enum.IntEnum):
    """Status of a member; at the same incarnation the higher value overrides."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """Membership record of one instance.

    Attributes:
        instance: The instance's name from its settings.
        incarnation: Increased each time it starts, re-joins or refutes a suspicion.
        zone: Availability zone.
        caller_address: ``ip:port`` for callers and operators.
        peer_address: ``ip:port`` for peers (TCP channel and UDP heartbeats).
        status: Status according to this record.
        generation: Generation of the document that it has in force.
        load: Utilization from 0.0 to 1.0.
        shares_version: Version of the connection shares that it applies; on the users'
            platform the position of the searchers' entries that it has read.
        revision: Increased by each change of the record within one incarnation.
        session: The incarnation at which it last started or re-joined; it then held
            no connection and no lease. Refuting a suspicion does not change it.
        ready: Whether its view and generation were confirmed since it joined, so
            that callers may be sent to it.
        cpu_cores: CPU capacity in cores; 0.0 if it does not report one.
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
    cpu_cores: float = 0.0

    @property
    def needs_refutation(self) -> bool:
        """Whether the instance, if it runs, must refute the status in this record."""
        return self.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)


class View(NamedTuple):
    """The membership as one instance sees it at one moment."""

    members_by_instance: dict[str, Member]

    def serving(self) -> tuple[Member, ...]:
        """Return the members that may receive new work, ordered by name."""
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

    def states_by_instance(self) -> dict[str, tuple[MemberStatus, int, bool]]:
        """Return status, session and readiness by instance."""
        return {
            name: (member.status, member.session, member.ready)
            for name, member in self.members_by_instance.items()
        }

    def is_live(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation of an instance may still be running."""
        member = self.members_by_instance.get(instance)
        if member is None or member.status == MemberStatus.DEAD:
            return False
        return member.session <= incarnation
