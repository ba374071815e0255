"""Actions that the configuration returns for its task to execute."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.protocol.peer import FetchObjects, ObjectsReply
    from almondspool.state.document import Document


class SendMessage(NamedTuple):
    """Send a message to a peer instance."""

    instance: str
    message: FetchObjects | ObjectsReply


class ReadPlatform(NamedTuple):
    """Read objects from the platform."""

    kind: str
    names: tuple[str, ...]


class ConfirmManifest(NamedTuple):
    """Read the platform's manifest and write it back if its version is unchanged."""


class AdoptDocument(NamedTuple):
    """Run this document from now on."""

    document: Document


class LogEvent(NamedTuple):
    """Write one line to the event log."""

    event: str
    fields: dict[str, object]


Action = SendMessage | ReadPlatform | ConfirmManifest | AdoptDocument | LogEvent
