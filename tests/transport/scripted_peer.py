"""Both ends of HTTP connections for tests, scripted byte by byte on the hub."""

from __future__ import annotations

import socket

import eventlet

from almondspool.transport.hub_socket import ConnectAttempt, HubListener, HubSocket

# Turns of the hub that a test waits at most; only a failing test uses them up.
MAX_TURNS = 2000
TURN_S = 0.005


def wait_until(condition):
    """Let the hub run until a condition holds; return whether it does."""
    for _ in range(MAX_TURNS):
        if condition():
            return True
        eventlet.sleep(TURN_S)
    return False


class PeerConnection:
    """One accepted connection: what came in, and a way to answer.

    Attributes:
        received: All bytes so far.
        is_closed: Whether the other end closed or reset.
    """

    def __init__(self, sock, script):
        self.received = b""
        self.is_closed = False
        self._script = script
        self.socket = HubSocket(sock, self._on_data, self._on_closed)

    def _on_data(self, data):
        self.received += data
        self._script(self, data)

    def _on_closed(self, _):
        self.is_closed = True

    def write(self, data):
        self.socket.write(data)

    def close(self, reset=False):
        self.socket.close(reset)


class ScriptedServer:
    """Calls ``script(connection, data)`` for all bytes that arrive."""

    def __init__(self, script):
        self.connections = []
        self._script = script
        self._listener = HubListener(("127.0.0.1", 0), self._accept)
        self.address = f"127.0.0.1:{self._listener.port}"

    def _accept(self, sock):
        self.connections.append(PeerConnection(sock, self._script))

    def close(self):
        self._listener.close()
        for connection in self.connections:
            connection.close()


class Caller:
    """A client's end of one connection.

    Attributes:
        received: All bytes so far.
        is_closed: Whether the server closed.
    """

    def __init__(self, address):
        self.received = b""
        self.is_closed = False
        self.socket = None
        host, _, port = address.rpartition(":")
        ConnectAttempt((host, int(port)), 5.0, self._connected)
        wait_until(lambda: self.socket is not None)

    def _connected(self, sock, _):
        self.socket = HubSocket(sock, self._on_data, self._on_closed)

    def _on_data(self, data):
        self.received += data

    def _on_closed(self, _):
        self.is_closed = True

    def write(self, data):
        self.socket.write(data)

    def close(self):
        self.socket.close()


def unused_address():
    """Return an address at which nobody listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
