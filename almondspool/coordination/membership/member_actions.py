"""What the membership decides to do."""

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
        message: The one message.
    """

    address: str
    incarnation: int
    sequence: int
    message: Message


class MemberChanged(NamedTuple):
    """An instance is new or changed status, incarnation or readiness.

    Attributes:
        member: The record now.
        former: The status before; None for a new member.
    """

    member: Member
    former: MemberStatus | None


class MemberForgotten(NamedTuple):
    """An instance, dead for long, is no longer known."""

    instance: str


class Rejoin(NamedTuple):
    """Give up all connections and leases now: this instance was paused.

    Attributes:
        incarnation: The new incarnation, which is also the new session.
        gap_s: How long the pause was, in seconds.
    """

    incarnation: int
    gap_s: float


class BecameReady(NamedTuple):
    """View and generation are confirmed: the instance may act.

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
    """Delete the record of an instance that has been dead for long."""

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
