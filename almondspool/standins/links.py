"""The daemon with links to peers and to the platform that a file can cut.

Only the endpoints of the transport are patched; decisions and settings are those of
the daemon. Each instance needs a distinct IP address as the host of its peer address,
since a link is identified by the hosts at its ends.
"""

from __future__ import annotations

from almondspool import daemon  # First: it monkey-patches the standard library.

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

_CUTS_FILE = flags.DEFINE_string(
    "cuts", None, "File with the cut links.", required=True
)
_HOST = flags.DEFINE_string("host", None, "IP address of this instance.", required=True)

_original_send = HeartbeatSocket.send
_original_create_connection = Channel._create_connection
_original_connection_made = H2Protocol.connection_made
_original_data_received = H2Protocol.data_received
_original_connection_lost = H2Protocol.connection_lost
_original_call = HttpPlatform._call


class _PeerConnection(NamedTuple):
    """A TCP connection: the peer's host and the events deferred by a cut link."""

    host: str
    deferred: collections.deque[Callable[[], None]]


class LinkCutInjector:
    """Patches the endpoints of the transport to apply the cuts."""

    def __init__(self, host: str, cuts: LinkCuts) -> None:
        """Apply the cuts to the links of one host."""
        self._host = host
        self._cuts = cuts
        self._connections_by_protocol: dict[H2Protocol, _PeerConnection] = {}

    def install(self) -> None:
        """Patch the transport of this process."""
        HeartbeatSocket.send = lambda *args: self._send(*args)
        Channel._create_connection = lambda channel: self._connect(channel)
        H2Protocol.connection_made = lambda *args: self._on_connection_made(*args)
        H2Protocol.data_received = lambda protocol, data: self._receive(
            protocol, lambda: _original_data_received(protocol, data)
        )
        H2Protocol.connection_lost = lambda protocol, error: self._receive(
            protocol, lambda: self._on_connection_lost(protocol, error)
        )
        HttpPlatform._call = lambda *args, **named: self._call(*args, **named)

    def _send(self, heartbeats: HeartbeatSocket, sender: str, action: SendDatagram):
        target = action.address.rpartition(":")[0]
        if not self._cuts.is_cut(self._host, target):
            _original_send(heartbeats, sender, action)

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

    def _on_connection_made(
        self, protocol: H2Protocol, transport: asyncio.Transport
    ) -> None:
        host = transport.get_extra_info("peername")[0]
        self._connections_by_protocol[protocol] = _PeerConnection(
            host, collections.deque()
        )
        _original_connection_made(protocol, transport)

    def _receive(self, protocol: H2Protocol, deliver: Callable[[], None]) -> None:
        """Deliver events in order, once the link from the peer is restored."""
        connection = self._connections_by_protocol[protocol]
        connection.deferred.append(deliver)
        if len(connection.deferred) == 1:
            self._deliver_deferred(connection)

    def _deliver_deferred(self, connection: _PeerConnection) -> None:
        while connection.deferred:
            if self._cuts.is_cut(connection.host, self._host):
                asyncio.get_running_loop().call_later(
                    POLL_S, self._deliver_deferred, connection
                )
                return
            deliver = connection.deferred.popleft()
            deliver()

    def _on_connection_lost(
        self, protocol: H2Protocol, error: Exception | None
    ) -> None:
        del self._connections_by_protocol[protocol]
        _original_connection_lost(protocol, error)

    def _call(
        self, platform: HttpPlatform, *args: Any, **named: Any
    ) -> Result[Any, PlatformError]:
        if self._cuts.is_cut(self._host, PLATFORM_HOST):
            eventlet.sleep(platform._timeout_s)
            return Failure(PlatformError("the call never arrived"))
        result = _original_call(platform, *args, **named)
        if self._cuts.is_cut(PLATFORM_HOST, self._host):
            eventlet.sleep(platform._timeout_s)
            return Failure(PlatformError("the reply never arrived"))
        return result


def main(argv: list[str]) -> int:
    """Run the daemon with links that can be cut."""
    cuts = LinkCuts(pathlib.Path(_CUTS_FILE.value))
    LinkCutInjector(_HOST.value, cuts).install()
    return daemon.main(argv)


def run() -> None:
    """Run the process."""
    app.run(main)


if __name__ == "__main__":
    run()
