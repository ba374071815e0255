"""One connection to an upstream: one exchange at a time, replies told by their id."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from almondspool.protocol.exchange import NO_HINTS, LegOutcome, LegReply
from almondspool.transport.hub_socket import HubSocket

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from almondspool.protocol.exchange import HeaderCodec, LegRequest

# Larger replies are not kept: records are a few hundred bytes, documents a few kB.
MAX_REPLY_BYTES = 1024 * 1024
# Heads have a dozen headers; one that is longer never ends.
MAX_HEAD_BYTES = 32 * 1024
# What the replies of all connections may hold together: a sixth of the memory of the
# smallest machine. Over it, replies of more than a fair size are given up.
MAX_HELD_BYTES = 32 * 1024 * 1024
FAIR_REPLY_BYTES = 64 * 1024
# An upstream announces whole seconds; it may close a little before its own time.
KEEP_ALIVE_MARGIN_S = 0.5
# Without an announced time, an idle connection is given up after this.
DEFAULT_IDLE_S = 8.0


class HeldBytes:
    """Counts what the unfinished replies of all connections hold.

    Attributes:
        total: Bytes held now.
    """

    __slots__ = ("total",)

    def __init__(self) -> None:
        """Start with none."""
        self.total = 0


class _Reply:
    """A reply that is being read."""

    __slots__ = ("body", "headers", "is_framed", "keeps_alive", "size", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size = 0
        self.is_framed = False
        self.keeps_alive = False


class UpstreamConnection:
    """Runs exchanges on one socket.

    Attributes:
        is_open: Whether another exchange may begin.
        idle_since: Monotonic second at which it became idle.
        idle_until: Monotonic second after which it must not be used any more.
        uses: Exchanges that ended on it.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_held",
        "_is_spoiled",
        "_on_end",
        "_on_idle_closed",
        "_parser",
        "_received",
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
        held: HeldBytes,
    ) -> None:
        """Take over a connected socket.

        Args:
            sock: The socket.
            codec: Reads and writes the upstream's headers.
            clock: Returns monotonic seconds.
            on_idle_closed: Called when the connection ends while it is idle.
            held: What the replies of all connections hold.
        """
        self._codec = codec
        self._clock = clock
        self._on_idle_closed = on_idle_closed
        self._on_end: Callable[[LegReply], None] | None = None
        self._request_id = ""
        self._held = held
        self._received = 0
        self._hints = NO_HINTS
        self._reply: _Reply | None = None
        self._replies: list[_Reply] = []
        self._is_spoiled = False
        self._parser = httptools.HttpResponseParser(self)
        self.is_open = True
        self.uses = 0
        self.idle_since = clock()
        self.idle_until = clock() + DEFAULT_IDLE_S
        self._socket = HubSocket(sock, self._on_data, self._on_closed)

    @property
    def is_busy(self) -> bool:
        """Return whether an exchange runs."""
        return self._on_end is not None

    def start(
        self, request: LegRequest, tail: bytes, on_end: Callable[[LegReply], None]
    ) -> None:
        """Send a request; the connection must be idle."""
        self._request_id = request.request_id
        self._on_end = on_end
        self._socket.write(request.head + tail + request.body)

    def abort(self, outcome: LegOutcome, detail: str) -> None:
        """Close the connection and end its exchange with an outcome."""
        self._close()
        self._end(LegReply(outcome, detail=detail))

    def close(self) -> None:
        """Close an idle connection."""
        self._close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a reply."""
        self._reply = _Reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._reply.headers.append((name, value))
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._reply.is_framed = True

    def on_headers_complete(self) -> None:
        """Take the status."""
        self._reply.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._reply.body.append(body)
        self._reply.size += len(body)

    def on_message_complete(self) -> None:
        """Put a whole reply aside until all bytes at hand are parsed."""
        reply, self._reply = self._reply, None
        if reply.status >= 200:
            # The parser only knows within this callback.
            reply.keeps_alive = self._parser.should_keep_alive()
            self._replies.append(reply)

    # Events of the socket.

    def _on_data(self, data: bytes) -> None:
        if self._on_end is None:
            # Nobody waits for an answer: it belongs to no request.
            self._close()
            self._on_idle_closed(self)
            return
        self._received += len(data)
        self._held.total += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # A whole reply may stand before the bytes that cannot be read.
            self._is_spoiled = True
            self._take_replies()
            if self._on_end is not None:
                self.abort(LegOutcome.MALFORMED, "unreadable")
            return
        self._take_replies()
        excess = self._excess()
        if excess and self._on_end is not None:
            self.abort(LegOutcome.MALFORMED, excess)

    def _excess(self) -> str:
        """Return what an unfinished exchange has too much of; empty if nothing."""
        if self._received > MAX_REPLY_BYTES:
            return "too_large"
        has_head = self._reply is not None and self._reply.status
        if self._received > MAX_HEAD_BYTES and not has_head:
            return "endless_head"
        is_unfair = self._received > FAIR_REPLY_BYTES
        if is_unfair and self._held.total > MAX_HELD_BYTES:
            return "replies_hold_too_much"
        return ""

    def _on_closed(self, is_orderly: bool) -> None:
        self.is_open = False
        if self._on_end is None:
            self._on_idle_closed(self)
            return
        reply = self._reply
        if is_orderly and reply is not None and reply.status and not reply.is_framed:
            # A reply without a length ends with its connection.
            self._replies.append(reply)
            self._reply = None
            self._take_replies()
        if self._on_end is not None:
            detail = "closed" if is_orderly else "reset"
            self._end(LegReply(LegOutcome.BROKEN, detail=detail))

    def _take_replies(self) -> None:
        replies, self._replies = self._replies, []
        for index, reply in enumerate(replies):
            marks = self._codec.read_reply(reply.status, reply.headers)
            if marks.hints.note:
                self._hints = marks.hints
            if marks.request_id != self._request_id and marks.request_id:
                # A late reply to an earlier request; ours may still come.
                self._is_spoiled = True
                continue
            is_last = index == len(replies) - 1 and self._reply is None
            self._finish(reply, marks, is_last)
            return

    def _finish(self, reply: _Reply, marks, is_last: bool) -> None:
        outcome = LegOutcome.ANSWERED
        if marks.is_misdirected:
            outcome = LegOutcome.MISDIRECTED
        elif marks.is_not_run:
            outcome = LegOutcome.NOT_RUN
        is_reusable = (
            is_last
            and not self._is_spoiled
            and self.is_open
            and reply.keeps_alive
            and not self._socket.unsent_bytes
            and outcome is not LegOutcome.MISDIRECTED
        )
        self.uses += 1
        if is_reusable:
            idle_s = DEFAULT_IDLE_S
            if marks.keep_alive_s is not None:
                idle_s = marks.keep_alive_s - KEEP_ALIVE_MARGIN_S
            self.idle_until = self._clock() + idle_s
            self._parser = httptools.HttpResponseParser(self)
        else:
            self._close()
        self._end(
            LegReply(
                outcome,
                reply.status,
                tuple(reply.headers),
                b"".join(reply.body),
                marks.signature,
                marks.load,
            )
        )

    def _end(self, reply: LegReply) -> None:
        self._held.total -= self._received
        self._received = 0
        hints, self._hints = self._hints, NO_HINTS
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            # Also what an earlier reply asked for that belongs to another request.
            on_end(reply._replace(hints=hints) if hints.note else reply)

    def _close(self) -> None:
        self.is_open = False
        self._socket.close()
