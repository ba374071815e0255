"""Which addresses an instance greets to join and to find members it lost."""

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
    """Chooses whom to greet and asks for the pages of a peer's view."""

    def __init__(
        self, table: MemberTable, gossip: Gossip, joining: Joining, rng: random.Random
    ) -> None:
        """Choose among members and candidates.

        Args:
            table: The records of the members.
            gossip: Writes the datagrams.
            joining: The addresses at which an instance may be found.
            rng: Draws the addresses.
        """
        self._table = table
        self._gossip = gossip
        self._joining = joining
        self._rng = rng

    def greet_some(self) -> list[SendDatagram]:
        """Greet a few live members and a few addresses without a live member."""
        present = self._gossip.pick(JOIN_FANOUT)
        greetings = self._gossip.greet(member.peer_address for member in present)
        return [*greetings, *self.greet_lost(JOIN_FANOUT)]

    def greet_lost(self, count: int) -> list[SendDatagram]:
        """Greet up to so many addresses without a live member."""
        living = {member.peer_address for member in self._table.living()}
        members = self._table.members_by_instance.values()
        lost = {member.peer_address for member in members}
        lost |= {candidate.address for candidate in self._joining.candidates()}
        lost -= living
        chosen = self._rng.sample(sorted(lost), min(count, len(lost)))
        return self._gossip.greet(chosen)

    def ask_page(self, address: str, after: str, now: float) -> SendDatagram:
        """Ask a peer for the members after a name.

        Args:
            address: ``ip:port`` of the peer.
            after: The last name of the page before, empty for the first page.
            now: Monotonic seconds.
        """
        send = self._gossip.send(address, ViewRequest(after))
        self._joining.page_asked(send.sequence, now)
        return send
