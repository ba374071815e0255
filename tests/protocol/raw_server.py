"""Threaded upstream server; a test script writes the raw bytes of its replies."""

from __future__ import annotations

import itertools
import json
import socket
import threading
import time

from almondspool.protocol.upstream import Leg
from almondspool.state.document import Upstream


class RawServer:
    """Calls ``script(connection, body, nth)`` for each request until it is closed.

    The script may send arbitrary bytes on the connection; if it returns False, the
    connection is closed. ``body`` is the decoded JSON body, and ``nth`` counts the
    requests of all connections from 1.
    """

    def __init__(self, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.upstream = Upstream(
            "searcher-1", f"127.0.0.1:{self._listener.getsockname()[1]}", "z", 2, 4
        )
        self.connections = []
        self.requests = []
        self._counter = itertools.count(1)
        self._listener.settimeout(0.01)
        self._stopping = False
        self._acceptor = threading.Thread(target=self._accept, daemon=True)
        self._acceptor.start()

    def close(self):
        self.stop_listening()
        for connection in self.connections:
            connection.close()

    def stop_listening(self):
        self._stopping = True
        self._acceptor.join(5)
        self._listener.close()

    def _accept(self):
        while not self._stopping:
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            connection.settimeout(None)
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                request_line = stream.readline()
                if not request_line:
                    return
                length = 0
                while (line := stream.readline()) not in (b"\r\n", b""):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = json.loads(stream.read(length) or b"{}")
                self.requests.append((request_line.split()[1].decode(), body))
                if self._script(connection, body, next(self._counter)) is False:
                    connection.shutdown(socket.SHUT_RDWR)
                    return
        except OSError:
            return


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def result_line(leg_id, snapshot=7, shard="s1", status="ok", **fields):
    record = {"record_id": f"r-{leg_id}", "fields": {"street": "Low St"}}
    body = {"leg_id": leg_id, "status": status, "snapshot": snapshot, "shard": shard}
    body |= {"records": [record], "detail": "", "was_run": True} | fields
    return json.dumps(body).encode() + b"\n"


def complete_reply(*lines):
    return CHUNKED_HEAD + b"".join(chunk(item) for item in lines) + LAST_CHUNK


def make_leg(leg_id, **fields):
    leg = Leg(leg_id, f"request-{leg_id}", "perth", 7, "s1", {"a": "b"}, 1000)
    return leg._replace(**fields)


def wait_until(condition, limit_s=5.0):
    end = time.monotonic() + limit_s
    while not condition() and time.monotonic() < end:
        time.sleep(0.005)
