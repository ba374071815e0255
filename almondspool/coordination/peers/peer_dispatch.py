"""Dispatch of peer messages to their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.transport.peer_channel import ChannelDown, PeerMessage

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.logs import EventLog
    from almondspool.transport.peer_channel import PeerChannels


class PeerDispatcher:
    """Registry of handlers by message type, and the loop that calls them.

    Handlers must not block: they post to the inbox of the task concerned.
    """

    def __init__(self, channels: PeerChannels, log: EventLog) -> None:
        """Initialize without handlers.

        Args:
            channels: Channels to peers, whose inbox is read.
            log: Event log.
        """
        self._channels = channels
        self._log = log
        self._handler_by_type: dict[type, Callable[[PeerMessage], None]] = {}
        self._channel_down_handlers: list[Callable[[str], None]] = []

    def register(
        self, message_type: type, handler: Callable[[PeerMessage], None]
    ) -> None:
        """Register the handler of a message type."""
        self._handler_by_type[message_type] = handler

    def register_channel_down(self, handler: Callable[[str], None]) -> None:
        """Register a handler called with the peer whose channel has closed."""
        self._channel_down_handlers.append(handler)

    def run(self) -> None:
        """Dispatch messages forever."""
        while True:
            item = self._channels.inbox.get()
            try:
                self._dispatch(item)
            except Exception as error:
                # An invalid message must not prevent the dispatch of later ones.
                self._log.write(
                    "peer.failed", on=_message_type_name(item), error=repr(error)
                )

    def _dispatch(self, item: NamedTuple) -> None:
        if isinstance(item, ChannelDown):
            self._log.write("peer.down", peer=item.instance, detail=item.detail)
            for handler in self._channel_down_handlers:
                handler(item.instance)
            return
        handler = self._handler_by_type.get(type(item.message))
        if handler is None:
            self._log.write(
                "peer.unhandled", peer=item.sender, message=_message_type_name(item)
            )
            return
        handler(item)


def _message_type_name(item: NamedTuple) -> str:
    message = item.message if isinstance(item, PeerMessage) else item
    return type(message).__name__
