"""Prometheus metrics of an instance that routes requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from almondspool.codes import ResultCode

# Request latency, from that of a short leg to the longest timeout of a route.
_LATENCY_BUCKETS_S = (0.02, 0.04, 0.06, 0.08, 0.1, 0.14, 0.2, 0.3, 0.6, 1.2, 4.0)

# Expected wait, from less than half a queue round (the time of one request in each of a
# replica's slots) to the latency target of a long search.
_WAIT_BUCKETS_S = (0.0, 0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.14)


class RouteGauges(NamedTuple):
    """Gauge values of an instance at one moment.

    Attributes:
        version: Version of the configuration in force.
        version_age_s: How long it has been in force, in seconds.
        in_flight: Requests that are not answered yet.
        connections_by_service: Open connections to upstreams.
        waiting: Legs that wait for a connection.
        oldest_wait_s: How long the oldest of them has waited, in seconds.
        budget_left: Hedges and retries left to the service that has the fewest.
        longest_turn_s: Longest recent event loop lag, in seconds.
        serving: Number of instances that callers are sent to.
        isolated: 1 if no upstream can be connected to, so that requests are relayed to
            other instances; otherwise 0.
    """

    version: int
    version_age_s: float
    in_flight: int
    connections_by_service: Mapping[str, int]
    waiting: int
    oldest_wait_s: float
    budget_left: float
    longest_turn_s: float
    serving: int
    isolated: int


# Metric name, without its prefix, and help text of each field of RouteGauges.
_METRIC_BY_FIELD = {
    "version": ("configuration_version", "Version of the configuration in force."),
    "version_age_s": (
        "configuration_age_seconds",
        "For how long the configuration has been in force.",
    ),
    "in_flight": ("requests_in_flight", "Requests that are not answered yet."),
    "waiting": ("legs_waiting", "Legs that wait for a connection."),
    "oldest_wait_s": (
        "oldest_leg_wait_seconds",
        "How long the oldest leg has waited for a connection.",
    ),
    "budget_left": (
        "extra_sends_left",
        "Hedges and retries left to the service that has the fewest.",
    ),
    "longest_turn_s": (
        "longest_turn_seconds",
        "Longest delay of a timer by other work in the last ten seconds.",
    ),
    "serving": ("serving_instances", "Instances that callers are sent to."),
    "isolated": ("isolated", "Whether no upstream can be connected to."),
}


class _GaugeCollector(Collector):
    """Reads the gauge values on each scrape, so that they cost nothing in between."""

    def __init__(self, read: Callable[[], RouteGauges]) -> None:
        self._read = read

    def collect(self) -> Iterator[GaugeMetricFamily]:
        gauges = self._read()
        for field_name, (name, help_text) in _METRIC_BY_FIELD.items():
            yield GaugeMetricFamily(
                f"almondspool_{name}", help_text, value=getattr(gauges, field_name)
            )
        connections = GaugeMetricFamily(
            "almondspool_upstream_connections",
            "Connections open to upstreams.",
            labels=["service"],
        )
        for service, count in sorted(gauges.connections_by_service.items()):
            connections.add_metric([service], count)
        yield connections


class RouteMetrics:
    """Counters, gauges and histograms of an instance that routes requests."""

    def __init__(self) -> None:
        """Register every metric in a registry of its own."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "almondspool_routed_requests",
            "Routed requests by route and result code.",
            ["route", "code"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "almondspool_routed_request_seconds",
            "Time from arrival to answer, in seconds, by priority.",
            ["priority"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        # Labelled by route and not by service: a route may have 630 shards, each a
        # service.
        self.legs = Counter(
            "almondspool_routed_legs",
            "Legs by route, reason and state: sent, won, lost, or how one failed.",
            ["route", "reason", "state"],
            registry=self.registry,
        )
        self._leg_counters_by_labels: dict[tuple[str, str, str], Counter] = {}
        self.replica_pauses = Counter(
            "almondspool_paused_replicas",
            "Upstreams left alone for a while after they could not be reached.",
            registry=self.registry,
        )
        self.search_wait_seconds = Histogram(
            "almondspool_search_wait_seconds",
            "Expected wait of searches at the upstreams, in seconds.",
            buckets=_WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.record_search_wait = self.search_wait_seconds.observe
        self.upstream_hints = Counter(
            "almondspool_upstream_wishes",
            "What upstreams asked for with a reply: to leave, to rest, or unreadably.",
            ["wish"],
            registry=self.registry,
        )
        self.shards_missing = Counter(
            "almondspool_routed_shards_missing",
            "Shards left out of answers.",
            registry=self.registry,
        )
        self.rejected_requests = Counter(
            "almondspool_rejected_callers",
            "Bytes of callers that were no request, by the status of the refusal.",
            ["status"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "almondspool_store_calls",
            "Calls to the platform's store by verb and result code.",
            ["verb", "code"],
            registry=self.registry,
        )
        self.watcher_calls = Counter(
            "almondspool_relay_calls",
            "Calls to instances that watch the store, by verb and result code.",
            ["verb", "code"],
            registry=self.registry,
        )
        self.upstream_connects = Counter(
            "almondspool_upstream_connects",
            "Attempts to connect to upstreams by result.",
            ["result"],
            registry=self.registry,
        )
        self.invalid_entries = Counter(
            "almondspool_bad_entries",
            "Entries of searchers that describe none.",
            registry=self.registry,
        )

    def register_gauges(self, read: Callable[[], RouteGauges]) -> None:
        """Register gauges whose values are read on each scrape."""
        self.registry.register(_GaugeCollector(read))

    def record_request(
        self,
        route: str,
        priority: int,
        code: ResultCode,
        elapsed_s: float,
        missing_shards: int,
    ) -> None:
        """Record a finished request.

        Args:
            route: The route's name.
            priority: The route's priority; -1 if no route matched.
            code: The result code.
            elapsed_s: Time from arrival to answer, in seconds.
            missing_shards: Number of shards left out of the answer.
        """
        self.requests.labels(route, code.name).inc()
        self.request_seconds.labels(str(priority)).observe(elapsed_s)
        if missing_shards:
            self.shards_missing.inc(missing_shards)

    def record_leg(self, route: str, reason: str, state: str) -> None:
        """Count a leg that was sent or has ended.

        Args:
            route: The route's name.
            reason: Why the leg was sent, or ``failed``.
            state: ``sent``, ``won`` or ``lost``; for a failed leg its outcome.
        """
        # Cached, since labels() costs as much as the choice of a leg's replica.
        counter = self._leg_counters_by_labels.get((route, reason, state))
        if counter is None:
            counter = self.legs.labels(route, reason, state)
            self._leg_counters_by_labels[route, reason, state] = counter
        counter.inc()

    def remove_absent_routes(self, routes: set[str]) -> None:
        """Remove the counters of routes that are no longer configured."""
        for labels in [
            key for key in self._leg_counters_by_labels if key[0] not in routes
        ]:
            del self._leg_counters_by_labels[labels]
            self.legs.remove(*labels)

    def record_hint(self, kind: str) -> None:
        """Count a hint that an upstream sent with a reply, by its kind."""
        self.upstream_hints.labels(kind).inc()

    def record_store_call(self, verb: str, code: ResultCode) -> None:
        """Count a call to the store."""
        self.store_calls.labels(verb, code.name).inc()

    def record_watcher_call(self, verb: str, code: ResultCode) -> None:
        """Count a call to an instance that watches the store."""
        self.watcher_calls.labels(verb, code.name).inc()

    def record_connect(self, result: str) -> None:
        """Count an attempt to connect to an upstream, by its result."""
        self.upstream_connects.labels(result).inc()

    def record_rejected(self, status: int) -> None:
        """Count an invalid request of a caller, by the HTTP status of its rejection."""
        self.rejected_requests.labels(str(status)).inc()
