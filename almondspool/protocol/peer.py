"""Messages between instances, their codec and their authentication."""

from __future__ import annotations

import hmac
from typing import Annotated, NamedTuple

import msgspec

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.protocol.claims import MAX_RECORDED_ANSWER_BYTES, ClaimOp, ClaimState
from almondspool.protocol.fleet import InstanceSummary
from almondspool.protocol.upstream import Leg, LegResult
from almondspool.state.members import Member

PROTOCOL_VERSION = 1
# Length of an HMAC with SHA-256.
SIGNATURE_BYTES = 32
# Twice the largest reply of an upstream, whose results are sent in one message.
MAX_ENVELOPE_BYTES = 64 * 1024 * 1024
MAX_DETAIL_CHARS = 512

_Detail = Annotated[str, msgspec.Meta(max_length=MAX_DETAIL_CHARS)]
_Token = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Answer = Annotated[bytes, msgspec.Meta(max_length=MAX_RECORDED_ANSWER_BYTES)]


class LegAssignment(NamedTuple):
    """A leg and the upstream to run it.

    Attributes:
        upstream_id: The upstream.
        leg: The leg.
        is_exclusive: Whether the leg must not share an exchange with other legs.
    """

    upstream_id: str
    leg: Leg
    is_exclusive: bool = False


class LegBatch(NamedTuple):
    """Legs to run for the sender, over connections that the receiver holds.

    Attributes:
        batch_id: Unique at the sender.
        priority: Priority of the request, as a number.
        assignments: The legs.
    """

    batch_id: str
    priority: int
    assignments: tuple[LegAssignment, ...]


class LegResults(NamedTuple):
    """Results returned to the instance that sent the legs."""

    results: tuple[LegResult, ...]


class CancelLegs(NamedTuple):
    """Legs whose results are no longer wanted."""

    leg_ids: tuple[str, ...]


class FetchObjects(NamedTuple):
    """Request for propagated objects, sections or shares, by kind and name."""

    kind: str
    names: tuple[str, ...]


class CompareObjects(NamedTuple):
    """Request for the objects of a kind of which a peer has a newer version.

    Attributes:
        kind: The kind of the objects.
        versions_by_name: Versions of all objects of the kind that the sender has.
    """

    kind: str
    versions_by_name: dict[str, int]


class ReplicatedObject(NamedTuple):
    """An object that is propagated among instances.

    Attributes:
        kind: ``manifest``, ``section`` or ``shares``.
        name: Unique within the kind.
        version: A higher version replaces a lower one, never the reverse.
        value: The content as stored in the platform.
    """

    kind: str
    name: str
    version: int
    value: bytes


class ObjectsReply(NamedTuple):
    """Objects that the receiver requested, or that the sender pushes."""

    objects: tuple[ReplicatedObject, ...]


class Suspicion(NamedTuple):
    """A request suspected of crashing upstreams.

    Attributes:
        fingerprint: Digest of the request's content.
        crashes: Number of upstreams known to have cut off their reply to it.
        upstream_id: The last of these upstreams.
        expires_ms: When the suspicion expires, in ms since the epoch.
    """

    fingerprint: str
    crashes: int
    upstream_id: str
    expires_ms: int


class Heartbeat(NamedTuple):
    """A UDP datagram with the sender's membership record and changes to others.

    Attributes:
        member: The sender's own record.
        deltas: Records that changed recently.
        is_ack: Whether it acknowledges another heartbeat.
        echo: Sequence number of the acknowledged heartbeat; 0 if it is no
            acknowledgement.
    """

    member: Member
    deltas: tuple[Member, ...]
    is_ack: bool
    echo: int


class ProbeRequest(NamedTuple):
    """Request to send a heartbeat to a target that did not answer the sender.

    Attributes:
        target: The instance to probe.
        address: The target's peer address.
        echo: Sequence number of the unanswered heartbeat.
    """

    target: str
    address: str
    echo: int


class ProbeReply(NamedTuple):
    """Reply to a probe request: the target answered.

    Attributes:
        member: The target's own record, from its answer.
        echo: The echo of the request.
    """

    member: Member
    echo: int


class ViewRequest(NamedTuple):
    """Request for a page of the receiver's members, whose names sort after a name."""

    after: str


class ViewReply(NamedTuple):
    """A page of the sender's members, ordered by name.

    Attributes:
        members: The records.
        last: Whether this is the last page.
        echo: Sequence number of the request.
    """

    members: tuple[Member, ...]
    last: bool
    echo: int


class ClaimAsk(NamedTuple):
    """Request to the holder of a claim bucket to commit an operation."""

    op: ClaimOp


