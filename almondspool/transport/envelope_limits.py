"""Size limits of peer channel envelopes, in both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.protocol.peer import check_envelope_size

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from grpclib.client import Stream as ClientStream
    from grpclib.server import Stream as ServerStream


def encode_fitting(
    encode: Callable[[Sequence[NamedTuple]], bytes],
    messages: Sequence[NamedTuple],
    refuse: Callable[[PeerError], None],
) -> tuple[bytes, Sequence[NamedTuple]]:
    """Encode as many of the first messages as fit into one envelope.

    Args:
        encode: Returns an envelope; raises PeerError with PEER_TOO_LARGE.
        messages: One or more messages.
        refuse: Called with the error of a message that is too large by itself.

    Returns:
        The envelope, empty if the first message was refused, and the messages that
        are left to encode.
    """
    count = len(messages)
    while True:
        try:
            return encode(messages[:count]), messages[count:]
        except PeerError as error:
            if error.code is not ResultCode.PEER_TOO_LARGE:
                raise
            if count == 1:
                refuse(error)
                return b"", messages[1:]
            count //= 2


def limit_stream(stream: ClientStream | ServerStream) -> None:
    """Make a stream refuse an envelope whose announced size exceeds the limit.

    The size is checked before the envelope is read: grpclib has no limit of its own and
    would buffer any announced size, even from a sender without the shared key.
    """
    http2_stream = stream._stream
    recv_data = http2_stream.recv_data

    async def receive_within_limit(size_bytes: int) -> bytes:
        check_envelope_size(size_bytes)
        return await recv_data(size_bytes)

    http2_stream.recv_data = receive_within_limit
