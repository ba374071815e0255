"""HTTP server for callers and operators, based on eventlet's WSGI server."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING, NamedTuple

import eventlet
import eventlet.wsgi

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_MAX_CONNECTIONS = 4096
# Of each read and write; a connection that is idle for longer is closed.
_SOCKET_TIMEOUT_S = 60.0
_JSON_TYPE = "application/json"


class HttpRequest(NamedTuple):
    """A complete request.

    Attributes:
        method: GET, POST or PUT.
        path: The path after the route's prefix.
        query: First value of each query parameter.
        body: The body, truncated to one byte more than the server's limit.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """A response to a caller or operator.

    Attributes:
        status: The HTTP status.
        body: The body.
        content_type: Value of the Content-Type header.
        headers: Names and values of further headers.
    """

    status: int
    body: bytes
    content_type: str = _JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


_REASON_BY_STATUS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class HttpServer:
    """Routes requests to handlers by method and longest path prefix."""

    def __init__(self, max_body_bytes: int) -> None:
        """Create a server without routes; listen() starts it.

        Args:
            max_body_bytes: Size limit of request bodies, which the handlers check. One
                byte more is read, so that they can detect a longer body.
        """
        self._max_body_bytes = max_body_bytes
        self._handler_by_route: dict[
            tuple[str, str], Callable[[HttpRequest], HttpResponse]
        ] = {}
        self._listener: eventlet.greenio.GreenSocket | None = None
        self._thread: eventlet.greenthread.GreenThread | None = None

    def add_route(
        self,
        method: str,
        prefix: str,
        handler: Callable[[HttpRequest], HttpResponse],
    ) -> None:
        """Route requests with a method and path prefix to a handler."""
        self._handler_by_route[method, prefix] = handler

    def listen(self, address: str) -> None:
        """Start serving on ``ip:port``.

        Raises:
            OSError: If the address is in use.
        """
        host, port = address.rsplit(":", 1)
        self._listener = eventlet.listen(
            (host, int(port)), backlog=1024, reuse_port=False
        )
        self._thread = eventlet.spawn(
            eventlet.wsgi.server,
            self._listener,
            self._serve,
            log_output=False,
            max_size=_MAX_CONNECTIONS,
            socket_timeout=_SOCKET_TIMEOUT_S,
            debug=False,
        )

    def close(self) -> None:
        """Close the listener and stop the server thread."""
        if self._listener is not None:
            self._listener.close()
        if self._thread is not None:
            self._thread.kill()

    def _serve(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        response = self._respond(environ)
        reason = _REASON_BY_STATUS.get(response.status, "Unknown")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(f"{response.status} {reason}", headers)
        return [response.body]

    def _respond(self, environ: dict) -> HttpResponse:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        route = self._find_route(method, path)
        if route is None:
            return HttpResponse(404, b'{"message": "no such path"}')
        prefix, handler = route
        parameters = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
        query = dict(reversed(parameters))
        body = self._read_body(environ)
        return handler(HttpRequest(method, path[len(prefix) :], query, body))

    def _find_route(
        self, method: str, path: str
    ) -> tuple[str, Callable[[HttpRequest], HttpResponse]] | None:
        matches = [
            prefix
            for route_method, prefix in self._handler_by_route
            if route_method == method and path.startswith(prefix)
        ]
        if not matches:
            return None
        prefix = max(matches, key=len)
        return prefix, self._handler_by_route[method, prefix]

    def _read_body(self, environ: dict) -> bytes:
        return environ["wsgi.input"].read(self._max_body_bytes + 1)
