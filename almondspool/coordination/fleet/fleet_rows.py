"""The reports of instances, as the holder of the fleet's status merges them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.fleet import MAX_QUEUES, FleetRow, QueueSummary

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.coordination.admission.backlog import QueueStats
    from almondspool.protocol.fleet import InstanceSummary

# Most reports a second that the holder takes from the whole fleet.
MAX_REPORTS_PER_S = 4.0
LEASE_INTERVALS = 3
KEPT_MS = 1_800_000


class FleetRows:
    """The last report of each instance, the newest incarnation first."""

    def __init__(self) -> None:
        """Start without rows."""
        self._rows_by_instance: dict[str, FleetRow] = {}

    def take(self, now_ms: int, summary: InstanceSummary) -> None:
        """Take an instance's report."""
        self._merge(FleetRow(summary, now_ms))

    def merge(self, rows: Iterable[FleetRow]) -> None:
        """Take the rows that an earlier holder wrote; newer ones here stay."""
        for row in rows:
            self._merge(row)

    def rows_by_instance(self, now_ms: int) -> Mapping[str, FleetRow]:
        """Return the rows by name, without those older than KEPT_MS."""
        self._rows_by_instance = {
            name: row
            for name, row in sorted(self._rows_by_instance.items())
            if now_ms - row.reported_at_ms <= KEPT_MS
        }
        return self._rows_by_instance

    def _merge(self, row: FleetRow) -> None:
        name = row.summary.instance
        known = self._rows_by_instance.get(name)
        if known is None or _age_key(row) >= _age_key(known):
            self._rows_by_instance[name] = row


def interval_s(least_s: float, instances: int) -> float:
    """Return the time between two reports of an instance, in seconds.

    It grows with the fleet, so that the holder's work and writes do not.

    Args:
        least_s: The interval of a small fleet, in seconds.
        instances: How many instances report.
    """
    return max(least_s, instances / MAX_REPORTS_PER_S)


def summarize_queues(rows: Iterable[QueueStats]) -> tuple[QueueSummary, ...]:
    """Return the queues that matter most: warnings first, then the longest."""
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
        for row in ordered[:MAX_QUEUES]
    )


def _age_key(row: FleetRow) -> tuple[int, int]:
    return row.summary.incarnation, row.reported_at_ms
