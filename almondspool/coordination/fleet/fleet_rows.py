"""Reports of the instances, merged by the holder of the fleet status duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.fleet import MAX_QUEUES_PER_SUMMARY, FleetRow, QueueSummary

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.coordination.admission.backlog import QueueStats
    from almondspool.protocol.fleet import InstanceSummary

# Maximum number of reports per second that the holder receives from the whole fleet.
MAX_REPORTS_PER_S = 4.0
# The lease of the duty lasts for this many report intervals after each write.
LEASE_REPORT_INTERVALS = 3
# How long the row of an instance that no longer reports is kept.
ROW_RETENTION_MS = 1_800_000


class FleetRows:
    """The last report of each instance; a newer incarnation replaces an older one."""

    def __init__(self) -> None:
        """Start without rows."""
        self._rows_by_instance: dict[str, FleetRow] = {}

    def record(self, now_ms: int, summary: InstanceSummary) -> None:
        """Record a report received at ``now_ms``, in milliseconds since the epoch."""
        self._merge(FleetRow(summary, now_ms))

    def merge(self, rows: Iterable[FleetRow]) -> None:
        """Merge the rows that a previous holder wrote; newer ones here are kept."""
        for row in rows:
            self._merge(row)

    def rows_by_instance(self, now_ms: int) -> Mapping[str, FleetRow]:
        """Drop rows older than ROW_RETENTION_MS; return the others by instance."""
        self._rows_by_instance = {
            name: row
            for name, row in sorted(self._rows_by_instance.items())
            if now_ms - row.reported_at_ms <= ROW_RETENTION_MS
        }
        return self._rows_by_instance

    def _merge(self, row: FleetRow) -> None:
        name = row.summary.instance
        known = self._rows_by_instance.get(name)
        if known is None or _recency_key(row) >= _recency_key(known):
            self._rows_by_instance[name] = row


def report_interval_s(min_s: float, instances: int) -> float:
    """Return the time between two reports of an instance, in seconds.

    It grows with the fleet, so that the holder receives at most MAX_REPORTS_PER_S.

    Args:
        min_s: The minimum, which a small fleet uses, in seconds.
        instances: How many instances report.
    """
    return max(min_s, instances / MAX_REPORTS_PER_S)


def summarize_queues(rows: Iterable[QueueStats]) -> tuple[QueueSummary, ...]:
    """Return up to MAX_QUEUES_PER_SUMMARY queues.

    Those with a warning come first, then the longest.
    """
    ordered = sorted(rows, key=lambda row: (not row.warning, -row.length))
    return tuple(
        QueueSummary(
            row.team,
            row.service,
            row.length,
            row.oldest_age_s,
            row.arrivals_per_s,
            row.served_per_s,
            row.time_to_drain_s,
            row.warning,
        )
        for row in ordered[:MAX_QUEUES_PER_SUMMARY]
    )


def _recency_key(row: FleetRow) -> tuple[int, int]:
    return row.summary.incarnation, row.reported_at_ms
