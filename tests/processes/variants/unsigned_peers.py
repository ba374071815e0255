"""Accepts peer messages with any signature."""

from __future__ import annotations

from almondspool import daemon
from almondspool.protocol.peer import SIGNATURE_BYTES, PeerCodec

_decode = PeerCodec.decode


def _decode_any_signature(codec, data):
    body = data[SIGNATURE_BYTES:]
    return _decode(codec, codec._sign(body) + body)


PeerCodec.decode = _decode_any_signature

if __name__ == "__main__":
    daemon.run()
