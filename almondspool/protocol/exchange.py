"""Messages of routed requests, and the interfaces to send and encode them."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.state.routes import Replica

Headers = tuple[tuple[bytes, bytes], ...]


class CallerRequest(NamedTuple):
    """A request as a caller sent it, completely read.

    Attributes:
        method: For example ``GET``.
        target: Path and query exactly as received.
        host: In lower case, without a port.
        headers: All headers, in order and with the caller's spelling.
        body: The body without transfer coding.
        request_id: The caller's id of this attempt; empty if it sent none.
        deadline_s: How long the caller waits, in seconds; None if not given.
        arrived_at: Monotonic seconds at which the request was complete.
        network_delay_s: The part of the caller's wait that passes outside this
            instance, in seconds: transfer of request and answer, and the address
            look-up before a new connection; 0.0 if unknown.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    request_id: str
    deadline_s: float | None
    arrived_at: float
    network_delay_s: float = 0.0

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class Answer(NamedTuple):
    """An answer to a caller.

    Attributes:
        status: The HTTP status.
        headers: Headers other than hop-by-hop headers and Content-Length.
        body: The body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


def json_answer(value: object, status: int = 200) -> Answer:
    """Return an answer whose body is a value in JSON."""
    headers = ((b"Content-Type", b"application/json"),)
    return Answer(status, headers, msgspec.json.encode(value))


class RequestHandle(abc.ABC):
    """A request that is being served."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop work, as the caller has disconnected."""


class _CompletedRequest(RequestHandle):
    def cancel(self) -> None:
        """Do nothing: no work is left."""


# Handle of all requests that were answered before their handler returned.
COMPLETED_REQUEST: RequestHandle = _CompletedRequest()


class LegOutcome(enum.Enum):
    """Outcome of one send to an upstream.

    Attributes:
        ANSWERED: A reply with any status came, except as below.
        NOT_RUN: The reply says that the upstream did not run the request.
        MISDIRECTED: The reply says that another upstream has this address now.
        NOT_SENT: The request was not sent, mostly because no connection was available.
        BROKEN: The connection closed before the reply was complete.
        MALFORMED: The reply could not be parsed or exceeded a limit.
        SILENT: No complete reply came within the time given to detach().
        CANCELLED: The send was cancelled.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    CANCELLED = "cancelled"

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have run the request."""
        return self in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset(
    {
        LegOutcome.ANSWERED,
        LegOutcome.BROKEN,
        LegOutcome.MALFORMED,
        LegOutcome.SILENT,
        LegOutcome.CANCELLED,
    }
)


# Outcomes that show that an upstream, or the network path to it, has failed.
UNREACHABLE_OUTCOMES = frozenset(
    {LegOutcome.BROKEN, LegOutcome.NOT_SENT, LegOutcome.SILENT}
)


class ReportedLoad(NamedTuple):
    """Load that an upstream reported with a reply.

    Attributes:
        running: Number of requests being run.
        queued: Number of requests that wait for a slot.
        slots: Number of requests that can run concurrently.
    """

    running: int
    queued: int
    slots: int


class UpstreamHints(NamedTuple):
    """What an upstream asks of the instances that send to it, from a reply's headers.

    Attributes:
        is_leaving: Whether it accepts no further requests, as it stops soon.
        backoff_s: For how long to send it no requests, in seconds; 0.0 if not given.
        kind: Kind of the hint, for logs and metrics, even if its value cannot be
            parsed; empty without a hint.
        rate_limit: Requests a second that it accepts from all instances together; None
            if not given.
        is_rate_limit_malformed: Whether a limit was given that cannot be used.
    """

    is_leaving: bool = False
    backoff_s: float = 0.0
    kind: str = ""
    rate_limit: float | None = None
    is_rate_limit_malformed: bool = False


NO_HINTS = UpstreamHints()


class LegReply(NamedTuple):
    """Result of one send.

    Attributes:
        outcome: How the send ended.
        status: The HTTP status of the reply; 0 without a reply.
        headers: All headers of the reply.
        body: The body of the reply.
        signature: The upstream's signature of a result; empty without one.
        load: The load that the upstream reported, or None.
        detail: The reason why no usable reply came, as one word for the log; may be
            empty.
        hints: What the upstream asks of the instances that send to it.
    """

    outcome: LegOutcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    signature: bytes = b""
    load: ReportedLoad | None = None
    detail: str = ""
    hints: UpstreamHints = NO_HINTS

    @property
    def is_success(self) -> bool:
        """Return whether this is a 2xx reply that the upstream signed."""
        is_answer = self.outcome is LegOutcome.ANSWERED
        return is_answer and 200 <= self.status < 300 and bool(self.signature)


