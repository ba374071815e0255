"""Table of member records, their merge rule and the queue of changes to gossip."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from almondspool.state.members import Member, MemberStatus

if TYPE_CHECKING:
    import random

# Keeps a datagram within one packet.
MAX_DATAGRAM_BYTES = 1200
# Size of signature, envelope and message frame with the longest instance name.
FRAME_BYTES = 200
# In how many heartbeats a changed record is sent at least, also in a small fleet.
MIN_TRANSMISSIONS = 4
# A load that crosses a multiple of this is gossiped at once; smaller changes are sent
# with the instance's own heartbeats only.
LOAD_LEVEL_STEP = 0.25


def record_bytes(member: Member) -> int:
    """Return the encoded size of a record in bytes."""
    return len(msgspec.msgpack.encode(member))


def without_addresses(member: Member) -> Member:
    """Return a copy without zone and addresses, which most peers know already."""
    return member._replace(zone="", caller_address="", peer_address="")


def with_known_addresses(received: Member, known: Member | None) -> Member | None:
    """Return a received record with zone and addresses; None if they are unknown.

    Args:
        received: The record; its peer address is empty if it was sent without them.
        known: The known record of the instance, from which they are taken.
    """
    if received.peer_address:
        return received
    if known is None:
        return None
    return received._replace(
        zone=known.zone,
        caller_address=known.caller_address,
        peer_address=known.peer_address,
    )


def merge(known: Member, received: Member) -> Member:
    """Merge a received record of an instance into the known one.

    A higher incarnation replaces all fields. Within one incarnation the higher status
    wins and the other fields come from the higher revision.
    """
    if received.incarnation != known.incarnation:
        return max(known, received, key=lambda record: record.incarnation)
    newest = max(known, received, key=lambda record: record.revision)
    return newest._replace(status=max(known.status, received.status))


class _Delta(NamedTuple):
    """A changed record to send; deltas sort in the order in which to send them.

    Attributes:
        send_count: How many times it was sent.
        order: Negative number of the change, so that the latest change sorts first.
        instance: The instance whose record changed.
        omits_addresses: Whether it is sent without the addresses, which most members
            know already; the others get them from the random records in heartbeats.
    """

    send_count: int
    order: int
    instance: str
    omits_addresses: bool


class MemberTable:
    """Records of the other instances, and the queue of those to gossip.

    A changed record is sent in a number of heartbeats that grows with the logarithm of
    the number of members.

    Attributes:
        own: The own record, which every heartbeat carries.
        members_by_instance: The records of the other instances.
        changed_at_by_instance: Monotonic seconds of the last significant change, which
            put() also queues.
        version: Increases with each change of members_by_instance.
    """

    def __init__(self, own: Member) -> None:
        """Start with the own record only."""
        self.own = own
        self.members_by_instance: dict[str, Member] = {}
        self.changed_at_by_instance: dict[str, float] = {}
        self.version = 0
        self._delta_by_instance: dict[str, _Delta] = {}
        self._change_count = 0

    def get(self, instance: str) -> Member | None:
        """Return the record of an instance, if known."""
        return self.members_by_instance.get(instance)

    def put(self, member: Member, now: float) -> bool:
        """Merge a record; return whether the change is significant and so queued."""
        previous = self.get(member.instance)
        merged = merge(previous, member) if previous else member
        if merged != previous:
            self.version += 1
        self.members_by_instance[member.instance] = merged
        if previous is not None and not _is_significant(previous, merged):
            return False
        self.changed_at_by_instance[member.instance] = now
        self._change_count += 1
        # A new instance's addresses are kept in its delta as long as that is pending.
        pending = self._delta_by_instance.get(member.instance)
        is_known = previous is not None and previous.incarnation == merged.incarnation
        omits_addresses = is_known and (pending is None or pending.omits_addresses)
        omits_addresses |= merged.status != MemberStatus.ALIVE
        delta = _Delta(0, -self._change_count, member.instance, omits_addresses)
        self._delta_by_instance[member.instance] = delta
        return True

    def forget(self, instance: str) -> None:
        """Drop the record of an instance and its pending delta."""
        self.version += 1
        self.members_by_instance.pop(instance, None)
        self.changed_at_by_instance.pop(instance, None)
        self._delta_by_instance.pop(instance, None)

    def names_with_status(self, *statuses: MemberStatus) -> list[str]:
        """Return the sorted names of the instances with one of the statuses."""
        return sorted(
            instance
            for instance, member in self.members_by_instance.items()
            if member.status in statuses
        )

    def live_members(self) -> list[Member]:
        """Return the records of the other instances that are not dead, by name."""
        return [
            member
            for _, member in sorted(self.members_by_instance.items())
            if member.status != MemberStatus.DEAD
        ]

    def transmission_count(self) -> int:
        """Return in how many heartbeats a changed record is sent."""
        rounds = math.ceil(math.log2(len(self.members_by_instance) + 2))
        return max(MIN_TRANSMISSIONS, rounds)

    def pending_count(self) -> int:
        """Return how many changed records are still to be sent."""
        return len(self._delta_by_instance)

    def select_deltas(self, target: str, budget_bytes: int) -> list[Member]:
        """Return the least often sent deltas that fit, and count them as sent.

        Args:
            target: The receiver, whose own record is left out.
            budget_bytes: Maximum size of all of them together.
        """
        selected = []
        for delta in sorted(self._delta_by_instance.values()):
            if delta.instance == target:
                continue
            member = self.members_by_instance[delta.instance]
            if delta.omits_addresses:
                member = without_addresses(member)
            size = record_bytes(member)
            if size > budget_bytes:
                break
            budget_bytes -= size
            selected.append(member)
            self._count_sent(delta)
        return selected

    def sample(
        self, rng: random.Random, count: int, skip: frozenset[str]
    ) -> list[Member]:
        """Return random records of instances not dead, to make up for lost deltas."""
        names = [
            instance
            for instance, member in self.members_by_instance.items()
            if member.status != MemberStatus.DEAD and instance not in skip
        ]
        chosen = rng.sample(names, min(count, len(names)))
        return [self.members_by_instance[instance] for instance in chosen]

    def page(self, after: str, budget_bytes: int) -> tuple[tuple[Member, ...], bool]:
        """Return the records after a name that fit, and whether they are the last.

        The page has at least one record, unless there is none after the name.
        """
        names = sorted(name for name in self.members_by_instance if name > after)
        page: list[Member] = []
        for name in names:
            member = self.members_by_instance[name]
            budget_bytes -= record_bytes(member)
            if budget_bytes < 0 and page:
                return tuple(page), False
            page.append(member)
        return tuple(page), True

    def _count_sent(self, delta: _Delta) -> None:
        send_count = delta.send_count + 1
        if send_count >= self.transmission_count():
            del self._delta_by_instance[delta.instance]
            return
        self._delta_by_instance[delta.instance] = delta._replace(send_count=send_count)


def load_level(member: Member) -> int:
    """Return a load as a number of steps of LOAD_LEVEL_STEP, rounded down."""
    return int(member.load / LOAD_LEVEL_STEP)


def _is_significant(previous: Member, merged: Member) -> bool:
    return (
        previous.incarnation != merged.incarnation
        or previous.status != merged.status
        or previous.ready != merged.ready
        or load_level(previous) != load_level(merged)
    )
