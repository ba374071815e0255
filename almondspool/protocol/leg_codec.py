"""JSON codec of legs and their results between an instance and an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from almondspool.codes import ResultCode
from almondspool.protocol.caller import Record
from almondspool.protocol.upstream import Leg, LegResult, LoadReport

if TYPE_CHECKING:
    from collections.abc import Iterator

# A reply has one line for each leg.
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_REPLY_BYTES = 32 * 1024 * 1024

# Result codes by the status that an upstream reports for a leg.
CODE_BY_LEG_STATUS: dict[str, ResultCode] = {
    "ok": ResultCode.OK,
    "shed": ResultCode.LEG_SHED,
    "draining": ResultCode.LEG_DRAINING,
    "snapshot_gone": ResultCode.LEG_SNAPSHOT_GONE,
    "shard_unknown": ResultCode.SHARD_UNKNOWN,
    "failed": ResultCode.LEG_FAILED,
    "cancelled": ResultCode.LEG_CANCELLED,
    "deadline": ResultCode.LEG_TIMEOUT,
}


class _RecordBody(msgspec.Struct):
    record_id: str
    fields: dict[str, str]


class _LoadBody(msgspec.Struct):
    running: int
    queued: int
    draining: bool = False
    warmth: float = 1.0


class _ResultBody(msgspec.Struct):
    leg_id: str
    status: str
    snapshot: int = 0
    shard: str = ""
    records: list[_RecordBody] = []
    detail: str = ""
    was_run: bool = True
    load: _LoadBody | None = None


_ENCODER = msgspec.json.Encoder()
_RESULT_DECODER = msgspec.json.Decoder(_ResultBody)
_LOAD_DECODER = msgspec.json.Decoder(_LoadBody)


def encode_legs(legs: tuple[Leg, ...]) -> bytes:
    """Return the request body of an exchange."""
    return _ENCODER.encode({"legs": [leg._asdict() for leg in legs]})


def encode_cancel(leg_ids: tuple[str, ...]) -> bytes:
    """Return the request body of a cancellation."""
    return _ENCODER.encode({"leg_ids": leg_ids})


def decode_load(body: bytes) -> LoadReport | None:
    """Return an upstream's load report, or None if it is malformed."""
    try:
        return _load_report(_LOAD_DECODER.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _load_report(body: _LoadBody) -> LoadReport:
    return LoadReport(body.running, body.queued, body.draining, body.warmth)


class LegFailure(NamedTuple):
    """Reason why legs of an exchange have no result of their own.

    Attributes:
        code: The result code of these legs, one of the LEG codes.
        detail: Human-readable description in one line.
        was_run: Whether the upstream may have run the legs.
    """

    code: ResultCode
    detail: str
    was_run: bool


class ReplyReader:
    """Matches the lines of one reply with the legs of its exchange.

    Attributes:
        open_by_id: Legs that have no result yet.
        ignored_lines: Number of lines that matched no open leg.
        decode_error: Why the last malformed line could not be decoded; empty if there
            was none.
    """

    def __init__(self, upstream_id: str, legs: tuple[Leg, ...]) -> None:
        """Set the upstream, and the legs for which to expect one line each."""
        self.open_by_id = {leg.leg_id: leg for leg in legs}
        self.ignored_lines = 0
        self.decode_error = ""
        self._upstream_id = upstream_id
        self._partial_line_chunks: list[bytes] = []
        self._partial_bytes = 0
        self._total_bytes = 0
        self._size_error = ""

    def feed(self, data: bytes) -> Iterator[LegResult]:
        """Decode received bytes and yield the result of each complete line."""
        self._total_bytes += len(data)
        if self._total_bytes > MAX_REPLY_BYTES:
            self._size_error = f"the reply exceeds {MAX_REPLY_BYTES} bytes"
            return
        for line in self._split_lines(data):
            if len(line) > MAX_LINE_BYTES:
                self._size_error = f"a line exceeds {MAX_LINE_BYTES} bytes"
                return
            yield from self._read_line(line)

    def size_error(self) -> str:
        """Return which size limit the reply exceeded; empty if it exceeded none."""
        return self._size_error

    def finish(self) -> Iterator[LegResult]:
        """Yield a failure for each leg that is missing from a complete reply."""
        if self._partial_bytes:
            self.decode_error = f"last line is cut after {self._partial_bytes} bytes"
        if self.decode_error:
            code, detail = ResultCode.LEG_REPLY_MALFORMED, self.decode_error
        else:
            code, detail = ResultCode.LEG_WRONG_REQUEST, "the reply left out this leg"
        yield from self.fail(LegFailure(code, detail, True))

    def fail(self, failure: LegFailure) -> Iterator[LegResult]:
        """Yield the same failure for each open leg."""
        legs = tuple(self.open_by_id.values())
        self.open_by_id.clear()
        for leg in legs:
            yield self._make_failure(leg, failure)

    def _split_lines(self, data: bytes) -> list[bytes]:
        self._partial_line_chunks.append(data)
        self._partial_bytes += len(data)
        if b"\n" not in data:
            if self._partial_bytes > MAX_LINE_BYTES:
                self._size_error = f"a line exceeds {MAX_LINE_BYTES} bytes"
            return []
        *lines, partial = b"".join(self._partial_line_chunks).split(b"\n")
        self._partial_line_chunks = [partial] if partial else []
        self._partial_bytes = len(partial)
        return [line for line in lines if line]

    def fail_leg(self, leg: Leg, failure: LegFailure) -> LegResult:
        """Return a failure for one open leg."""
        del self.open_by_id[leg.leg_id]
        return self._make_failure(leg, failure)

    def _read_line(self, line: bytes) -> Iterator[LegResult]:
        try:
            body = _RESULT_DECODER.decode(line)
            code = CODE_BY_LEG_STATUS[body.status]
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.decode_error = f"cannot decode a line of {len(line)} bytes: {error}"
            return
        except KeyError as error:
            self.decode_error = f"unknown status {error}"
            return
        leg = self.open_by_id.pop(body.leg_id, None)
        if leg is None:
            self.ignored_lines += 1
            return
        yield self._check(leg, body, code)

    def _check(self, leg: Leg, body: _ResultBody, code: ResultCode) -> LegResult:
        """Return a line's result, or a failure if it is not from the leg's shard."""
        if code is ResultCode.OK and body.snapshot != leg.snapshot:
            detail = f"reply is from snapshot {body.snapshot}, not {leg.snapshot}"
            failure = LegFailure(ResultCode.LEG_WRONG_SNAPSHOT, detail, True)
            return self._make_failure(leg, failure)
        if code is ResultCode.OK and body.shard != leg.shard:
            detail = f"reply is from shard {body.shard!r}, not {leg.shard!r}"
            return self._make_failure(
                leg, LegFailure(ResultCode.LEG_WRONG_REQUEST, detail, True)
            )
        records = tuple(Record(item.record_id, item.fields) for item in body.records)
        return LegResult(
            leg.leg_id,
            code,
            body.snapshot,
            leg.shard,
            records if code is ResultCode.OK else (),
            self._upstream_id,
            body.detail,
            body.was_run or code is ResultCode.OK,
            _load_report(body.load) if body.load is not None else None,
        )

    def _make_failure(self, leg: Leg, failure: LegFailure) -> LegResult:
        return LegResult(
            leg.leg_id,
            failure.code,
            0,
            leg.shard,
            (),
            self._upstream_id,
            failure.detail,
            failure.was_run,
        )
