"""Prometheus metrics of the leg dispatcher and admission, collected on scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import REGISTRY
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import CollectorRegistry
    from prometheus_client.metrics_core import Metric

    from almondspool.coordination.admission.admission_task import AdmissionTask
    from almondspool.coordination.upstreams.leg_dispatcher_task import LegDispatcherTask

_QUEUE_GAUGES = {
    "waiting": ("almondspool_upstream_waiting", "Legs that wait."),
    "in_flight": ("almondspool_upstream_exchanges", "Exchanges that run."),
    "limit": ("almondspool_upstream_limit", "Adaptive limit of exchanges."),
    "granted": ("almondspool_upstream_granted", "Connections granted."),
    "latency_s": ("almondspool_upstream_latency_seconds", "Time to first result."),
}
_LEG_DISPATCHER_COUNTERS = {
    "legs": ("almondspool_gatherer_legs", "Legs that instances submitted."),
    "runs_sent": ("almondspool_runs_sent", "Runs sent to upstreams."),
    "exchanges": ("almondspool_exchanges", "Exchanges that carried runs."),
    "shared": ("almondspool_legs_shared", "Legs that joined an equal run."),
    "shed": ("almondspool_legs_shed", "Legs refused for lack of room."),
    "expired": ("almondspool_legs_expired", "Legs too late to be sent."),
    "cancelled": ("almondspool_legs_cancelled", "Legs cancelled."),
}
_ADMISSION_GAUGES = {
    "running": ("almondspool_requests_running", "Requests that run."),
    "limit": ("almondspool_requests_limit", "Requests that may run at a time."),
    "waiting": ("almondspool_requests_waiting", "Requests that wait."),
    "oldest_wait_s": ("almondspool_requests_oldest_wait_seconds", "Longest wait."),
    "arrivals_per_s": ("almondspool_requests_arrivals_per_second", "Arrival rate."),
    "service_s": ("almondspool_requests_service_seconds", "Smoothed time to run."),
}


class RequestCollector(Collector):
    """Exports statistics of the leg dispatcher task and the admission task."""

    def __init__(
        self, leg_dispatcher: LegDispatcherTask, admission: AdmissionTask
    ) -> None:
        """Initialize with the tasks to read from."""
        self._leg_dispatcher = leg_dispatcher
        self._admission = admission

    def collect(self) -> Iterator[Metric]:
        """Yield each metric with its current value."""
        yield from self._collect_queues()
        counts = self._leg_dispatcher.counts()
        for field, (name, text) in _LEG_DISPATCHER_COUNTERS.items():
            yield CounterMetricFamily(name, text, value=getattr(counts, field))
        stats = self._admission.stats()
        for field, (name, text) in _ADMISSION_GAUGES.items():
            yield GaugeMetricFamily(name, text, value=getattr(stats, field))

    def _collect_queues(self) -> Iterator[Metric]:
        queue_stats = self._leg_dispatcher.stats()
        for field, (name, text) in _QUEUE_GAUGES.items():
            gauge = GaugeMetricFamily(name, text, labels=["upstream"])
            for stats in queue_stats:
                gauge.add_metric([stats.upstream_id], getattr(stats, field))
            yield gauge


def register_request_metrics(
    leg_dispatcher: LegDispatcherTask,
    admission: AdmissionTask,
    registry: CollectorRegistry = REGISTRY,
) -> RequestCollector:
    """Register the metrics of both tasks and return their collector."""
    collector = RequestCollector(leg_dispatcher, admission)
    registry.register(collector)
    return collector
