"""Actions that the membership returns for its task to execute."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.protocol.peer import (
        Heartbeat,
        ProbeReply,
        ProbeRequest,
        Suspicion,
        ViewReply,
        ViewRequest,
    )
    from almondspool.state.members import Member, MemberStatus

    Message = (
        Heartbeat | ProbeReply | ProbeRequest | Suspicion | ViewReply | ViewRequest
    )


class SendDatagram(NamedTuple):
    """Send one message to a peer address.

    Attributes:
        address: ``ip:port``.
        incarnation: The own incarnation for the envelope.
        sequence: The sequence number for the envelope.
        message: The message, alone in its datagram.
    """

    address: str
    incarnation: int
    sequence: int
    message: Message


class MemberChanged(NamedTuple):
    """A new instance, or a change of status, incarnation, readiness or load.

    Attributes:
        member: The current record.
        previous_status: The previous status; None for a new member.
    """

    member: Member
    previous_status: MemberStatus | None


class MemberForgotten(NamedTuple):
    """An instance that was dead for FORGET_AFTER_S is no longer known."""

    instance: str


class Rejoin(NamedTuple):
    """Give up all connections and leases now, as this instance was paused.

    Attributes:
        incarnation: The new incarnation, which is also the new session.
        gap_s: How long the pause was, in seconds.
    """

    incarnation: int
    gap_s: float


class BecameReady(NamedTuple):
    """View and generation are confirmed, so the instance may act.

    Attributes:
        source: ``peer``, ``platform`` or ``alone``.
    """

    source: str


class WriteRecord(NamedTuple):
    """Write the own record to the platform."""

    member: Member


class ReadPlatform(NamedTuple):
    """Read the member records and the platform's list of instances."""


class DeleteRecord(NamedTuple):
    """Delete the platform's record of an instance that was forgotten."""

    instance: str


Action = (
    SendDatagram
    | MemberChanged
    | MemberForgotten
    | Rejoin
    | BecameReady
    | WriteRecord
    | ReadPlatform
    | DeleteRecord
)
