"""HTTP endpoints of an instance: address look-up, readiness, metrics and status."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING, NamedTuple

from prometheus_client import generate_latest

from almondspool.protocol.exchange import COMPLETED_REQUEST, Answer, json_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

    from almondspool.protocol.exchange import CallerRequest, RequestHandle

LOOKUP_PATH = "/api/resolve"
READY_PATH = "/api/ready"
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
# Largest number of addresses that a caller accepts in one answer.
MAX_ADDRESSES = 64
_METRICS_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4"),)


class LookupDependencies(NamedTuple):
    """Data sources of the endpoints.

    Attributes:
        addresses: Returns the instances' addresses for callers in an availability zone,
            at most as many as the second argument says.
        is_ready: Returns whether callers may be sent to this instance.
        ttl_s: Returns how long callers may cache the addresses, in seconds.
        registry: The registry of metrics.
        status: Returns the instance's status for operators.
    """

    addresses: Callable[[str, int], tuple[str, ...]]
    is_ready: Callable[[], bool]
    ttl_s: Callable[[], float]
    registry: CollectorRegistry
    status: Callable[[], dict[str, object]]


class LookupEndpoints:
    """Answers calls to the endpoints at once, from the state of this instance."""

    def __init__(self, dependencies: LookupDependencies) -> None:
        """Answer calls from the given data sources."""
        self._dependencies = dependencies

    def handle(
        self, request: CallerRequest, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer one call; the path selects the endpoint."""
        path, _, query = request.target.partition("?")
        if path == LOOKUP_PATH:
            answer(self._look_up(query))
        elif path == READY_PATH:
            answer(Answer(200 if self._dependencies.is_ready() else 503))
        elif path == METRICS_PATH:
            answer(
                Answer(
                    200, _METRICS_HEADERS, generate_latest(self._dependencies.registry)
                )
            )
        elif path == STATUS_PATH:
            answer(json_answer(self._dependencies.status()))
        else:
            answer(Answer(404))
        return COMPLETED_REQUEST

    def _look_up(self, query: str) -> Answer:
        zone = dict(urllib.parse.parse_qsl(query)).get("zone", "")
        addresses = self._dependencies.addresses(zone, MAX_ADDRESSES)
        if not addresses:
            return Answer(503)
        body = {"addrs": addresses, "ttl_s": self._dependencies.ttl_s()}
        return json_answer(body)