class ClaimReply(NamedTuple):
    """Decision on a claim operation, sent once its write has taken effect.

    Attributes:
        token: Token of the operation.
        state: State of the operation, which tells a claim from the operation that
            closes it and repeats its token.
        code: The decision's code, or PEER_NOT_HOLDER.
        is_claimed: Whether the requesting instance now owns the claim.
        answer: The recorded answer of an earlier run, or empty.
        detail: Human-readable description in one line.
        may_take_effect: Whether the write of a refused operation may still take
            effect.
    """

    token: _Token
    state: ClaimState
    code: ResultCode
    is_claimed: bool = False
    answer: _Answer = b""
    detail: _Detail = ""
    may_take_effect: bool = False


class StatusReport(NamedTuple):
    """Summary that an instance sends to the holder of the fleet's status."""

    summary: InstanceSummary


# Messages are encoded with their index in this tuple: append only, and increase
# PROTOCOL_VERSION on any other change.
MESSAGE_TYPES: tuple[type, ...] = (
    LegBatch,
    LegResults,
    CancelLegs,
    FetchObjects,
    ObjectsReply,
    Suspicion,
    Heartbeat,
    ProbeRequest,
    ProbeReply,
    ViewRequest,
    ViewReply,
    CompareObjects,
    ClaimAsk,
    ClaimReply,
    StatusReport,
)
_INDEX_BY_TYPE = {
    message_type: index for index, message_type in enumerate(MESSAGE_TYPES)
}
_DECODER_BY_INDEX = [
    msgspec.msgpack.Decoder(message_type) for message_type in MESSAGE_TYPES
]


class Envelope(NamedTuple):
    """Unit of transmission between instances; its encoding follows its signature.

    Attributes:
        version: PROTOCOL_VERSION of the sender.
        sender: The sending instance.
        incarnation: The sender's incarnation.
        sequence: Increases with each envelope of an incarnation on a channel.
        bodies: Pairs of message type index and encoded message.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    sender: str
    incarnation: int
    sequence: int
    bodies: tuple[tuple[int, msgspec.Raw], ...]


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


class PeerCodec:
    """Encodes, signs, verifies and decodes envelopes with one shared key."""

    def __init__(self, key: str) -> None:
        """Set the key, which comes from the settings."""
        self._key = key.encode()

    def encode(
        self,
        sender: str,
        incarnation: int,
        sequence: int,
        messages: tuple[NamedTuple, ...],
    ) -> bytes:
        """Return the signature followed by the encoded envelope.

        Raises:
            PeerError: With PEER_TOO_LARGE.
        """
        bodies = tuple(
            (_INDEX_BY_TYPE[type(message)], msgspec.Raw(_ENCODER.encode(message)))
            for message in messages
        )
        envelope = Envelope(PROTOCOL_VERSION, sender, incarnation, sequence, bodies)
        body = _ENCODER.encode(envelope)
        check_envelope_size(SIGNATURE_BYTES + len(body))
        return self._sign(body) + body

    def decode(self, data: bytes) -> tuple[Envelope, tuple[NamedTuple, ...]]:
        """Verify and decode one envelope.

        Raises:
            PeerError: With PEER_TOO_LARGE, PEER_KEY, PEER_VERSION or PEER_MALFORMED.
        """
        check_envelope_size(len(data))
        signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(body)):
            raise PeerError(
                f"{len(data)} bytes are not signed with our key", ResultCode.PEER_KEY
            )
        try:
            envelope = _ENVELOPE_DECODER.decode(body)
            _check_version(envelope)
            messages = tuple(
                _DECODER_BY_INDEX[index].decode(raw) for index, raw in envelope.bodies
            )
        except (msgspec.MsgspecError, IndexError, UnicodeDecodeError) as error:
            raise PeerError(f"cannot decode peer message: {error}") from error
        return envelope, messages

    def _sign(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")


def check_envelope_size(size_bytes: int, limit_bytes: int | None = None) -> None:
    """Check the size of an envelope.

    Args:
        size_bytes: Its size, or the size that its sender announced.
        limit_bytes: The limit; MAX_ENVELOPE_BYTES by default.

    Raises:
        PeerError: With PEER_TOO_LARGE.
    """
    limit_bytes = MAX_ENVELOPE_BYTES if limit_bytes is None else limit_bytes
    if size_bytes > limit_bytes:
        raise PeerError(
            f"peer message of {size_bytes} bytes exceeds {limit_bytes}",
            ResultCode.PEER_TOO_LARGE,
        )


def _check_version(envelope: Envelope) -> None:
    if envelope.version != PROTOCOL_VERSION:
        raise PeerError(
            f"instance {envelope.sender} speaks version {envelope.version},"
            f" we speak {PROTOCOL_VERSION}",
            ResultCode.PEER_VERSION,
        )
