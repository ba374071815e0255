"""The daemon, with links to its peers and the platform that can be cut.

A file lists the links that are cut. Only the endpoints of the transport are patched;
decisions and settings are those of the daemon. Each instance needs a distinct IP
address as the host of its peer address, since a link is identified by the hosts at its
ends.
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

# Interval at which blocked traffic checks whether its link is restored.
CUT_POLL_S = 0.02

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
    """A TCP connection to a peer.

    Attributes:
        host: The peer's host.
        deferred_events: Functions that deliver the events which wait until the link
            from the peer is restored, in order.
    """

    host: str
    deferred_events: collections.deque[Callable[[], None]]


class LinkCutInjector:
    """Patches the endpoints of the transport so that cut links carry no traffic."""

    def __init__(self, host: str, cuts: LinkCuts) -> None:
        """Use the cuts of the links to and from this host."""
        self._host = host
        self._cuts = cuts
        self._connections_by_protocol: dict[H2Protocol, _PeerConnection] = {}

    def install(self) -> None:
        """Patch the transport of this process."""
        HeartbeatSocket.send = lambda *args: self._send_heartbeat(*args)
        Channel._create_connection = lambda channel: self._connect(channel)
        H2Protocol.connection_made = lambda *args: self._on_connection_made(*args)
        H2Protocol.data_received = lambda protocol, data: self._deliver_in_order(
            protocol, lambda: _original_data_received(protocol, data)
        )
        H2Protocol.connection_lost = lambda protocol, error: self._deliver_in_order(
            protocol, lambda: self._on_connection_lost(protocol, error)
        )
        HttpPlatform._call = lambda *args, **keywords: self._call_platform(
            *args, **keywords
        )

    def _send_heartbeat(
        self, heartbeats: HeartbeatSocket, sender: str, action: SendDatagram
    ):
        target = action.address.rpartition(":")[0]
        if not self._cuts.is_cut(self._host, target):
            _original_send(heartbeats, sender, action)

    async def _connect(self, channel: Channel) -> H2Protocol:
        while self._cuts.is_cut_either_way(self._host, channel._host):
            await asyncio.sleep(CUT_POLL_S)
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

    def _deliver_in_order(
        self, protocol: H2Protocol, deliver: Callable[[], None]
    ) -> None:
        """Deliver an event after earlier ones, once the link from the peer is open."""
        connection = self._connections_by_protocol[protocol]
        connection.deferred_events.append(deliver)
        if len(connection.deferred_events) == 1:
            self._deliver_deferred_events(connection)

    def _deliver_deferred_events(self, connection: _PeerConnection) -> None:
        while connection.deferred_events:
            if self._cuts.is_cut(connection.host, self._host):
                asyncio.get_running_loop().call_later(
                    CUT_POLL_S, self._deliver_deferred_events, connection
                )
                return
            deliver = connection.deferred_events.popleft()
            deliver()

    def _on_connection_lost(
        self, protocol: H2Protocol, error: Exception | None
    ) -> None:
        del self._connections_by_protocol[protocol]
        _original_connection_lost(protocol, error)

    def _call_platform(
        self, platform: HttpPlatform, *args: Any, **keywords: Any
    ) -> Result[Any, PlatformError]:
        if self._cuts.is_cut(self._host, PLATFORM_HOST):
            eventlet.sleep(platform._timeout_s)
            return Failure(PlatformError("the call was lost on a cut link"))
        result = _original_call(platform, *args, **keywords)
        if self._cuts.is_cut(PLATFORM_HOST, self._host):
            eventlet.sleep(platform._timeout_s)
            return Failure(PlatformError("the reply was lost on a cut link"))
        return result


def main(argv: list[str]) -> int:
    """Run the daemon with links that can be cut; return its exit code."""
    cuts = LinkCuts(pathlib.Path(_CUTS_FILE.value))
    LinkCutInjector(_HOST.value, cuts).install()
    return daemon.main(argv)


def run() -> None:
    """Parse the flags and run main()."""
    app.run(main)


if __name__ == "__main__":
    run()
