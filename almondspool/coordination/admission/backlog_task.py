"""Feeds the backlog monitor and publishes what it says."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from prometheus_client import REGISTRY, Gauge

from almondspool.coordination.admission.backlog import (
    BacklogKey,
    BacklogMonitor,
    BacklogRow,
    BacklogWarning,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from prometheus_client import CollectorRegistry

    from almondspool.coordination.upstreams.gatherer_actions import LaneRow
    from almondspool.logs import EventLog
    from almondspool.protocol.upstream import LoadReport
    from almondspool.state.document import Document, Section
    from almondspool.transport.timers import TimerService

OBSERVE_INTERVAL_S = 2.0
LOAD_VALID_S = 30.0
# Service time assumed of an upstream that has not run a leg yet.
INITIAL_SERVICE_S = 0.02

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


class _Place(NamedTuple):
    key: BacklogKey
    slots: int
    deadline_s: float


class _Load(NamedTuple):
    queued: int
    reported_at: float


class _Sum(NamedTuple):
    length: int = 0
    limit: float = 0.0
    oldest_age_s: float = 0.0


class BacklogTask:
    """Observes the queues of each service for which this instance holds connections.

    The length counts legs that wait here and those the upstreams report as queued.
    The limit is the length at which a new leg would wait past its section's deadline.
    """

    def __init__(
        self,
        lane_rows: Callable[[], tuple[LaneRow, ...]],
        timers: TimerService,
        log: EventLog,
        registry: CollectorRegistry = REGISTRY,
    ) -> None:
        """Start to observe at a steady interval.

        Args:
            lane_rows: Returns the gatherer's rows.
            timers: The time and the interval.
            log: Takes the warnings.
            registry: Where the gauges are registered.
        """
        self._lane_rows = lane_rows
        self._timers = timers
        self._log = log
        self._monitor = BacklogMonitor()
        self._places_by_upstream: dict[str, _Place] = {}
        self._loads_by_upstream: dict[str, _Load] = {}
        self._totals_by_upstream: dict[str, tuple[int, int]] = {}
        self._known_keys: set[BacklogKey] = set()
        self._gauges_by_field = {
            field: Gauge(name, text, ["team", "service"], registry=registry)
            for field, (name, text) in _GAUGES.items()
        }
        self._subscription = timers.subscribe(OBSERVE_INTERVAL_S, self.observe)

    def set_document(self, document: Document) -> None:
        """Take the document in force."""
        self._places_by_upstream = {
            upstream_id: place
            for section in document.sections_by_team.values()
            for upstream_id, place in _places(section).items()
        }

    def on_load(self, upstream_id: str, report: LoadReport) -> None:
        """Take an upstream's load report."""
        now = self._timers.now()
        self._loads_by_upstream[upstream_id] = _Load(report.queued, now)

    def rows(self) -> tuple[BacklogRow, ...]:
        """Return the state of every queue, for status."""
        return self._monitor.rows(self._timers.now())

    def stop(self) -> None:
        """Stop observing."""
        self._subscription.cancel()

    def observe(self) -> None:
        """Take the state of all queues now; called at the interval."""
        now = self._timers.now()
        sums_by_key: dict[BacklogKey, _Sum] = collections.defaultdict(_Sum)
        for row in self._lane_rows():
            place = self._places_by_upstream.get(row.upstream_id)
            if place is not None:
                self._count(now, place.key, row)
                sums_by_key[place.key] = self._add(
                    now, sums_by_key[place.key], place, row
                )
        for key, total in sums_by_key.items():
            self._observe_queue(now, key, total)
        for key in self._known_keys - sums_by_key.keys():
            self._forget(key)
        self._known_keys = set(sums_by_key)
        self._publish()

    def _count(self, now: float, key: BacklogKey, row: LaneRow) -> None:
        arrived, started = self._totals_by_upstream.get(row.upstream_id, (0, 0))
        self._totals_by_upstream[row.upstream_id] = (row.arrived, row.started)
        # A lane that was given up and granted again counts from zero.
        self._monitor.arrived(now, key, max(0, row.arrived - arrived))
        self._monitor.served(now, key, max(0, row.started - started))

    def _add(self, now: float, total: _Sum, place: _Place, row: LaneRow) -> _Sum:
        load = self._loads_by_upstream.get(row.upstream_id)
        is_valid = load is not None and now - load.reported_at <= LOAD_VALID_S
        queued = load.queued if load is not None and is_valid else 0
        service_s = row.least_latency_s or INITIAL_SERVICE_S
        return _Sum(
            total.length + row.waiting + queued,
            total.limit + place.slots * place.deadline_s / service_s,
            max(total.oldest_age_s, row.oldest_wait_s),
        )

    def _observe_queue(self, now: float, key: BacklogKey, total: _Sum) -> None:
        limit = max(1, int(total.limit))
        actions = self._monitor.observe(
            now, key, total.length, limit, total.oldest_age_s
        )
        for action in actions:
            is_warning = isinstance(action, BacklogWarning)
            event = "backlog.warning" if is_warning else "backlog.cleared"
            self._log.write(event, **action.row._asdict())

    def _forget(self, key: BacklogKey) -> None:
        self._monitor.forget(key)
        for gauge in self._gauges_by_field.values():
            gauge.remove(key.team, key.service)

    def _publish(self) -> None:
        for row in self.rows():
            for field, gauge in self._gauges_by_field.items():
                gauge.labels(row.team, row.service).set(getattr(row, field))


def make_backlog_task(
    lane_rows: Callable[[], tuple[LaneRow, ...]],
    timers: TimerService,
    log: EventLog,
    registry: CollectorRegistry = REGISTRY,
) -> BacklogTask:
    """Return a running backlog task."""
    return BacklogTask(lane_rows, timers, log, registry)


def _places(section: Section) -> dict[str, _Place]:
    places = {}
    for service in section.services_by_id.values():
        key = BacklogKey(section.team, service.service_id)
        for upstream_id in service.upstream_ids:
            upstream = section.upstreams_by_id.get(upstream_id)
            if upstream is not None:
                deadline_s = section.deadline_ms / 1000
                places[upstream_id] = _Place(key, upstream.slots, deadline_s)
    return places
