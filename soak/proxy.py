"""Loopback proxy whose links can be delayed, reset, cut one way or silenced.

Run ``python -m soak.proxy PLAN`` with the path of a ProxyPlan in JSON. A request to
the control address with the body ``{"link": NAME, "mode": MODE}`` sets the mode of a
link:

- ``open``: Forwards all data.
- ``delay``: Forwards data after LINK_DELAY_S.
- ``reset``: Resets open connections and closes new ones.
- ``silent``: Keeps connections open and discards all data.
- ``cut_replies``: Discards the data that the target sends.
- ``silence_open``: Discards all data of the connections that are open now, until they
  close. The link keeps its mode for new connections.
"""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import eventlet
import msgspec

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import COMPLETED_REQUEST, Answer
from almondspool.state.routes import CallerLimits
from almondspool.transport.caller_server import CallerServer
from almondspool.transport.hub_socket import (
    ConnectAttempt,
    HubListener,
    HubSocket,
    parse_host_port,
)
from almondspool.transport.hub_timers import HubTimers

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest, RequestHandle

MODES = ("open", "delay", "reset", "silent", "cut_replies", "silence_open")
LINK_DELAY_S = 0.15
CONNECT_TIMEOUT_S = 2.0


class LinkPlan(msgspec.Struct):
    """Plan of one link.

    Attributes:
        name: Name of the link in control requests.
        listen: ``ip:port`` where the proxy accepts connections.
        target: ``ip:port`` that the connections are forwarded to.
    """

    name: str
    listen: str
    target: str


class ProxyPlan(msgspec.Struct):
    """Plan of a proxy: its links, and the ``ip:port`` for control requests."""

    control: str
    links: list[LinkPlan]


class _ProxiedConnection:
    """A client's connection and the connection to the target that serves it."""

    def __init__(
        self, client_socket: socket.socket, server_socket: socket.socket, link: _Link
    ) -> None:
        self._link = link
        self.is_silent = False
        self._client = HubSocket(
            client_socket, self._on_client_data, lambda _: self.close()
        )
        self._server = HubSocket(
            server_socket, self._on_server_data, lambda _: self.close()
        )

    def close(self, reset: bool = False) -> None:
        self._client.close(reset)
        self._server.close(reset)
        self._link.connections.discard(self)

    def _on_client_data(self, data: bytes) -> None:
        self._forward(data, self._server)

    def _on_server_data(self, data: bytes) -> None:
        if self._link.mode != "cut_replies":
            self._forward(data, self._client)

    def _forward(self, data: bytes, receiver: HubSocket) -> None:
        if self.is_silent or self._link.mode == "silent":
            return
        if self._link.mode == "delay":
            self._link.timers.call_later(LINK_DELAY_S, lambda: receiver.write(data))
        else:
            receiver.write(data)


class _Link:
    """A listener, its current mode and its open connections."""

    def __init__(self, plan: LinkPlan, timers: HubTimers) -> None:
        self.mode = "open"
        self.connections: set[_ProxiedConnection] = set()
        self.timers = timers
        self._target = parse_host_port(plan.target)
        HubListener(parse_host_port(plan.listen), self._accept)

    def set_mode(self, mode: str) -> None:
        if mode == "silence_open":
            # The open connections stay silent until they close; new ones work.
            for connection in self.connections:
                connection.is_silent = True
            return
        self.mode = mode
        if mode == "reset":
            for connection in tuple(self.connections):
                connection.close(reset=True)

    def _accept(self, client_socket: socket.socket) -> None:
        def on_connected(server_socket: socket.socket | None, _failure: object) -> None:
            if server_socket is None or self.mode == "reset":
                client_socket.close()
                if server_socket is not None:
                    server_socket.close()
                return
            self.connections.add(_ProxiedConnection(client_socket, server_socket, self))

        ConnectAttempt(self._target, CONNECT_TIMEOUT_S, on_connected)


def main(plan_path: str) -> None:
    """Forward connections until the process is terminated."""
    plan = msgspec.json.decode(pathlib.Path(plan_path).read_bytes(), type=ProxyPlan)
    timers = HubTimers()
    links_by_name = {link.name: _Link(link, timers) for link in plan.links}

    def handle_control(
        request: CallerRequest, send_answer: Callable[[Answer], None]
    ) -> RequestHandle:
        command = msgspec.json.decode(request.body)
        links_by_name[command["link"]].set_mode(command["mode"])
        send_answer(Answer(200))
        return COMPLETED_REQUEST

    server = CallerServer(
        PlatformHeaderCodec(), timers, handle_control, CallerLimits, lambda _: None
    )
    server.listen(plan.control)
    while True:
        eventlet.sleep(60)


if __name__ == "__main__":
    main(sys.argv[1])
