"""Hands messages from peers to the tasks that own them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.transport.peer_channel import ChannelDown, PeerMessage

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.logs import EventLog
    from almondspool.transport.peer_channel import PeerChannels


class PeerDispatch:
    """A registry of handlers by message type, and the green thread that calls them.

    Handlers must not block: they post to the task that owns the matter.
    """

    def __init__(self, channels: PeerChannels, log: EventLog) -> None:
        """Read the inbox of the channels."""
        self._channels = channels
        self._log = log
        self._handler_by_type: dict[type, Callable[[PeerMessage], None]] = {}
        self._on_down: list[Callable[[str], None]] = []

    def register(
        self, message_type: type, handler: Callable[[PeerMessage], None]
    ) -> None:
        """Send messages of a type to a handler."""
        self._handler_by_type[message_type] = handler

    def register_down(self, handler: Callable[[str], None]) -> None:
        """Tell a handler which peer's channel closed."""
        self._on_down.append(handler)

    def run(self) -> None:
        """Dispatch for ever."""
        while True:
            item = self._channels.inbox.get()
            try:
                self._dispatch(item)
            except Exception as error:
                # One bad message must not end the dispatch of all others.
                self._log.write("peer.failed", on=_name(item), error=repr(error))

    def _dispatch(self, item: NamedTuple) -> None:
        if isinstance(item, ChannelDown):
            self._log.write("peer.down", peer=item.instance, detail=item.detail)
            for handler in self._on_down:
                handler(item.instance)
            return
        handler = self._handler_by_type.get(type(item.message))
        if handler is None:
            self._log.write("peer.unhandled", peer=item.sender, message=_name(item))
            return
        handler(item)


def _name(item: NamedTuple) -> str:
    message = item.message if isinstance(item, PeerMessage) else item
    return type(message).__name__