class LegRequest(NamedTuple):
    """The part of a request that is the same in every send of it.

    Attributes:
        request_id: The caller's id of this attempt.
        head: Request line and headers, without the final empty line.
        body: The body.
        is_idempotent: Whether the request may run more than once.
    """

    request_id: str
    head: bytes
    body: bytes
    is_idempotent: bool


class LegHandle(abc.ABC):
    """A send that has not ended."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """End the send and close its connection, so that the upstream drops it."""

    @abc.abstractmethod
    def detach(self, within_s: float) -> None:
        """Ignore the reply, but keep the connection if the reply comes in time.

        Args:
            within_s: Seconds after which the connection is closed without a reply.
        """


class ConnectionState(enum.Enum):
    """Whether a send to a replica would get a connection at once.

    Attributes:
        IDLE: An idle connection is available.
        CONNECT: A new connection can be opened.
        BUSY: All allowed connections are in use.
        NONE: No connections to the replica are allowed.
    """

    IDLE = "idle"
    CONNECT = "connect"
    BUSY = "busy"
    NONE = "none"


class LegSender(abc.ABC):
    """Sends requests to upstreams."""

    @abc.abstractmethod
    def send(
        self,
        replica: Replica,
        request: LegRequest,
        deadline_s: float,
        on_end: Callable[[LegReply], None],
    ) -> LegHandle:
        """Send a request and call back once, never before returning.

        The callback comes in every case, also after cancel() and detach().

        Args:
            replica: The replica to run the request.
            request: The request.
            deadline_s: Remaining time of the caller, in seconds.
            on_end: Called with the reply.
        """

    @abc.abstractmethod
    def probe(self, replica: Replica, on_result: Callable[[bool], None]) -> None:
        """Open a connection and report, within a short time, whether it was refused.

        Args:
            replica: The replica to connect to.
            on_result: Called with True if the connection was refused, else False.
        """

    @abc.abstractmethod
    def drop_waiting(self, replica: Replica) -> None:
        """End the sends to a replica that wait for a connection, as not sent."""

    @abc.abstractmethod
    def connection_state(self, replica: Replica) -> ConnectionState:
        """Return whether a send to a replica would get a connection at once."""


class ReplyMetadata(NamedTuple):
    """Decoded headers of an upstream's reply.

    Attributes:
        request_id: The request id in the reply, or empty.
        signature: As in LegReply.
        is_not_run: Whether the upstream reports that it did not run the request.
        is_misdirected: Whether the reply says that another upstream now has this
            address.
        load: The reported load, or None.
        keep_alive_s: How long the connection may stay idle, in seconds, or None.
        hints: What the upstream asks of the instances that send to it.
    """

    request_id: str
    signature: bytes
    is_not_run: bool
    is_misdirected: bool
    load: ReportedLoad | None
    keep_alive_s: float | None
    hints: UpstreamHints = NO_HINTS


class CoverageSummary(NamedTuple):
    """Shards covered by a search's answer.

    Attributes:
        signatures: Signatures of the partial results in the answer.
        missing: Number of shards that are missing.
    """

    signatures: tuple[bytes, ...]
    missing: int


class HeaderCodec(abc.ABC):
    """Encodes and decodes the HTTP headers that callers and upstreams use."""

    @abc.abstractmethod
    def decode_request_headers(self, headers: Headers) -> tuple[str, float | None]:
        """Return a request's id, or empty, and its deadline in seconds, or None.

        Raises:
            RequestError: If one of them is repeated or malformed.
        """

    @abc.abstractmethod
    def encode_request_head(self, request: CallerRequest) -> bytes:
        """Return the request line and the headers that all sends of a request share."""

    @abc.abstractmethod
    def encode_send_headers(
        self, replica_id: str, deadline_s: float, body_bytes: int
    ) -> bytes:
        """Return the headers specific to one send, with the empty line at their end."""

    @abc.abstractmethod
    def decode_reply_headers(self, status: int, headers: Sequence) -> ReplyMetadata:
        """Return the decoded headers of a reply."""

    @abc.abstractmethod
    def coverage_headers(self, summary: CoverageSummary) -> Headers:
        """Return the headers that tell a caller which shards are covered."""

    @abc.abstractmethod
    def forwarded_headers(self, reply: LegReply) -> Headers:
        """Return the headers of a reply to forward, without hop-by-hop headers."""

    @abc.abstractmethod
    def retry_headers(self, retry_after_s: float) -> Headers:
        """Return the headers that tell a caller when to retry."""
