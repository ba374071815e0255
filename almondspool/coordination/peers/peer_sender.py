"""Sending of messages to peers by instance name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NamedTuple

    from almondspool.state.members import View
    from almondspool.transport.peer_channel import PeerChannels


class PeerSender:
    """Sends messages to peers at their addresses in the current membership."""

    def __init__(
        self, instance: str, channels: PeerChannels, view: Callable[[], View]
    ) -> None:
        """Initialize the sender of an instance.

        Args:
            instance: Name of this instance.
            channels: Channels to peers.
            view: Returns the current view of the membership.
        """
        self._instance = instance
        self._channels = channels
        self._view = view

    def send(self, instance: str, message: NamedTuple) -> bool:
        """Queue a message to a peer; False if it is unknown or its queue is full."""
        member = self._view().members_by_instance.get(instance)
        if member is None:
            return False
        return self._channels.send(instance, member.peer_address, message)

    def send_all(self, message: NamedTuple) -> frozenset[str]:
        """Queue a message to every present peer whose queue is not full.

        Returns:
            The instances to which it was queued.
        """
        return frozenset(
            member.instance
            for member in self._view().present()
            if member.instance != self._instance
            and self._channels.send(member.instance, member.peer_address, message)
        )

    def close_dead_channels(self) -> None:
        """Close the channels to dead peers."""
        for member in self._view().members_by_instance.values():
            if member.status == MemberStatus.DEAD:
                self._channels.drop(member.instance)
