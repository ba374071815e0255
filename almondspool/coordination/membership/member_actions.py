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
        address: ``ip:port`` of the peer.
        incarnation: The own incarnation for the envelope.
        sequence: The sequence number for the envelope.
        message: The message, alone in its datagram.
    """

    address: str
    incarnation: int
    sequence: int
    message: Message


class MemberChanged(NamedTuple):
    """A new instance, or a significant change of the record of a known one.

    The status, incarnation, readiness or load level changed.

    Attributes:
        member: The current record.
        previous_status: The previous status; None for a new member.
    """

    member: Member
    previous_status: MemberStatus | None


class MemberForgotten(NamedTuple):
    """The record of an instance that was dead for FORGET_AFTER_S was removed."""

    instance: str


class Rejoin(NamedTuple):
    """Give up all connections and leases now, and join again.

    This instance was paused for longer than its lease, or an earlier process of it
    used a higher incarnation.

    Attributes:
        incarnation: The new incarnation, which is also the new session.
        gap_s: How long the pause was, in seconds; 0.0 if there was none.
    """

    incarnation: int
    gap_s: float


class BecameReady(NamedTuple):
    """View and document generation are confirmed, so the instance may act.

    Attributes:
        source: How the view was confirmed: ``peer``, ``platform`` or ``alone``; see
            JoinState.
    """

    source: str


class WriteRecord(NamedTuple):
    """Write the own record to the platform."""

    member: Member


class ReadRecordsAndListing(NamedTuple):
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
    | ReadRecordsAndListing
    | DeleteRecord
)
