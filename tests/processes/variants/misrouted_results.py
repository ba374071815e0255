"""Assigns each reply line to the next open leg, whichever leg it belongs to."""

from __future__ import annotations

import msgspec

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.protocol.leg_codec import _RESULT_DECODER, ReplyReader


def _assign_to_next_leg(reader, line):
    try:
        body = _RESULT_DECODER.decode(line)
    except msgspec.MsgspecError:
        return
    if not reader.open_by_id:
        return
    leg = reader.open_by_id.pop(next(iter(reader.open_by_id)))
    body.snapshot, body.shard = leg.snapshot, leg.shard
    yield reader._check(leg, body, ResultCode.OK)


ReplyReader._read_line = _assign_to_next_leg

if __name__ == "__main__":
    daemon.run()
