"""Choice of the addresses to contact for joining and for finding lost members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.peer import ViewRequest

if TYPE_CHECKING:
    import random

    from almondspool.coordination.membership.gossip import Gossip
    from almondspool.coordination.membership.joining import JoinState
    from almondspool.coordination.membership.member_actions import SendDatagram
    from almondspool.coordination.membership.member_table import MemberTable

JOIN_FANOUT = 3


class PeerContacts:
    """Chooses the addresses to contact and requests the pages of a peer's view."""

    def __init__(
        self, table: MemberTable, gossip: Gossip, joining: JoinState, rng: random.Random
    ) -> None:
        """Choose among members and candidates.

        Args:
            table: The records of the members.
            gossip: Builds the datagrams.
            joining: The addresses at which an instance may be found.
            rng: Source of the random choice.
        """
        self._table = table
        self._gossip = gossip
        self._joining = joining
        self._rng = rng

    def contact_some(self) -> list[SendDatagram]:
        """Send heartbeats to a few live members and to a few other addresses."""
        peers = self._gossip.sample_alive(JOIN_FANOUT)
        heartbeats = self._gossip.bare_heartbeats(
            member.peer_address for member in peers
        )
        return [*heartbeats, *self.contact_lost(JOIN_FANOUT)]

    def contact_lost(self, count: int) -> list[SendDatagram]:
        """Send heartbeats to at most ``count`` addresses without a live member."""
        live_addresses = {member.peer_address for member in self._table.live_members()}
        members = self._table.members_by_instance.values()
        lost = {member.peer_address for member in members}
        lost |= {candidate.address for candidate in self._joining.candidates()}
        lost -= live_addresses
        chosen = self._rng.sample(sorted(lost), min(count, len(lost)))
        return self._gossip.bare_heartbeats(chosen)

    def request_page(self, address: str, after: str, now: float) -> SendDatagram:
        """Request from a peer the members whose names come after a given one.

        Args:
            address: ``ip:port`` of the peer.
            after: The last name of the previous page, empty for the first page.
            now: Monotonic seconds.
        """
        datagram = self._gossip.send(address, ViewRequest(after))
        self._joining.record_page_request(datagram.sequence, now)
        return datagram
