"""Channels between instances: gRPC streams, one from each sender to each peer.

A peer may reply on the stream on which a message arrived.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
from typing import TYPE_CHECKING, NamedTuple

import eventlet
import eventlet.asyncio
import eventlet.queue
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.transport.envelope_limits import encode_fitting, limit_stream

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from grpclib.server import Stream

    from almondspool.logs import EventLog
    from almondspool.protocol.peer import PeerCodec

_METHOD = "/almondspool.Peer/Exchange"
_KEEPALIVE_INTERVAL_S = 2.0
_KEEPALIVE_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = 0.2
# A stream unused for this long is closed. Longer than any deadline, so that no reply is
# still outstanding.
_IDLE_TIMEOUT_S = 65.0
_IDLE_CHECK_INTERVAL_S = 5.0
_MAX_QUEUED_MESSAGES = 10_000
_MAX_MESSAGES_PER_ENVELOPE = 256
_CHANNEL_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    PeerError,
)


class PeerMessage(NamedTuple):
    """A received message.

    Attributes:
        sender: The instance that signed it.
        message: One of the types in protocol.peer.
        reply: Queues a message to the sender on the same stream.
    """

    sender: str
    message: NamedTuple
    reply: Callable[[NamedTuple], None]


class ChannelDown(NamedTuple):
    """A channel failed; messages sent on it may or may not have arrived.

    Attributes:
        instance: The peer.
        detail: Why the channel failed.
    """

    instance: str
    detail: str


class BytesCodec(CodecBase):
    """Passes signed envelopes through unchanged; PeerCodec does the encoding."""

    __content_subtype__ = "almondspool"

    def encode(self, message: bytes, message_type: type) -> bytes:
        """Return the envelope unchanged."""
        return message

    def decode(self, data: bytes, message_type: type) -> bytes:
        """Return the envelope unchanged."""
        return data


class _Identity(NamedTuple):
    """Instance and incarnation that sign the outgoing envelopes."""

    instance: str
    incarnation: int


class _Outbox:
    """Queue of the outgoing messages of one stream, which it packs into envelopes."""

    def __init__(self, owner: PeerChannels, codec: PeerCodec) -> None:
        self._owner = owner
        self._codec = codec
        self._queue: asyncio.Queue[NamedTuple] = asyncio.Queue(_MAX_QUEUED_MESSAGES)
        self._next_messages: list[NamedTuple] = []
        self._sequence = 0

    def put(self, message: NamedTuple) -> bool:
        """Queue a message; return False if the queue is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    def clear(self) -> None:
        """Drop all messages that are not sent."""
        self._next_messages.clear()
        while not self._queue.empty():
            self._queue.get_nowait()

    async def wait_for_message(self) -> None:
        """Wait until there is a message to send."""
        if not self._next_messages:
            self._next_messages.append(await self._queue.get())

    async def next_envelope(self) -> bytes:
        """Wait for messages and return a signed envelope with as many as fit."""
        data = b""
        while not data:
            await self.wait_for_message()
            messages = self._next_messages
            while self._has_queued() and len(messages) < _MAX_MESSAGES_PER_ENVELOPE:
                messages.append(self._queue.get_nowait())
            data, self._next_messages = encode_fitting(
                self._encode, messages, self._refuse
            )
        self._owner.count_bytes("out", len(data))
        return data

    def _has_queued(self) -> bool:
        return not self._queue.empty()

    def _encode(self, messages: Sequence[NamedTuple]) -> bytes:
        self._sequence += 1
        instance, incarnation = self._owner.identity()
        return self._codec.encode(
            instance, incarnation, self._sequence, tuple(messages)
        )

    def _refuse(self, error: PeerError) -> None:
        self._owner.refuse(self._owner.identity().instance, error)


