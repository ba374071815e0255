"""The daemon with links to peers and to the platform that a file can cut.

Decisions and settings are those of the daemon; only the ends of its transport look
at the file. Each instance needs an IP number of its own as the host of its peer
address, since a link is named by the hosts at its ends.
"""

from __future__ import annotations

from almondspool import daemon  # First: it makes the standard library green.

# isort: split
import asyncio
import collections
import pathlib
from typing import TYPE_CHECKING, Any, NamedTuple

import eventlet
from absl import app, flags
from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from returns.result import Failure

from almondspool.errors import PlatformError
from almondspool.protocol.http_platform import HttpPlatform
from almondspool.standins.link_cuts import PLATFORM_HOST, LinkCuts
from almondspool.transport.heartbeats import HeartbeatSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from almondspool.coordination.membership.member_actions import SendDatagram

POLL_S = 0.02

_CUTS_FILE = flags.DEFINE_string("cuts", None, "The file of cut links.", required=True)
_HOST = flags.DEFINE_string("host", None, "The own IP number.", required=True)

_send = HeartbeatSocket.send
_create_connection = Channel._create_connection
_connection_made = H2Protocol.connection_made
_data_received = H2Protocol.data_received
_connection_lost = H2Protocol.connection_lost
_call = HttpPlatform._call


class _Wire(NamedTuple):
    """A TCP connection: the peer's host and what waits for the link to heal."""

    host: str
    held: collections.deque[Callable[[], None]]


class CutLinks:
    """Replaces the ends of the transport by ones that obey the cuts."""

    def __init__(self, host: str, cuts: LinkCuts) -> None:
        """Stand at one host."""
        self._host = host
        self._cuts = cuts
        self._wires_by_protocol: dict[H2Protocol, _Wire] = {}

    def install(self) -> None:
        """Patch the transport of this process."""
        HeartbeatSocket.send = lambda *args: self._send(*args)
        Channel._create_connection = lambda channel: self._connect(channel)
        H2Protocol.connection_made = lambda *args: self._made(*args)
        H2Protocol.data_received = lambda protocol, data: self._receive(
            protocol, lambda: _data_received(protocol, data)
        )
        H2Protocol.connection_lost = lambda protocol, error: self._receive(
            protocol, lambda: self._lose(protocol, error)
        )
        HttpPlatform._call = lambda *args, **named: self._call(*args, **named)

    def _send(self, heartbeats: HeartbeatSocket, sender: str, action: SendDatagram):
        target = action.address.rpartition(":")[0]
        if not self._cuts.is_cut(self._host, target):
            _send(heartbeats, sender, action)

    async def _connect(self, channel: Channel) -> H2Protocol:
        while self._cuts.is_cut_either_way(self._host, channel._host):
            await asyncio.sleep(POLL_S)
        _, protocol = await channel._loop.create_connection(
            channel._protocol_factory,
            channel._host,
            channel._port,
            local_addr=(self._host, 0),
        )
        return protocol

    def _made(self, protocol: H2Protocol, transport: asyncio.Transport) -> None:
        host = transport.get_extra_info("peername")[0]
        self._wires_by_protocol[protocol] = _Wire(host, collections.deque())
        _connection_made(protocol, transport)

    def _receive(self, protocol: H2Protocol, take: Callable[[], None]) -> None:
        """Take what arrived, in order, once the peer's link to here is whole."""
        wire = self._wires_by_protocol[protocol]
        wire.held.append(take)
        if len(wire.held) == 1:
            self._take_held(wire)

    def _take_held(self, wire: _Wire) -> None:
        while wire.held:
            if self._cuts.is_cut(wire.host, self._host):
                asyncio.get_running_loop().call_later(POLL_S, self._take_held, wire)
                return
            take = wire.held.popleft()
            take()

    def _lose(self, protocol: H2Protocol, error: Exception | None) -> None:
        del self._wires_by_protocol[protocol]
        _connection_lost(protocol, error)

    def _call(
        self, platform: HttpPlatform, *args: Any, **named: Any
    ) -> Result[Any, PlatformError]:
        if self._cuts.is_cut(self._host, PLATFORM_HOST):
            eventlet.sleep(platform._timeout_s)
            return Failure(PlatformError("the call never arrived"))
        result = _call(platform, *args, **named)
        if self._cuts.is_cut(PLATFORM_HOST, self._host):
            eventlet.sleep(platform._timeout_s)
            return Failure(PlatformError("the reply never arrived"))
        return result


def main(argv: list[str]) -> int:
    """Run the daemon behind links that can be cut."""
    cuts = LinkCuts(pathlib.Path(_CUTS_FILE.value))
    CutLinks(_HOST.value, cuts).install()
    return daemon.main(argv)


def run() -> None:
    """Run the process."""
    app.run(main)


if __name__ == "__main__":
    run()
