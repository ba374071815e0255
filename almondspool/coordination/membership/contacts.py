"""Choice of the addresses to contact for joining and for finding lost members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.peer import ViewRequest

if TYPE_CHECKING:
    import random

    from almondspool.coordination.membership.gossip import Gossip
    from almondspool.coordination.membership.joining import Joining
    from almondspool.coordination.membership.member_actions import SendDatagram
    from almondspool.coordination.membership.member_table import MemberTable

JOIN_FANOUT = 3


class Contacts:
    """Chooses the addresses to contact and requests the pages of a peer's view."""

    def __init__(
        self, table: MemberTable, gossip: Gossip, joining: Joining, rng: random.Random
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

    def greet_some(self) -> list[SendDatagram]:
        """Send heartbeats to a few live members and to a few other addresses."""
        present = self._gossip.pick(JOIN_FANOUT)
        greetings = self._gossip.greet(member.peer_address for member in present)
        return [*greetings, *self.greet_lost(JOIN_FANOUT)]

    def greet_lost(self, count: int) -> list[SendDatagram]:
        """Send heartbeats to at most ``count`` addresses without a live member."""
        living = {member.peer_address for member in self._table.living()}
        members = self._table.members_by_instance.values()
        lost = {member.peer_address for member in members}
        lost |= {candidate.address for candidate in self._joining.candidates()}
        lost -= living
        chosen = self._rng.sample(sorted(lost), min(count, len(lost)))
        return self._gossip.greet(chosen)

    def ask_page(self, address: str, after: str, now: float) -> SendDatagram:
        """Request from a peer the members whose names come after a given one.

        Args:
            address: ``ip:port`` of the peer.
            after: The last name of the previous page, empty for the first page.
            now: Monotonic seconds.
        """
        send = self._gossip.send(address, ViewRequest(after))
        self._joining.page_asked(send.sequence, now)
        return send
