"""A loopback proxy whose links are delayed, reset, cut one way or silenced.

Run ``python -m soak.proxy PLAN``. Its control address takes ``{"link", "mode"}``.
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
DELAY_S = 0.15
CONNECT_TIMEOUT_S = 2.0


class Link(msgspec.Struct):
    """One address that is passed on to another."""

    name: str
    listen: str
    target: str


class ProxyPlan(msgspec.Struct):
    """All links of a proxy, and where it takes orders."""

    control: str
    links: list[Link]


class _Pair:
    """One connection and its continuation."""

    def __init__(self, near: socket.socket, far: socket.socket, link: _Link) -> None:
        self._link = link
        self.is_silent = False
        self._near = HubSocket(near, self._from_near, lambda _: self.close())
        self._far = HubSocket(far, self._from_far, lambda _: self.close())

    def close(self, reset: bool = False) -> None:
        self._near.close(reset)
        self._far.close(reset)
        self._link.pairs.discard(self)

    def _from_near(self, data: bytes) -> None:
        self._pass_on(data, self._far)

    def _from_far(self, data: bytes) -> None:
        if self._link.mode != "cut_replies":
            self._pass_on(data, self._near)

    def _pass_on(self, data: bytes, to: HubSocket) -> None:
        if self.is_silent or self._link.mode == "silent":
            return
        if self._link.mode == "delay":
            self._link.timers.call_later(DELAY_S, lambda: to.write(data))
        else:
            to.write(data)


class _Link:
    def __init__(self, link: Link, timers: HubTimers) -> None:
        self.mode = "open"
        self.pairs: set[_Pair] = set()
        self.timers = timers
        self._target = parse_host_port(link.target)
        HubListener(parse_host_port(link.listen), self._accept)

    def set_mode(self, mode: str) -> None:
        if mode == "silence_open":
            # What is open goes silent for good; new connections work.
            for pair in self.pairs:
                pair.is_silent = True
            return
        self.mode = mode
        if mode == "reset":
            for pair in tuple(self.pairs):
                pair.close(reset=True)

    def _accept(self, near: socket.socket) -> None:
        def connected(far: socket.socket | None, _failure: object) -> None:
            if far is None or self.mode == "reset":
                near.close()
                if far is not None:
                    far.close()
                return
            self.pairs.add(_Pair(near, far, self))

        ConnectAttempt(self._target, CONNECT_TIMEOUT_S, connected)


def main(path: str) -> None:
    """Pass on until the process is ended."""
    plan = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=ProxyPlan)
    timers = HubTimers()
    links_by_name = {link.name: _Link(link, timers) for link in plan.links}

    def order(
        request: CallerRequest, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        values = msgspec.json.decode(request.body)
        links_by_name[values["link"]].set_mode(values["mode"])
        answer(Answer(200))
        return COMPLETED_REQUEST

    server = CallerServer(
        PlatformHeaderCodec(), timers, order, CallerLimits, lambda _: None
    )
    server.listen(plan.control)
    while True:
        eventlet.sleep(60)


if __name__ == "__main__":
    main(sys.argv[1])
