"""UDP socket for heartbeats, probes and views; signs and checks the datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import prometheus_client
from eventlet.green import socket

from almondspool.codes import ResultCode
from almondspool.errors import AlmondspoolError, PeerError, start_failure_code
from almondspool.protocol.member_checks import (
    MAX_INTEGER_VALUE,
    check_member,
    parse_address,
)
from almondspool.protocol.peer import (
    Heartbeat,
    PeerCodec,
    ProbeReply,
    ProbeRequest,
    Suspicion,
    ViewReply,
    ViewRequest,
    check_envelope_size,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.membership.member_actions import Message, SendDatagram
    from almondspool.logs import EventLog
    from almondspool.transport.timers import TimerService

# More than any UDP datagram holds, so that none is truncated when it is received.
MAX_RECEIVE_BYTES = 65_536
# Larger datagrams of any type are refused.
MAX_HEARTBEAT_BYTES = 4096
# Size of a replay window, in sequence numbers: an older datagram is refused.
REPLAY_WINDOW_SIZE = 256
# Number of senders whose windows are kept; the least recent one is removed first.
MAX_TRACKED_SENDERS = 4096
# One refusal is logged per result code and interval; all of them are counted.
REFUSAL_LOG_INTERVAL_S = 10.0
DATAGRAM_TYPES = (
    Heartbeat,
    ProbeRequest,
    ProbeReply,
    ViewRequest,
    ViewReply,
    Suspicion,
)


class Datagram(NamedTuple):
    """A datagram that passed all checks.

    Attributes:
        sender: The instance that signed it.
        address: ``ip:port`` it came from.
        incarnation: The sender's incarnation.
        sequence: The sender's sequence number.
        message: The message that it carries.
    """

    sender: str
    address: str
    incarnation: int
    sequence: int
    message: Message


class StaleIncarnationError(PeerError):
    """Raised if a sender's incarnation is lower than one it used before.

    Attributes:
        sender: The instance that sent it.
    """

    code = ResultCode.PEER_REPLAY

    def __init__(self, sender: str, incarnation: int, highest: int) -> None:
        """Create the error.

        Args:
            sender: The instance that sent it.
            incarnation: The incarnation that it sent.
            highest: The highest incarnation that it used before.
        """
        super().__init__(
            f"instance {sender} sent incarnation {incarnation} after {highest}"
        )
        self.sender = sender


class _Window(NamedTuple):
    """Sequence numbers received from a sender in its highest incarnation.

    Attributes:
        incarnation: The sender's highest incarnation.
        highest_sequence: The highest sequence number received in it.
        received_bits: Bit n is set if the number highest_sequence - n was received.
    """

    incarnation: int
    highest_sequence: int
    received_bits: int


class ReplayGuard:
    """Rejects datagrams that were received before or are too old.

    For each sender it keeps the highest incarnation and a sliding window of the
    sequence numbers received in it, so that reordered datagrams are still accepted.
    """

    def __init__(self) -> None:
        """Start without senders."""
        self._windows_by_sender: dict[str, _Window] = {}

    def check(self, sender: str, incarnation: int, sequence: int) -> None:
        """Record a datagram as received, or refuse it.

        Raises:
            PeerError: With PEER_REPLAY, if it is a duplicate or too old.
        """
        window = self._windows_by_sender.pop(sender, None)
        try:
            window = _advance_window(window, sender, incarnation, sequence)
        finally:
            if window is not None:
                self._windows_by_sender[sender] = window
        if len(self._windows_by_sender) > MAX_TRACKED_SENDERS:
            least_recent = next(iter(self._windows_by_sender))
            del self._windows_by_sender[least_recent]


def _advance_window(
    window: _Window | None, sender: str, incarnation: int, sequence: int
) -> _Window:
    if window is None or incarnation > window.incarnation:
        return _Window(incarnation, sequence, 1)
    if incarnation < window.incarnation:
        raise StaleIncarnationError(sender, incarnation, window.incarnation)
    shift = sequence - window.highest_sequence
    if shift > 0:
        received_bits = (
            (window.received_bits << shift | 1) if shift < REPLAY_WINDOW_SIZE else 1
        )
        return _Window(
            incarnation, sequence, received_bits & ((1 << REPLAY_WINDOW_SIZE) - 1)
        )
    bit = 1 << -shift if -shift < REPLAY_WINDOW_SIZE else 0
    if not bit or window.received_bits & bit:
        raise PeerError(
            f"instance {sender} repeats sequence {sequence} "
            f"after {window.highest_sequence}",
            ResultCode.PEER_REPLAY,
        )
    return window._replace(received_bits=window.received_bits | bit)


class HeartbeatMetrics:
    """Counters of the heartbeat socket."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Register the counters."""
        self.bytes = prometheus_client.Counter(
            "almondspool_heartbeat_bytes",
            "Bytes of heartbeat datagrams without IP and UDP headers.",
            ["direction"],
            registry=registry,
        )
        self.datagrams = prometheus_client.Counter(
            "almondspool_heartbeat_datagrams",
            "Heartbeat datagrams.",
            ["direction"],
            registry=registry,
        )
        self.refused = prometheus_client.Counter(
            "almondspool_heartbeat_refused",
            "Heartbeat datagrams refused, by result code.",
            ["code"],
            registry=registry,
        )


