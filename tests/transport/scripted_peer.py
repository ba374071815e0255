"""Servers and callers whose connections run on the hub, for tests of the other end."""

from __future__ import annotations

import socket

import eventlet

from almondspool.transport.hub_socket import ConnectAttempt, HubListener, HubSocket

# Upper bound on polls of a condition; only a failing test reaches it.
MAX_POLLS = 2000
POLL_INTERVAL_S = 0.005


def wait_until(condition):
    """Run the hub until a condition holds; return whether it does."""
    for _ in range(MAX_POLLS):
        if condition():
            return True
        eventlet.sleep(POLL_INTERVAL_S)
    return False


class ScriptedConnection:
    """An accepted connection that passes received bytes to a script.

    Attributes:
        received: All bytes received.
        is_closed: Whether the other end closed or reset the connection.
        socket: The HubSocket of the connection.
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
    """A server that calls ``script(connection, data)`` for received bytes.

    Attributes:
        connections: All accepted connections, in order.
        address: ``ip:port`` of its listener.
    """

    def __init__(self, script):
        self.connections = []
        self._script = script
        self._listener = HubListener(("127.0.0.1", 0), self._on_accept)
        self.address = f"127.0.0.1:{self._listener.port}"

    def _on_accept(self, sock):
        self.connections.append(ScriptedConnection(sock, self._script))

    def close(self):
        self._listener.close()
        for connection in self.connections:
            connection.close()


class Caller:
    """A client connection to a server under test.

    Attributes:
        received: All bytes received.
        is_closed: Whether the server closed the connection.
        socket: The HubSocket of the connection, or None until it is established.
    """

    def __init__(self, address):
        self.received = b""
        self.is_closed = False
        self.socket = None
        host, _, port = address.rpartition(":")
        ConnectAttempt((host, int(port)), 5.0, self._on_connected)
        wait_until(lambda: self.socket is not None)

    def _on_connected(self, sock, _):
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
    """Return an address without a listener."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
