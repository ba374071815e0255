"""Keeps envelopes of peer channels within their size limit, in both directions."""

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
    """Encode as many of the first messages as one envelope holds.

    Args:
        encode: Returns an envelope; raises PeerError with PEER_TOO_LARGE.
        messages: At least one.
        refuse: Gets the error of a message that is too large by itself.

    Returns:
        The envelope, empty if the first message was refused, and the messages left.
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
    """Make a stream refuse an envelope by its announced size, before it is read.

    The library has no limit of its own and would buffer whatever is announced, also
    from a sender that does not have our key.
    """
    frames = stream._stream
    receive = frames.recv_data

    async def receive_within_limit(size_bytes: int) -> bytes:
        check_envelope_size(size_bytes)
        return await receive(size_bytes)

    frames.recv_data = receive_within_limit
