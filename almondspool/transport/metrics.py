"""Prometheus metrics of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from almondspool.codes import ResultCode

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0)


class Metrics:
    """The counters, gauges and histograms of one instance."""

    def __init__(self) -> None:
        """Register every metric in a registry of its own."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "almondspool_requests",
            "Requests by result code.",
            ["code"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "almondspool_request_seconds",
            "Time from arrival to answer, in seconds.",
            ["priority"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.legs = Counter(
            "almondspool_legs",
            "Legs sent, by the reason for sending.",
            ["reason"],
            registry=self.registry,
        )
        self.leg_results = Counter(
            "almondspool_leg_results",
            "Leg results by result code.",
            ["code"],
            registry=self.registry,
        )
        self.shards_missing = Counter(
            "almondspool_shards_missing",
            "Shards absent from answers, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.peer_refusals = Counter(
            "almondspool_peer_refusals",
            "Peer messages refused, by result code.",
            ["code"],
            registry=self.registry,
        )
        self.channel_bytes = Counter(
            "almondspool_peer_channel_bytes",
            "Bytes of envelopes on peer channels, by direction.",
            ["direction"],
            registry=self.registry,
        )
        self.generation = Gauge(
            "almondspool_generation",
            "Generation of the document in force.",
            registry=self.registry,
        )
        self.requests_in_flight = Gauge(
            "almondspool_requests_in_flight",
            "Requests admitted and not yet answered.",
            registry=self.registry,
        )

    def count_refusal(self, code: ResultCode) -> None:
        """Count a refused peer message."""
        self.peer_refusals.labels(code.name).inc()

    def count_channel_bytes(self, direction: str, byte_count: int) -> None:
        """Count bytes of peer channel envelopes.

        Args:
            direction: ``in`` or ``out``.
            byte_count: Number of bytes.
        """
        self.channel_bytes.labels(direction).inc(byte_count)