class _Inbox:
    """Checks the envelopes of one stream and delivers their messages."""

    def __init__(
        self,
        owner: PeerChannels,
        codec: PeerCodec,
        deliver: Callable[[str, NamedTuple], None],
    ) -> None:
        self._owner = owner
        self._codec = codec
        self._deliver = deliver
        self._last_sequence = 0

    def accept(self, data: bytes) -> None:
        """Check an envelope and deliver its messages.

        Raises:
            PeerError: If the envelope is invalid or was received before.
        """
        self._owner.count_bytes("in", len(data))
        envelope, messages = self._codec.decode(data)
        if envelope.sequence <= self._last_sequence:
            raise PeerError(
                f"instance {envelope.sender} sent sequence {envelope.sequence} "
                f"after {self._last_sequence}",
                ResultCode.PEER_REPLAY,
            )
        self._last_sequence = envelope.sequence
        for message in messages:
            self._deliver(envelope.sender, message)


class PeerChannels:
    """Owns the peer listener and one outgoing channel for each peer it sends to.

    A message is delivered at most once; it is not sent again after a failure.

    Attributes:
        inbox: Queue of the received PeerMessages and of ChannelDown notices.
        messages_received: Number of received messages by type name.
    """

    def __init__(
        self,
        instance: str,
        codec: PeerCodec,
        log: EventLog,
        count_refusal: Callable[[ResultCode], None],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        """Store the dependencies; listen() and send() open the connections.

        Args:
            instance: The own instance name.
            codec: Signs and checks the envelopes.
            log: The event log.
            count_refusal: Called with the result code of each refused envelope.
            count_bytes: Called with ``in`` or ``out`` and the size of each envelope.
        """
        self._instance = instance
        self._codec = codec
        self._log = log
        self._count_refusal = count_refusal
        self.count_bytes = count_bytes
        self._incarnation = 0
        self._channel_by_instance: dict[str, _PeerChannel] = {}
        self._server: Server | None = None
        self.inbox: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self.messages_received: collections.Counter[str] = collections.Counter()

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation for all further envelopes."""
        self._incarnation = incarnation

    def identity(self) -> _Identity:
        """Return the instance and incarnation with which envelopes are signed."""
        return _Identity(self._instance, self._incarnation)

    def listen(self, address: str) -> None:
        """Start to accept streams of peers on ``ip:port``.

        Raises:
            OSError: If the address is in use.
        """
        host, port = address.rsplit(":", 1)
        self._server = Server([self], codec=BytesCodec())
        eventlet.asyncio.spawn_for_awaitable(self._server.start(host, int(port))).wait()

    def send(self, instance: str, address: str, message: NamedTuple) -> bool:
        """Queue a message to a peer; return False if its queue is full.

        Args:
            instance: The peer.
            address: Its ``ip:port``; a changed address replaces the channel.
            message: One of the types in protocol.peer.
        """
        channel = self._channel_by_instance.get(instance)
        if channel is None or channel.address != address:
            if channel is not None:
                channel.close()
            channel = _PeerChannel(self, instance, address, self._codec, self._log)
            self._channel_by_instance[instance] = channel
        return channel.put(message)

    def drop(self, instance: str) -> None:
        """Close the channel to a peer that has left, without a ChannelDown notice."""
        channel = self._channel_by_instance.pop(instance, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close the listener and every channel."""
        for instance in list(self._channel_by_instance):
            self.drop(instance)
        if self._server is not None:
            self._server.close()

    def refuse(self, peer: str, error: PeerError) -> None:
        """Count and log a refused envelope or message.

        Args:
            peer: The peer's name or address; the own name for an oversized message.
            error: Why it is refused.
        """
        self._count_refusal(error.code)
        self._log.write(
            "peer.refused", peer=peer, code=int(error.code), detail=str(error)
        )

    def deliver(
        self, sender: str, message: NamedTuple, reply: Callable[[NamedTuple], None]
    ) -> None:
        """Put a received message on the inbox."""
        self.messages_received[type(message).__name__] += 1
        self.inbox.put(PeerMessage(sender, message, reply))

    def notify_down(self, instance: str, detail: str) -> None:
        """Put a ChannelDown notice on the inbox."""
        self.inbox.put(ChannelDown(instance, detail))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC method table."""
        return {_METHOD: Handler(self._serve, Cardinality.STREAM_STREAM, bytes, bytes)}

    async def _serve(self, stream: Stream) -> None:
        outbox = _Outbox(self, self._codec)
        inbox = _Inbox(
            self,
            self._codec,
            lambda sender, message: self.deliver(sender, message, outbox.put),
        )
        limit_stream(stream)
        await stream.send_initial_metadata()
        writer = asyncio.get_running_loop().create_task(_write_all(stream, outbox))
        try:
            async for data in stream:
                inbox.accept(data)
        except PeerError as error:
            self.refuse(str(stream.peer.addr()), error)
        except _CHANNEL_ERRORS:
            pass  # The instance that opened the stream reports its failure.
        finally:
            writer.cancel()


class _PeerChannel:
    """Outgoing channel to one peer.

    One coroutine opens the stream when there are messages to send, closes it when it is
    idle and reopens it after a failure.
    """

    def __init__(
        self,
        owner: PeerChannels,
        instance: str,
        address: str,
        codec: PeerCodec,
        log: EventLog,
    ) -> None:
        self.address = address
        self._owner = owner
        self._instance = instance
        self._codec = codec
        self._log = log
        self._is_closed = False
        self._last_used_at = time.monotonic()
        self._outbox = _Outbox(owner, codec)
        self._task: asyncio.Task | None = None
        eventlet.asyncio.spawn_for_awaitable(self._run())

    def put(self, message: NamedTuple) -> bool:
        self._last_used_at = time.monotonic()
        return self._outbox.put(message)

    def close(self) -> None:
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        self._task = asyncio.current_task()
        with contextlib.suppress(asyncio.CancelledError):
            while not self._is_closed:
                await self._outbox.wait_for_message()
                detail = await self._run_stream()
                if detail is None:
                    continue  # Idle: the next message reopens the stream.
                self._outbox.clear()
                self._owner.notify_down(self._instance, detail)
                await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _run_stream(self) -> str | None:
        """Run one stream until it closes; return why it failed, None if it was idle."""
        was_idle = False
        host, port = self.address.rsplit(":", 1)
        channel = Channel(
            host, int(port), codec=BytesCodec(), config=_channel_configuration()
        )
        try:
            await asyncio.wait_for(channel.__connect__(), _CONNECT_TIMEOUT_S)
            async with channel.request(
                _METHOD, Cardinality.STREAM_STREAM, bytes, bytes
            ) as stream:
                await stream.send_request()
                limit_stream(stream)
                was_idle = await self._run_until_closed(stream)
            return None if was_idle else "stream ended"
        except PeerError as error:
            self._owner.refuse(self._instance, error)
            return str(error)
        except _CHANNEL_ERRORS as error:
            # Closing an idle stream may raise an error itself.
            return None if was_idle else f"{type(error).__name__}: {error}"
        finally:
            channel.close()

    async def _run_until_closed(self, stream: object) -> bool:
        """Write and read until the stream closes; return whether it was idle."""
        loop = asyncio.get_running_loop()
        writer = loop.create_task(_write_all(stream, self._outbox))
        reader = loop.create_task(self._read_all(stream))
        idle_waiter = loop.create_task(self._wait_until_idle())
        tasks = {writer, reader, idle_waiter}
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            return idle_waiter in done
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_until_idle(self) -> None:
        # Each open stream costs keep-alive pings, so an unused one is closed.
        self._last_used_at = time.monotonic()
        while not self._is_idle():
            await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)

    def _is_idle(self) -> bool:
        return time.monotonic() - self._last_used_at >= _IDLE_TIMEOUT_S

    async def _read_all(self, stream: object) -> None:
        inbox = _Inbox(self._owner, self._codec, self._deliver)
        async for data in stream:
            inbox.accept(data)

    def _deliver(self, sender: str, message: NamedTuple) -> None:
        self._last_used_at = time.monotonic()
        self._owner.deliver(sender, message, self._outbox.put)


async def _write_all(stream: object, outbox: _Outbox) -> None:
    while True:
        await stream.send_message(await outbox.next_envelope())


def _channel_configuration() -> Configuration:
    return Configuration(
        _keepalive_time=_KEEPALIVE_INTERVAL_S,
        _keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=_KEEPALIVE_INTERVAL_S,
    )
