"""Sends messages to peers by name, at the addresses of the present membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NamedTuple

    from almondspool.state.members import View
    from almondspool.transport.peer_channel import PeerChannels


class PeerSender:
    """Looks up the address of each peer that a message is for."""

    def __init__(
        self, instance: str, channels: PeerChannels, view: Callable[[], View]
    ) -> None:
        """Send for an instance.

        Args:
            instance: The own instance.
            channels: The channels to peers.
            view: Returns the present membership.
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

    def send_all(self, message: NamedTuple) -> None:
        """Queue a message to every peer that is present."""
        for member in self._view().present():
            if member.instance != self._instance:
                self._channels.send(member.instance, member.peer_address, message)

    def close_dead_channels(self) -> None:
        """Close the channels to peers that are dead."""
        for member in self._view().members_by_instance.values():
            if member.status == MemberStatus.DEAD:
                self._channels.drop(member.instance)
