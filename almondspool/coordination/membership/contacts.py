"""Choice of the addresses to contact, to join or to find members out of contact."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.peer import ViewRequest

if TYPE_CHECKING:
    import random

    from almondspool.coordination.membership.gossip import Gossip
    from almondspool.coordination.membership.joining import JoinState
    from almondspool.coordination.membership.member_actions import SendDatagram
    from almondspool.coordination.membership.member_table import MemberTable

# How many live members, and how many other addresses, are contacted at once to join. As
# many live members get a heartbeat when the own readiness or load level changes.
CONTACT_FANOUT = 3


class PeerContacts:
    """Chooses the addresses to contact and requests the pages of a peer's view."""

    def __init__(
        self, table: MemberTable, gossip: Gossip, joining: JoinState, rng: random.Random
    ) -> None:
        """Create the contacts of one instance.

        Args:
            table: The records of the members.
            gossip: Builds the datagrams.
            joining: The candidate addresses, at which an instance may be found.
            rng: Source of the random choice.
        """
        self._table = table
        self._gossip = gossip
        self._joining = joining
        self._rng = rng

    def contact_sample(self) -> list[SendDatagram]:
        """Return heartbeats to a random few live members and a few other addresses."""
        peers = self._gossip.sample_alive(CONTACT_FANOUT)
        heartbeats = self._gossip.bare_heartbeats(
            member.peer_address for member in peers
        )
        return [*heartbeats, *self.contact_inactive_addresses(CONTACT_FANOUT)]

    def contact_inactive_addresses(self, count: int) -> list[SendDatagram]:
        """Return heartbeats to random addresses at which no live member is known.

        These are the addresses of dead members and the candidates.

        Args:
            count: Maximum number of addresses.
        """
        live_addresses = {member.peer_address for member in self._table.live_members()}
        members = self._table.members_by_instance.values()
        inactive = {member.peer_address for member in members}
        inactive |= {candidate.address for candidate in self._joining.candidates()}
        inactive -= live_addresses
        chosen = self._rng.sample(sorted(inactive), min(count, len(inactive)))
        return self._gossip.bare_heartbeats(chosen)

    def request_page(self, address: str, after: str, now: float) -> SendDatagram:
        """Return a request for the page of a peer's view that follows a given name.

        Args:
            address: ``ip:port`` of the peer.
            after: The last name of the previous page, empty for the first page.
            now: Monotonic seconds.
        """
        datagram = self._gossip.make_datagram(address, ViewRequest(after))
        self._joining.record_page_request(datagram.sequence, now)
        return datagram
