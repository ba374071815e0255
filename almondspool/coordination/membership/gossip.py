"""Construction of the membership's datagrams, each within the size of one packet.

A delta is a changed member record that is sent along in heartbeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.membership.member_actions import SendDatagram
from almondspool.coordination.membership.member_table import (
    FRAME_BYTES,
    MAX_DATAGRAM_BYTES,
    without_addresses,
)
from almondspool.protocol.peer import Heartbeat, ViewReply
from almondspool.state.members import Member, MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from almondspool.coordination.membership.member_actions import Message
    from almondspool.coordination.membership.member_table import MemberTable

SAMPLES_PER_HEARTBEAT = 1
# Maximum size of the deltas of one heartbeat. Keeps an instance's traffic below 3 KB a
# second, however many changes are pending.
MAX_DELTA_BYTES = 400
# The limit while more than BURST_THRESHOLD_DELTAS changes are pending, as when all
# instances of a fleet start at once and there is a change for each member. It is the
# space that a datagram has beside two records, the own one and the sample.
MAX_BURST_DELTA_BYTES = 750
BURST_THRESHOLD_DELTAS = 8


class Gossip:
    """Builds the datagrams of one instance and numbers them in sequence."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        """Take records from the table and choose peers with the random generator."""
        self._table = table
        self._rng = rng
        self._sequence = 0

    def make_datagram(self, address: str, message: Message) -> SendDatagram:
        """Return a message as a datagram with the next sequence number."""
        self._sequence += 1
        incarnation = self._table.own.incarnation
        return SendDatagram(address, incarnation, self._sequence, message)

    def heartbeat(
        self, target: str, address: str, is_ack: bool = False, echo: int = 0
    ) -> SendDatagram:
        """Return a heartbeat or ack with pending changes and a sampled record.

        Args:
            target: The instance that receives it.
            address: Its peer address, ``ip:port``.
            is_ack: Whether it acknowledges a heartbeat.
            echo: The sequence number of the acknowledged heartbeat; 0 if none.
        """
        deltas = self._suspicion_of(target)
        is_burst = self._table.pending_count() > BURST_THRESHOLD_DELTAS
        budget_bytes = MAX_BURST_DELTA_BYTES if is_burst else MAX_DELTA_BYTES
        pending = self._table.select_deltas(target, budget_bytes)
        skip = frozenset(member.instance for member in pending) | {target}
        samples = self._table.sample(self._rng, SAMPLES_PER_HEARTBEAT, skip)
        deltas += [*pending, *samples]
        return self.make_datagram(
            address, Heartbeat(self._table.own, tuple(deltas), is_ack, echo)
        )

    def heartbeat_to(self, member: Member) -> SendDatagram:
        """Return a heartbeat to a known member."""
        return self.heartbeat(member.instance, member.peer_address)

    def suspicion_heartbeat(self, member: Member) -> SendDatagram:
        """Return a heartbeat to a member that may have failed.

        It carries only the status that the member must refute: other changes would
        count as sent, and be lost if the member does not receive them.
        """
        deltas = tuple(self._suspicion_of(member.instance))
        return self.make_datagram(
            member.peer_address, Heartbeat(self._table.own, deltas, False, 0)
        )

    def bare_heartbeats(self, addresses: Iterable[str]) -> list[SendDatagram]:
        """Return heartbeats without deltas, to join or to find lost members."""
        heartbeat = Heartbeat(self._table.own, (), False, 0)
        return [self.make_datagram(address, heartbeat) for address in addresses]

    def heartbeats_to_sample(self, count: int) -> list[SendDatagram]:
        """Return heartbeats to at most ``count`` random ALIVE members."""
        return [self.heartbeat_to(peer) for peer in self.sample_alive(count)]

    def sample_alive(self, count: int, skip: str = "") -> list[Member]:
        """Return at most ``count`` random ALIVE members other than ``skip``."""
        names = self._table.names_with_status(MemberStatus.ALIVE)
        names = [name for name in names if name != skip]
        chosen = self._rng.sample(names, min(count, len(names)))
        return [self._table.members_by_instance[name] for name in chosen]

    def view_page(self, address: str, after: str, echo: int) -> SendDatagram:
        """Return a view reply with as many members after a name as fit a datagram."""
        members, last = self._table.page(after, MAX_DATAGRAM_BYTES - FRAME_BYTES)
        return self.make_datagram(address, ViewReply(members, last, echo))

    def _suspicion_of(self, target: str) -> list[Member]:
        # The target can refute a status only if it receives that.
        known = self._table.get(target)
        if known is None or known.status == MemberStatus.ALIVE:
            return []
        return [without_addresses(known)]
