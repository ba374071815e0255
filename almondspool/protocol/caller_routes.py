"""HTTP routes for callers, health checks and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from almondspool.errors import RequestError
from almondspool.protocol.caller import (
    CallerInterface,
    SearchAnswer,
    as_json_value,
    decode_request,
    encode_answer,
    http_headers,
    http_status,
)
from almondspool.transport.http_server import HttpRequest, HttpResponse, HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

SEARCH_PATH = "/v1/search"
ENTRIES_PATH = "/v1/entries"


class CallerRoutes:
    """Decodes callers' HTTP requests and encodes the answers."""

    def __init__(self, caller: CallerInterface) -> None:
        """Set the caller interface of the instance."""
        self._caller = caller

    def add_to(self, server: HttpServer) -> None:
        """Register every route with a server."""
        server.add_route("POST", SEARCH_PATH, self.post_search)
        server.add_route("GET", ENTRIES_PATH, self.get_entries)

    def post_search(self, request: HttpRequest) -> HttpResponse:
        """Answer ``POST /v1/search``."""
        try:
            decoded = decode_request(request.body)
        except RequestError as error:
            refusal = SearchAnswer("", error.code, message=str(error))
            return _answer_response(refusal)
        return _answer_response(self._caller.search(decoded))

    def get_entries(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /v1/entries?zone=ZONE``."""
        entries = self._caller.entries(request.query.get("zone", ""))
        return HttpResponse(200, msgspec.json.encode(as_json_value(entries)))


class HealthRoutes:
    """Answers health checks and metrics scrapes."""

    def __init__(
        self, registry: CollectorRegistry, is_ready: Callable[[], bool]
    ) -> None:
        """Set the registry of the metrics and the readiness check."""
        self._registry = registry
        self._is_ready = is_ready

    def add_to(self, server: HttpServer) -> None:
        """Register every route with a server."""
        server.add_route("GET", "/healthz", self.get_health)
        server.add_route("GET", "/readyz", self.get_readiness)
        server.add_route("GET", "/metrics", self.get_metrics)

    def get_health(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /healthz``: whether the process runs."""
        return HttpResponse(200, b'{"healthy": true}')

    def get_readiness(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /readyz``: whether the instance accepts work."""
        if self._is_ready():
            return HttpResponse(200, b'{"ready": true}')
        return HttpResponse(503, b'{"ready": false}')

    def get_metrics(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /metrics`` in the Prometheus text format."""
        return HttpResponse(200, generate_latest(self._registry), CONTENT_TYPE_LATEST)


def _answer_response(answer: SearchAnswer) -> HttpResponse:
    return HttpResponse(
        http_status(answer.code), encode_answer(answer), headers=http_headers(answer)
    )
