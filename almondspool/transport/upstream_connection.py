"""Connection to an upstream: one exchange at a time, replies matched by request id."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from almondspool.protocol.exchange import NO_HINTS, LegOutcome, LegReply
from almondspool.transport.hub_socket import HubSocket

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from almondspool.protocol.exchange import HeaderCodec, LegRequest

# Larger replies, with their heads, are rejected as malformed: records are a few hundred
# bytes, documents a few kB.
MAX_REPLY_BYTES = 1024 * 1024
# Larger response heads are taken to be endless: usual ones have a dozen headers.
MAX_HEAD_BYTES = 32 * 1024
# Total received bytes of unfinished replies on all connections: a sixth of the memory
# of the smallest machine. Above it, replies over PROTECTED_REPLY_BYTES are aborted.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
PROTECTED_REPLY_BYTES = 64 * 1024
# Subtracted from the announced keep-alive timeout: it is in whole seconds, and the
# upstream may close slightly before it ends.
KEEP_ALIVE_MARGIN_S = 0.5
# Idle limit of a connection whose upstream announces no keep-alive timeout.
DEFAULT_IDLE_S = 8.0


class ReplyBufferUsage:
    """Counter of the bytes received for unfinished replies on all connections.

    Attributes:
        total_bytes: Their current number.
    """

    __slots__ = ("total_bytes",)

    def __init__(self) -> None:
        """Start at zero."""
        self.total_bytes = 0


class _Reply:
    """A reply that is being parsed.

    Attributes:
        status: The HTTP status; 0 until the head is complete.
        headers: Names and values of the headers.
        body: Pieces of the body.
        body_bytes: Size of the body, in bytes.
        is_framed: Whether the headers tell where the body ends; otherwise it ends when
            the upstream closes the connection.
        keeps_alive: Whether the connection may stay open after the reply.
    """

    __slots__ = ("body", "headers", "is_framed", "keeps_alive", "body_bytes", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_framed = False
        self.keeps_alive = False


class UpstreamConnection:
    """Runs exchanges on one socket, one at a time.

    Attributes:
        is_open: Whether the connection is open.
        idle_since: When it last became idle, in monotonic seconds.
        idle_until: When it is idle for too long to be used, in monotonic seconds.
        uses: Number of exchanges that ended with a reply.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_buffer_usage",
        "_is_desynchronized",
        "_on_end",
        "_on_idle_closed",
        "_parser",
        "_received_bytes",
        "_reply",
        "_replies",
        "_request_id",
        "_socket",
        "_hints",
        "idle_since",
        "idle_until",
        "is_open",
        "uses",
    )

    def __init__(
        self,
        sock: socket.socket,
        codec: HeaderCodec,
        clock: Callable[[], float],
        on_idle_closed: Callable[[UpstreamConnection], None],
        buffer_usage: ReplyBufferUsage,
    ) -> None:
        """Take over a connected socket.

        Args:
            sock: The socket.
            codec: Encodes and decodes the upstream's headers.
            clock: Returns monotonic seconds.
            on_idle_closed: Called with this connection when it closes while it is idle,
                but not after close().
            buffer_usage: Counter of received bytes, shared by all connections.
        """
        self._codec = codec
        self._clock = clock
        self._on_idle_closed = on_idle_closed
        self._on_end: Callable[[LegReply], None] | None = None
        self._request_id = ""
        self._buffer_usage = buffer_usage
        self._received_bytes = 0
        self._hints = NO_HINTS
        self._reply: _Reply | None = None
        self._replies: list[_Reply] = []
        self._is_desynchronized = False
        self._parser = httptools.HttpResponseParser(self)
        self.is_open = True
        self.uses = 0
        self.idle_since = clock()
        self.idle_until = clock() + DEFAULT_IDLE_S
        self._socket = HubSocket(sock, self._on_data, self._on_closed)

    @property
    def is_busy(self) -> bool:
        """Return whether an exchange is in progress."""
        return self._on_end is not None

    def start(
        self,
        request: LegRequest,
        send_headers: bytes,
        on_end: Callable[[LegReply], None],
    ) -> None:
        """Send a request; the connection must be idle.

        Args:
            request: The request.
            send_headers: Further headers of this send, with the empty line at their
                end.
            on_end: Called once with the reply or the failure.
        """
        self._request_id = request.request_id
        self._on_end = on_end
        self._socket.write(request.head + send_headers + request.body)

    def abort(self, outcome: LegOutcome, detail: str) -> None:
        """Close the connection and end its exchange with the given outcome."""
        self._close()
        self._end(LegReply(outcome, detail=detail))

    def close(self) -> None:
        """Close an idle connection."""
        self._close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a reply."""
        self._reply = _Reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._reply.headers.append((name, value))
        lowercase_name = name.lower()
        if lowercase_name in (b"content-length", b"transfer-encoding"):
            self._reply.is_framed = True

    def on_headers_complete(self) -> None:
        """Store the status."""
        self._reply.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._reply.body.append(body)
        self._reply.body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Queue the reply until all received bytes are parsed; drop an interim one."""
        reply, self._reply = self._reply, None
        if reply.status >= 200:
            # Outside this callback the parser does not have the value.
            reply.keeps_alive = self._parser.should_keep_alive()
            self._replies.append(reply)

    # Events of the socket.

    def _on_data(self, data: bytes) -> None:
        if self._on_end is None:
            # No request is outstanding to which the bytes could be the reply.
            self._close()
            self._on_idle_closed(self)
            return
        self._received_bytes += len(data)
        self._buffer_usage.total_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # A complete reply may precede the bytes that cannot be parsed.
            self._is_desynchronized = True
            self._process_replies()
            if self._on_end is not None:
                self.abort(LegOutcome.MALFORMED, "unreadable")
            return
        self._process_replies()
        exceeded_limit = self._exceeded_limit()
        if exceeded_limit and self._on_end is not None:
            self.abort(LegOutcome.MALFORMED, exceeded_limit)

    def _exceeded_limit(self) -> str:
        """Return a word for the limit that the exchange exceeds; empty if none."""
        if self._received_bytes > MAX_REPLY_BYTES:
            return "too_large"
        has_head = self._reply is not None and self._reply.status
        if self._received_bytes > MAX_HEAD_BYTES and not has_head:
            return "endless_head"
        is_abortable = self._received_bytes > PROTECTED_REPLY_BYTES
        if is_abortable and self._buffer_usage.total_bytes > MAX_BUFFERED_BYTES:
            return "replies_hold_too_much"
        return ""

    def _on_closed(self, is_orderly: bool) -> None:
        self.is_open = False
        if self._on_end is None:
            self._on_idle_closed(self)
            return
        reply = self._reply
        if is_orderly and reply is not None and reply.status and not reply.is_framed:
            # A reply without a length ends when its connection closes.
            self._replies.append(reply)
            self._reply = None
            self._process_replies()
        if self._on_end is not None:
            detail = "closed" if is_orderly else "reset"
            self._end(LegReply(LegOutcome.BROKEN, detail=detail))

    def _process_replies(self) -> None:
        replies, self._replies = self._replies, []
        for index, reply in enumerate(replies):
            metadata = self._codec.decode_reply_headers(reply.status, reply.headers)
            if metadata.hints.kind:
                self._hints = metadata.hints
            if metadata.request_id != self._request_id and metadata.request_id:
                # A late reply to an earlier request; the expected one may still come.
                self._is_desynchronized = True
                continue
            is_last = index == len(replies) - 1 and self._reply is None
            self._finish(reply, metadata, is_last)
            return

    def _finish(self, reply: _Reply, metadata, is_last: bool) -> None:
        outcome = LegOutcome.ANSWERED
        if metadata.is_misdirected:
            outcome = LegOutcome.MISDIRECTED
        elif metadata.is_not_run:
            outcome = LegOutcome.NOT_RUN
        is_reusable = (
            is_last
            and not self._is_desynchronized
            and self.is_open
            and reply.keeps_alive
            and not self._socket.unsent_bytes
            and outcome is not LegOutcome.MISDIRECTED
        )
        self.uses += 1
        if is_reusable:
            idle_limit_s = DEFAULT_IDLE_S
            if metadata.keep_alive_s is not None:
                idle_limit_s = metadata.keep_alive_s - KEEP_ALIVE_MARGIN_S
            self.idle_until = self._clock() + idle_limit_s
            self._parser = httptools.HttpResponseParser(self)
        else:
            self._close()
        self._end(
            LegReply(
                outcome,
                reply.status,
                tuple(reply.headers),
                b"".join(reply.body),
                metadata.signature,
                metadata.load,
            )
        )

    def _end(self, reply: LegReply) -> None:
        self._buffer_usage.total_bytes -= self._received_bytes
        self._received_bytes = 0
        hints, self._hints = self._hints, NO_HINTS
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            # Includes hints that came with a late reply to an earlier request.
            on_end(reply._replace(hints=hints) if hints.kind else reply)

    def _close(self) -> None:
        self.is_open = False
        self._socket.close()
