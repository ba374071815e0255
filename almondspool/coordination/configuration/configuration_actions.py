"""Actions that the configuration returns for its task to execute."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.protocol.peer import FetchObjects, ObjectsReply
    from almondspool.state.document import Document


class SendMessage(NamedTuple):
    """Send a message to a peer.

    Attributes:
        instance: Name of the peer.
        message: A fetch of objects, or objects as a reply or a push.
    """

    instance: str
    message: FetchObjects | ObjectsReply


class ReadSections(NamedTuple):
    """Read section objects from the platform.

    Attributes:
        kind: The kind of the objects.
        names: Their names.
    """

    kind: str
    names: tuple[str, ...]


class ConfirmManifest(NamedTuple):
    """Read the platform's manifest and write it back if its version is unchanged."""


class AdoptDocument(NamedTuple):
    """Put a document in force."""

    document: Document


class LogEvent(NamedTuple):
    """Write one line to the event log.

    Attributes:
        event: Name of the event.
        fields: Its fields by name.
    """

    event: str
    fields: dict[str, object]


Action = SendMessage | ReadSections | ConfirmManifest | AdoptDocument | LogEvent
