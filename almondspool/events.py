"""In-process event bus."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Event names. The payload of each is the action or message given beside it.
MEMBER_VIEW_CHANGED = "view.changed"  # MemberChanged or MemberForgotten
MEMBER_REJOINED = "member.rejoined"  # Rejoin
MEMBER_READY = "member.ready"  # BecameReady
REQUEST_SUSPECTED = "request.suspected"  # Suspicion, as received from a peer


class EventBus:
    """Calls the subscribers of an event, in the green thread that emits it."""

    def __init__(self) -> None:
        """Start without subscribers."""
        self._callbacks_by_name: dict[str, list[Callable[[object], None]]]
        self._callbacks_by_name = collections.defaultdict(list)

    def subscribe(self, name: str, callback: Callable[[object], None]) -> None:
        """Register a callback that gets the payload of each event of this name."""
        self._callbacks_by_name[name].append(callback)

    def emit(self, name: str, payload: object) -> None:
        """Call the subscribers of an event in subscription order."""
        for callback in tuple(self._callbacks_by_name[name]):
            callback(payload)
