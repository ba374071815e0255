"""Conversion of the stored fleet status into the answer to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.admission.backlog_answers import backlog_row
from almondspool.protocol.operator import FleetAnswer, FleetBacklogRow, FleetMemberRow

if TYPE_CHECKING:
    from almondspool.protocol.fleet import FleetRow, FleetStatus, QueueSummary

_MS_PER_S = 1000


def describe_fleet(now_ms: int, status: FleetStatus) -> FleetAnswer:
    """Return the stored status as an answer, with the age of each row.

    Args:
        now_ms: Milliseconds since the epoch.
        status: The status as stored.
    """
    rows = [row for _, row in sorted(status.rows_by_instance.items())]
    return FleetAnswer(
        holder=status.lease.holder,
        epoch=status.lease.epoch,
        age_s=_age_s(now_ms, status.written_at_ms),
        instances=[_member_row(now_ms, row) for row in rows],
        backlog=[
            _backlog_row(now_ms, row, queue)
            for row in rows
            for queue in row.summary.queues
        ],
    )


def _member_row(now_ms: int, row: FleetRow) -> FleetMemberRow:
    summary = row.summary
    return FleetMemberRow(
        instance=summary.instance,
        zone=summary.zone,
        generation=summary.generation,
        load=summary.load,
        is_ready=summary.is_ready,
        is_leaving=summary.is_leaving,
        age_s=_age_s(now_ms, row.reported_at_ms),
    )


def _backlog_row(now_ms: int, row: FleetRow, queue: QueueSummary) -> FleetBacklogRow:
    return FleetBacklogRow(
        **backlog_row(queue),
        instance=row.summary.instance,
        age_s=_age_s(now_ms, row.reported_at_ms),
    )


def _age_s(now_ms: int, at_ms: int) -> float:
    return max(0, now_ms - at_ms) / _MS_PER_S
