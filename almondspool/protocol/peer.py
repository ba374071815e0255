"""Messages between instances, their codec and their authentication."""

from __future__ import annotations

import hmac
from typing import Annotated, NamedTuple

import msgspec

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.protocol.claims import MAX_ANSWER_BYTES, ClaimOp, ClaimState
from almondspool.protocol.fleet import InstanceSummary
from almondspool.protocol.upstream import Leg, LegResult
from almondspool.state.members import Member

PROTOCOL_VERSION = 1
SIGNATURE_BYTES = 32
# Twice the largest reply of an upstream, whose results travel in one message.
MAX_ENVELOPE_BYTES = 64 * 1024 * 1024
MAX_DETAIL_CHARS = 512

_Detail = Annotated[str, msgspec.Meta(max_length=MAX_DETAIL_CHARS)]
_Token = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Answer = Annotated[bytes, msgspec.Meta(max_length=MAX_ANSWER_BYTES)]


class LegAssignment(NamedTuple):
    """A leg and the upstream that should run it.

    Attributes:
        upstream_id: The upstream.
        leg: The leg.
        is_exclusive: Whether it must not share an exchange with other legs.
    """

    upstream_id: str
    leg: Leg
    is_exclusive: bool = False


class LegBatch(NamedTuple):
    """Legs that a holder of connections runs for the sender.

    Attributes:
        batch_id: Unique at the sender.
        priority: Priority class of the request.
        assignments: The legs.
    """

    batch_id: str
    priority: int
    assignments: tuple[LegAssignment, ...]


class LegResults(NamedTuple):
    """Results that go back to the instance that sent the legs."""

    results: tuple[LegResult, ...]


class CancelLegs(NamedTuple):
    """Legs whose results are no longer wanted."""

    leg_ids: tuple[str, ...]


class FetchObjects(NamedTuple):
    """Asks a peer for spread objects (sections, shares) by kind and name."""

    kind: str
    names: tuple[str, ...]


class CompareObjects(NamedTuple):
    """Asks a peer for the objects of a kind that it has in a newer version.

    Attributes:
        kind: The kind of the objects.
        versions_by_name: The versions known here; objects not named are unknown.
    """

    kind: str
    versions_by_name: dict[str, int]


class SpreadObject(NamedTuple):
    """One object that instances copy from each other.

    Attributes:
        kind: ``manifest``, ``section`` or ``shares``.
        name: Unique within the kind.
        version: A higher one replaces a lower one, never the reverse.
        value: The content as stored in the platform.
    """

    kind: str
    name: str
    version: int
    value: bytes


class ObjectsReply(NamedTuple):
    """Objects a peer asked for, or pushes unasked."""

    objects: tuple[SpreadObject, ...]


class Suspicion(NamedTuple):
    """A request fingerprint that cut off upstreams.

    Attributes:
        fingerprint: Digest of the request's content.
        crashes: How many upstreams it cut off, as far as is known.
        upstream_id: The last of them.
        expires_ms: When to forget it, in ms since the epoch.
    """

    fingerprint: str
    crashes: int
    upstream_id: str
    expires_ms: int


class Heartbeat(NamedTuple):
    """A UDP datagram between instances: own record and changes to others.

    Attributes:
        member: The sender's own record.
        deltas: Records that changed lately.
        is_ack: Whether it answers another heartbeat.
        echo: Sequence number that an ack answers.
    """

    member: Member
    deltas: tuple[Member, ...]
    is_ack: bool
    echo: int


class ProbeRequest(NamedTuple):
    """Asks a peer to send a heartbeat to a target that did not answer.

    Attributes:
        target: The instance to probe.
        address: The target's peer address.
        echo: Sequence number of the heartbeat that was not answered.
    """

    target: str
    address: str
    echo: int


class ProbeReply(NamedTuple):
    """Tells the asker that the target answered.

    Attributes:
        member: The target's own record from its answer.
        echo: The echo of the request.
    """

    member: Member
    echo: int


class ViewRequest(NamedTuple):
    """Asks a peer for its members whose names come after a given one."""

    after: str


class ViewReply(NamedTuple):
    """One page of a peer's members, ordered by name.

    Attributes:
        members: The records.
        last: Whether no page follows.
        echo: Sequence number of the request.
    """

    members: tuple[Member, ...]
    last: bool
    echo: int


class ClaimAsk(NamedTuple):
    """Asks the holder of a claim bucket to commit a change of the sender's."""

    op: ClaimOp


class ClaimReply(NamedTuple):
    """Decision on a claim operation; sent once its write has taken effect.

    Attributes:
        token: Token of the operation.
        state: Its state; a closing operation repeats the token of the claim.
        code: The decision's code, or PEER_NOT_HOLDER.
        is_claimed: Whether the requesting instance now owns the claim.
        answer: The recorded answer of an earlier run, or empty.
        detail: One line for people.
        may_take_effect: Whether a write of a refused operation may take effect yet.
    """

    token: _Token
    state: ClaimState
    code: ResultCode
    is_claimed: bool = False
    answer: _Answer = b""
    detail: _Detail = ""
    may_take_effect: bool = False


class StatusReport(NamedTuple):
    """Tells the holder of the fleet's status what the sender reports of itself."""

    summary: InstanceSummary


# Order is the wire form: append only, and raise PROTOCOL_VERSION on other changes.
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
_INDEX_BY_TYPE = {kind: index for index, kind in enumerate(MESSAGE_TYPES)}
_DECODER_BY_INDEX = [msgspec.msgpack.Decoder(kind) for kind in MESSAGE_TYPES]


class Envelope(NamedTuple):
    """Signed frame around messages.

    Attributes:
        version: PROTOCOL_VERSION of the sender.
        sender: The sending instance.
        incarnation: The sender's incarnation.
        sequence: Grows with each envelope of one incarnation and channel.
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
    """Encodes, signs, checks and decodes envelopes with one shared key."""

    def __init__(self, key: str) -> None:
        """Keep the key from the settings."""
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
        """Check and decode one envelope.

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
        limit_bytes: MAX_ENVELOPE_BYTES unless given.

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
