"""Codec for the platform's headers in requests and replies."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.errors import RequestError
from almondspool.protocol.exchange import (
    NO_HINTS,
    HeaderCodec,
    ReplyMetadata,
    ReportedLoad,
    UpstreamHints,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondspool.protocol.exchange import (
        CallerRequest,
        CoverageSummary,
        Headers,
        LegReply,
    )

# Id that a caller gives to one attempt; the searcher echoes it in its reply.
_REQUEST_ID = b"request-id"
# How long the sender waits for the reply, in milliseconds from the time of sending.
_DEADLINE = b"deadline-ms"
# The id of the searcher that may run the request; the header's name does not refer to
# an instance of the daemon.
_EXPECTED_REPLICA = b"expected-instance"
# The id of the searcher that answers a health check or rejects a request.
_REPLICA = b"instance-id"
# Present, with any value, if the searcher did not run the request.
_NOT_RUN = b"not-executed"
# The searcher's signature of a result.
_SIGNATURE = b"response-signature"
# Load report in the form "running,queued,slots"; see ReportedLoad.
_LOAD = b"server-load"
# Longest queue, in multiples of the slots, that a load report may have. A longer one
# would keep all requests away from the searcher.
MAX_REPORTED_QUEUE_ROUNDS = 100
# "1" in every reply of a searcher that is about to stop.
_LEAVING = b"server-leaving"
# Time in seconds, whole or fractional, for which a searcher that rejects a request
# wants no further ones.
_RETRY_AFTER = b"retry-after"
# Requests a second, as a decimal number, that a searcher in need accepts from all
# instances together. It holds as long as replies name it.
_RATE_LIMIT = b"server-limit"
_UNAVAILABLE_STATUS = 503
# Longer times are reduced to this: a searcher that asks for more has a wrong clock or
# is about to stop, which its entry in the store shows.
MAX_RETRY_AFTER_S = 300.0
_MISDIRECTED_STATUS = 421
_MIN_DEADLINE_MS = 1

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_NOT_FORWARDED_TO_SEARCHERS = _HOP_BY_HOP | {
    b"content-length",
    b"expect",
    _DEADLINE,
    _EXPECTED_REPLICA,
}
_NOT_FORWARDED_TO_CALLERS = _HOP_BY_HOP | {
    b"content-length",
    _LOAD,
    _NOT_RUN,
    _REPLICA,
    _LEAVING,
    _RATE_LIMIT,
}


class PlatformHeaderCodec(HeaderCodec):
    """Encodes and decodes the platform's headers."""

    def decode_request_headers(self, headers: Headers) -> tuple[str, float | None]:
        """Return a request's id and its deadline in seconds.

        Without the header, the id is empty or the deadline is None.

        Raises:
            RequestError: If one of them is repeated or malformed.
        """
        ids = [value for name, value in headers if name.lower() == _REQUEST_ID]
        deadlines = [value for name, value in headers if name.lower() == _DEADLINE]
        if len(ids) > 1 or len(deadlines) > 1:
            raise RequestError("request id or deadline header is repeated")
        request_id = ids[0].decode("latin-1") if ids else ""
        return request_id, _parse_deadline(deadlines[0]) if deadlines else None

    def encode_request_head(self, request: CallerRequest) -> bytes:
        """Return the request line and the headers to forward to a searcher.

        Hop-by-hop headers, Expect and those that encode_send_headers() adds are left
        out.
        """
        line = f"{request.method} {request.target} HTTP/1.1".encode("latin-1")
        dropped = _NOT_FORWARDED_TO_SEARCHERS | _connection_options(request.headers)
        lines = [line]
        lines += [
            name + b": " + value
            for name, value in request.headers
            if name.lower() not in dropped
        ]
        lines.append(b"")
        return b"\r\n".join(lines)

    def encode_send_headers(
        self, replica_id: str, deadline_s: float, body_bytes: int
    ) -> bytes:
        """Return the headers specific to one send, and the empty line after them."""
        deadline_ms = max(_MIN_DEADLINE_MS, int(deadline_s * 1000.0))
        length = f"Content-Length: {body_bytes}\r\n" if body_bytes else ""
        return (
            f"{length}Deadline-Ms: {deadline_ms}\r\n"
            f"Expected-Instance: {replica_id}\r\n\r\n"
        ).encode("latin-1")

    def decode_reply_headers(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> ReplyMetadata:
        """Return the decoded headers of a reply."""
        by_name = {name.lower(): value for name, value in headers}
        load = _parse_load(by_name.get(_LOAD))
        hints = _parse_hints(status, by_name)
        if load is None and _LOAD in by_name and not hints.kind:
            hints = hints._replace(kind="load_malformed")
        return ReplyMetadata(
            by_name.get(_REQUEST_ID, b"").decode("latin-1"),
            by_name.get(_SIGNATURE, b""),
            _NOT_RUN in by_name,
            status == _MISDIRECTED_STATUS,
            load,
            _parse_keep_alive(by_name.get(b"keep-alive")),
            hints,
        )

    def coverage_headers(self, summary: CoverageSummary) -> Headers:
        """Return the headers that describe a search's coverage to the caller."""
        return (
            (b"Part-Stamps", b", ".join(summary.signatures)),
            (b"Missing-Shards", str(summary.missing).encode()),
        )

    def forwarded_headers(self, reply: LegReply) -> Headers:
        """Return the headers of a reply that are forwarded to the caller.

        Hop-by-hop headers and those meant for instances are left out.
        """
        dropped = _NOT_FORWARDED_TO_CALLERS | _connection_options(reply.headers)
        return tuple(
            (name, value)
            for name, value in reply.headers
            if name.lower() not in dropped
        )

    def retry_headers(self, retry_after_s: float) -> Headers:
        """Return the header that tells a caller when to retry."""
        return ((b"Retry-After", f"{retry_after_s:.3f}".encode()),)


def _parse_deadline(value: bytes) -> float:
    try:
        milliseconds = float(value)
    except ValueError as error:
        raise RequestError(f"deadline {value!r} is not a number") from error
    if not math.isfinite(milliseconds) or milliseconds < 0:
        raise RequestError(f"deadline {value!r} is not finite and at least 0")
    return milliseconds / 1000.0


def _connection_options(headers: Sequence[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the names of the headers that Connection headers call hop-by-hop.

    Host and request id are forwarded even if they are among them.
    """
    option_names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            option_names.update(option.strip().lower() for option in value.split(b","))
    return option_names - {b"host", _REQUEST_ID}


def _parse_load(value: bytes | None) -> ReportedLoad | None:
    if value is None:
        return None
    try:
        load = ReportedLoad(*(int(number) for number in value.split(b",")))
    except (TypeError, ValueError):
        return None
    # This instance's own counts are used instead of a malformed or implausible report.
    is_plausible = (
        load.slots > 0
        and load.running >= 0
        and 0 <= load.queued <= MAX_REPORTED_QUEUE_ROUNDS * load.slots
    )
    return load if is_plausible else None


def _parse_hints(status: int, by_name: dict[bytes, bytes]) -> UpstreamHints:
    is_leaving = by_name.get(_LEAVING, b"").strip() == b"1"
    backoff_s, kind = 0.0, ""
    if status == _UNAVAILABLE_STATUS:
        backoff_s, kind = _parse_retry_after(by_name.get(_RETRY_AFTER))
    rate_limit = None
    has_rate_limit = _RATE_LIMIT in by_name
    if has_rate_limit:
        rate_limit = _parse_rate_limit(by_name[_RATE_LIMIT])
        kind = kind or ("limit" if rate_limit is not None else "limit_malformed")
    if is_leaving:
        kind = "leaving"
    if not kind:
        return NO_HINTS
    return UpstreamHints(
        is_leaving,
        backoff_s,
        kind,
        rate_limit,
        has_rate_limit and rate_limit is None,
    )


def _parse_rate_limit(value: bytes) -> float | None:
    """Return the limit in requests a second, or None unless it is a positive number."""
    try:
        rate_limit = float(value)
    except ValueError:
        return None
    return rate_limit if 0.0 < rate_limit < math.inf else None


def _parse_retry_after(value: bytes | None) -> tuple[float, str]:
    """Return the requested backoff in seconds, and the kind of the hint for metrics."""
    if value is None:
        return 0.0, "no_rest"
    try:
        backoff_s = float(value)
    except ValueError:
        # HTTP also allows a date, which is not used: the searcher's clock may differ.
        is_date = value.strip()[:3].isalpha() and b":" in value
        return 0.0, "rest_is_date" if is_date else "rest_malformed"
    if not backoff_s >= 0.0:
        return 0.0, "rest_negative"
    if backoff_s > MAX_RETRY_AFTER_S:
        return MAX_RETRY_AFTER_S, "rest_too_long"
    return backoff_s, "rest"


def _parse_keep_alive(value: bytes | None) -> float | None:
    """Return the timeout in a Keep-Alive header, in seconds, or None without one."""
    if value is None:
        return None
    if value.startswith(b"timeout=") and value[8:].isdigit():
        return float(value[8:])
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