class HeartbeatSocket:
    """Sends and receives an instance's heartbeats and other small datagrams."""

    def __init__(
        self,
        address: str,
        codec: PeerCodec,
        timers: TimerService,
        log: EventLog,
        metrics: HeartbeatMetrics,
    ) -> None:
        """Bind the socket.

        Args:
            address: The own peer address, ``ip:port``.
            codec: Signs and checks the envelopes, one in each datagram.
            timers: Clock for the rate limit of the log.
            log: The event log.
            metrics: The counters.

        Raises:
            AlmondspoolError: With ADDRESS_IN_USE or START_FAILED.
        """
        self._codec = codec
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._guard = ReplayGuard()
        self._logged_at_by_code: dict[ResultCode, float] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind(_bind_address(address))
        except OSError as error:
            self._socket.close()
            raise AlmondspoolError(
                f"cannot bind UDP {address}: {error}", start_failure_code(error)
            ) from error

    def send(self, sender: str, action: SendDatagram) -> None:
        """Sign and send one datagram.

        A failure is only counted and logged, since a sent datagram may be lost as well.

        Args:
            sender: The own instance name.
            action: The message and its peer address.
        """
        data = self._codec.encode(
            sender, action.incarnation, action.sequence, (action.message,)
        )
        try:
            self._socket.sendto(data, parse_address(action.address))
        except PeerError as error:
            self._refuse(error, action.address)
            return
        except OSError as error:
            unreachable = PeerError(str(error), ResultCode.PEER_UNREACHABLE)
            self._refuse(unreachable, action.address)
            return
        self._count("out", data)

    def receive_forever(
        self,
        on_datagram: Callable[[Datagram], None],
        on_stale_incarnation: Callable[[str, str], None],
    ) -> None:
        """Receive datagrams and pass on accepted ones until the socket is closed.

        Args:
            on_datagram: Called with each datagram that passed the checks.
            on_stale_incarnation: Called with the name and address of a sender that
                uses a lower incarnation than before, for example since its clock was
                set back.
        """
        while True:
            try:
                data, source = self._socket.recvfrom(MAX_RECEIVE_BYTES)
            except ConnectionRefusedError:
                continue
            except OSError:
                return
            address = f"{source[0]}:{source[1]}"
            self.handle_datagram(data, address, on_datagram, on_stale_incarnation)

    def handle_datagram(
        self,
        data: bytes,
        address: str,
        on_datagram: Callable[[Datagram], None],
        on_stale_incarnation: Callable[[str, str], None],
    ) -> None:
        """Pass on one datagram, or count and log why it is refused.

        Args:
            data: The datagram.
            address: ``ip:port`` it came from.
            on_datagram: As for receive_forever.
            on_stale_incarnation: As for receive_forever.
        """
        self._count("in", data)
        try:
            datagram = self.check(data, address)
        except PeerError as error:
            self._refuse(error, address)
            if isinstance(error, StaleIncarnationError):
                on_stale_incarnation(error.sender, address)
            return
        on_datagram(datagram)

    def check(self, data: bytes, address: str) -> Datagram:
        """Check and decode one datagram.

        Raises:
            PeerError: With PEER_TOO_LARGE, PEER_KEY, PEER_VERSION, PEER_MALFORMED or
                PEER_REPLAY.
        """
        check_envelope_size(len(data), MAX_HEARTBEAT_BYTES)
        envelope, messages = self._codec.decode(data)
        if len(messages) != 1 or not isinstance(messages[0], DATAGRAM_TYPES):
            names = ", ".join(type(message).__name__ for message in messages)
            raise PeerError(
                f"instance {envelope.sender} sent a datagram of [{names}], "
                "not of one heartbeat, probe, view or suspicion"
            )
        for number in (envelope.incarnation, envelope.sequence):
            if not 0 <= number <= MAX_INTEGER_VALUE:
                raise PeerError(
                    f"instance {envelope.sender} sent {number} as its incarnation or "
                    f"sequence number, which is not in 0 to {MAX_INTEGER_VALUE}"
                )
        message = messages[0]
        _check_members(envelope.sender, message)
        self._guard.check(envelope.sender, envelope.incarnation, envelope.sequence)
        return Datagram(
            envelope.sender, address, envelope.incarnation, envelope.sequence, message
        )

    def close(self) -> None:
        """Close the socket, which ends receive_forever."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # An unconnected UDP socket fails with ENOTCONN, but its readers still wake.
            pass
        self._socket.close()

    def _count(self, direction: str, data: bytes) -> None:
        self._metrics.bytes.labels(direction).inc(len(data))
        self._metrics.datagrams.labels(direction).inc()

    def _refuse(self, error: PeerError, address: str) -> None:
        code = error.code
        self._metrics.refused.labels(code.name).inc()
        now = self._timers.now()
        if now - self._logged_at_by_code.get(code, -REFUSAL_LOG_INTERVAL_S) < (
            REFUSAL_LOG_INTERVAL_S
        ):
            return
        self._logged_at_by_code[code] = now
        self._log.write(
            "heartbeat.refused", code=code.name, address=address, reason=error
        )


def _bind_address(address: str) -> tuple[str, int]:
    # parse_address rejects port 0, with which the kernel chooses the own port.
    host, _, port = address.rpartition(":")
    return host, int(port)


def _check_members(sender: str, message: Message) -> None:
    if isinstance(message, Heartbeat):
        if message.member.instance != sender:
            raise PeerError(
                f"instance {sender} sent the heartbeat of {message.member.instance}"
            )
        members = (message.member, *message.deltas)
    elif isinstance(message, ProbeReply):
        members = (message.member,)
    elif isinstance(message, ViewReply):
        members = message.members
    else:
        return
    for member in members:
        check_member(member)
