"""The daemon of the platform, with links to the upstreams that can be cut.

Run ``python -m almondspool.standins.hosted_links`` like the daemon. A file beside its
settings, with the suffix ``.cut``, holds an UpstreamCut in JSON while links are cut.
Only the endpoints of the transport are patched.
"""

from __future__ import annotations

from almondspool.platform import __main__ as daemon  # First: it configures eventlet.

# isort: split
import os
import pathlib
import weakref
from typing import TYPE_CHECKING

import msgspec
from eventlet import hubs

from almondspool.platform.settings import SETTINGS_VARIABLE
from almondspool.standins.hosted_cuts import CUT_SUFFIX, UpstreamCut
from almondspool.transport import upstream_connection, upstream_pools
from almondspool.transport.hub_socket import (
    USER_TIMEOUT_MS,
    ConnectAttempt,
    ConnectFailure,
    HubSocket,
    parse_host_port,
    plain_socket,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

POLL_INTERVAL_S = 0.02
# A refused connection fails after a round trip.
REFUSAL_DELAY_S = 0.001


class _Cuts:
    """Reads the file, and ends or silences the open connections that it names."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._mode_by_address: dict[tuple[str, int], str] = {}
        self.sockets: weakref.WeakSet[_CuttableSocket] = weakref.WeakSet()
        self._poll()

    def mode(self, address: tuple[str, int]) -> str:
        return self._mode_by_address.get(address, "")

    def _poll(self) -> None:
        hubs.get_hub().schedule_call_global(POLL_INTERVAL_S, self._poll)
        try:
            cut = msgspec.json.decode(self._path.read_bytes(), type=UpstreamCut)
            modes = {parse_host_port(each): cut.mode for each in cut.addresses}
        except (FileNotFoundError, msgspec.DecodeError):
            # No link is cut, or the file is being written.
            modes = {}
        if modes != self._mode_by_address:
            self._mode_by_address = modes
            for each in tuple(self.sockets):
                each.apply_cut(self.mode(each.address))


_cuts: _Cuts


class _CuttableSocket(HubSocket):
    """Connection to an upstream that stays silent once its link hangs."""

    def __init__(
        self,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[bool], None],
    ) -> None:
        self.address = sock.getpeername()
        self._is_silent = False
        super().__init__(sock, self._filter_data, on_closed)
        self._deliver = on_data
        _cuts.sockets.add(self)

    def apply_cut(self, mode: str) -> None:
        if mode == "reset":
            self._on_disconnect(False)
        elif mode == "hang":
            self._is_silent = True
            hubs.get_hub().schedule_call_global(
                USER_TIMEOUT_MS / 1000.0, self._on_disconnect, False
            )

    def write(self, data: bytes) -> None:
        if not self._is_silent:
            super().write(data)

    def _filter_data(self, data: bytes) -> None:
        if not self._is_silent:
            self._deliver(data)


class _CuttableAttempt(ConnectAttempt):
    """Attempt to connect that fails if the link to the upstream is cut."""

    def __init__(
        self,
        address: tuple[str, int],
        timeout_s: float,
        on_end: Callable[[socket.socket | None, ConnectFailure | None], None],
    ) -> None:
        mode = _cuts.mode(address)
        if not mode:
            super().__init__(address, timeout_s, on_end)
            return
        self._on_end = on_end
        self._hub = hubs.get_hub()
        self._writer = None
        self._socket = plain_socket.socket()
        failure = ConnectFailure.TIMEOUT if mode == "hang" else ConnectFailure.REFUSED
        delay_s = timeout_s if mode == "hang" else REFUSAL_DELAY_S
        self._timer = self._hub.schedule_call_global(delay_s, self._fail, failure)


def main() -> int:
    """Run the daemon with links that can be cut; return its exit code."""
    global _cuts
    settings_path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
    _cuts = _Cuts(settings_path.with_suffix(CUT_SUFFIX))
    upstream_pools.ConnectAttempt = _CuttableAttempt
    upstream_connection.HubSocket = _CuttableSocket
    return daemon.main()


if __name__ == "__main__":
    os._exit(main())
