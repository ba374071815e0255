"""Backlog task: feeds the monitor and publishes its warnings and metrics."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from prometheus_client import REGISTRY, Gauge

from almondspool.coordination.admission.backlog import (
    BacklogKey,
    BacklogMonitor,
    BacklogWarning,
    QueueStats,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from prometheus_client import CollectorRegistry

    from almondspool.coordination.upstreams.leg_dispatcher_actions import (
        UpstreamQueueStats,
    )
    from almondspool.logs import EventLog
    from almondspool.protocol.upstream import LoadReport
    from almondspool.state.document import Document, Section
    from almondspool.transport.timers import TimerService

OBSERVE_INTERVAL_S = 2.0
# Older load reports of upstreams are ignored.
MAX_LOAD_REPORT_AGE_S = 30.0
# Service time assumed for an upstream that has not run a leg yet.
INITIAL_SERVICE_TIME_S = 0.02

_GAUGES: Mapping[str, tuple[str, str]] = {
    "length": ("almondspool_backlog_length", "Legs that wait."),
    "limit": ("almondspool_backlog_limit", "Most that can wait and be in time."),
    "oldest_age_s": ("almondspool_backlog_oldest_age_seconds", "Longest wait."),
    "arrivals_per_s": ("almondspool_backlog_arrivals_per_second", "Arrival rate."),
    "served_per_s": ("almondspool_backlog_served_per_second", "Service rate."),
    "time_to_limit_s": (
        "almondspool_backlog_time_to_limit_seconds",
        "Predicted time until the limit is reached.",
    ),
    "time_to_drain_s": ("almondspool_backlog_time_to_drain_seconds", "Time to drain."),
    "warning": ("almondspool_backlog_warning", "1 while a warning stands."),
}


class _UpstreamConfig(NamedTuple):
    """Configuration of an upstream: its queue, concurrent legs and their deadline."""

    key: BacklogKey
    slots: int
    deadline_s: float


class _ReportedLoad(NamedTuple):
    """Number of legs that an upstream reported as queued, and when it did."""

    queued: int
    reported_at: float


class _QueueTotal(NamedTuple):
    """Sums over the upstreams of a service; oldest_age_s is their maximum."""

    length: int = 0
    limit: float = 0.0
    oldest_age_s: float = 0.0


class BacklogTask:
    """Monitors the queues of all services for which this instance holds connections.

    The length counts legs waiting here and those that upstreams report as queued.
    The limit is the length at which a new leg would miss its section's deadline.
    """

    def __init__(
        self,
        queue_stats: Callable[[], tuple[UpstreamQueueStats, ...]],
        timers: TimerService,
        log: EventLog,
        registry: CollectorRegistry = REGISTRY,
    ) -> None:
        """Subscribe to a periodic timer.

        Args:
            queue_stats: Returns the statistics of the leg dispatcher's queues.
            timers: Timer service.
            log: Event log, for the warnings.
            registry: Registry of the gauges.
        """
        self._queue_stats = queue_stats
        self._timers = timers
        self._log = log
        self._monitor = BacklogMonitor()
        self._config_by_upstream: dict[str, _UpstreamConfig] = {}
        self._loads_by_upstream: dict[str, _ReportedLoad] = {}
        # Counters of queued and sent runs at the last observation.
        self._last_counts_by_upstream: dict[str, tuple[int, int]] = {}
        self._known_keys: set[BacklogKey] = set()
        self._gauges_by_field = {
            field: Gauge(name, text, ["team", "service"], registry=registry)
            for field, (name, text) in _GAUGES.items()
        }
        self._subscription = timers.subscribe(OBSERVE_INTERVAL_S, self.observe)

    def set_document(self, document: Document) -> None:
        """Set the document in force."""
        self._config_by_upstream = {
            upstream_id: config
            for section in document.sections_by_team.values()
            for upstream_id, config in _upstream_configs(section).items()
        }

    def on_load(self, upstream_id: str, report: LoadReport) -> None:
        """Record the load report of an upstream."""
        now = self._timers.now()
        self._loads_by_upstream[upstream_id] = _ReportedLoad(report.queued, now)

    def stats(self) -> tuple[QueueStats, ...]:
        """Return the state of every queue, for status."""
        return self._monitor.stats(self._timers.now())

    def stop(self) -> None:
        """Stop monitoring."""
        self._subscription.cancel()

    def observe(self) -> None:
        """Update the state of all queues; called periodically."""
        now = self._timers.now()
        totals_by_key: dict[BacklogKey, _QueueTotal] = collections.defaultdict(
            _QueueTotal
        )
        for queue in self._queue_stats():
            config = self._config_by_upstream.get(queue.upstream_id)
            if config is not None:
                self._count_runs(now, config.key, queue)
                totals_by_key[config.key] = self._add_queue(
                    now, totals_by_key[config.key], config, queue
                )
        for key, total in totals_by_key.items():
            self._observe_queue(now, key, total)
        for key in self._known_keys - totals_by_key.keys():
            self._remove(key)
        self._known_keys = set(totals_by_key)
        self._publish()

    def _count_runs(
        self, now: float, key: BacklogKey, queue: UpstreamQueueStats
    ) -> None:
        arrived, started = self._last_counts_by_upstream.get(queue.upstream_id, (0, 0))
        self._last_counts_by_upstream[queue.upstream_id] = (
            queue.arrived,
            queue.started,
        )
        # The counters of a queue that was dropped and granted again restart at zero.
        self._monitor.add_arrivals(now, key, max(0, queue.arrived - arrived))
        self._monitor.add_served(now, key, max(0, queue.started - started))

    def _add_queue(
        self,
        now: float,
        total: _QueueTotal,
        config: _UpstreamConfig,
        queue: UpstreamQueueStats,
    ) -> _QueueTotal:
        load = self._loads_by_upstream.get(queue.upstream_id)
        is_recent = load is not None and now - load.reported_at <= MAX_LOAD_REPORT_AGE_S
        queued = load.queued if load is not None and is_recent else 0
        service_s = queue.min_latency_s or INITIAL_SERVICE_TIME_S
        return _QueueTotal(
            total.length + queue.waiting + queued,
            total.limit + config.slots * config.deadline_s / service_s,
            max(total.oldest_age_s, queue.oldest_wait_s),
        )

    def _observe_queue(self, now: float, key: BacklogKey, total: _QueueTotal) -> None:
        limit = max(1, int(total.limit))
        actions = self._monitor.observe(
            now, key, total.length, limit, total.oldest_age_s
        )
        for action in actions:
            is_warning = isinstance(action, BacklogWarning)
            event = "backlog.warning" if is_warning else "backlog.cleared"
            self._log.write(event, **action.stats._asdict())

    def _remove(self, key: BacklogKey) -> None:
        self._monitor.remove(key)
        for gauge in self._gauges_by_field.values():
            gauge.remove(key.team, key.service)

    def _publish(self) -> None:
        for stats in self.stats():
            for field, gauge in self._gauges_by_field.items():
                gauge.labels(stats.team, stats.service).set(getattr(stats, field))


def make_backlog_task(
    queue_stats: Callable[[], tuple[UpstreamQueueStats, ...]],
    timers: TimerService,
    log: EventLog,
    registry: CollectorRegistry = REGISTRY,
) -> BacklogTask:
    """Return a running backlog task."""
    return BacklogTask(queue_stats, timers, log, registry)


def _upstream_configs(section: Section) -> dict[str, _UpstreamConfig]:
    config_by_upstream = {}
    for service in section.services_by_id.values():
        key = BacklogKey(section.team, service.service_id)
        for upstream_id in service.upstream_ids:
            upstream = section.upstreams_by_id.get(upstream_id)
            if upstream is not None:
                deadline_s = section.deadline_ms / 1000
                config_by_upstream[upstream_id] = _UpstreamConfig(
                    key, upstream.slots, deadline_s
                )
    return config_by_upstream
