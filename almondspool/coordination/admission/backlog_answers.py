"""Conversion of queue statistics to rows of operator answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.protocol.operator import BacklogRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.coordination.admission.backlog import QueueStats
    from almondspool.protocol.fleet import QueueSummary

_MS_PER_S = 1000


def backlog_rows(queues: Iterable[QueueStats]) -> list[BacklogRow]:
    """Return the backlog rows of the operators' status answer.

    Args:
        queues: Statistics of the backlog monitor.
    """
    return [backlog_row(queue) for queue in queues]


def backlog_row(queue: QueueStats | QueueSummary) -> BacklogRow:
    """Return the row of one queue; an infinite drain time becomes -1."""
    drain_s = queue.time_to_drain_s
    return BacklogRow(
        team=queue.team,
        service=queue.service,
        queued=queue.length,
        oldest_ms=queue.oldest_age_s * _MS_PER_S,
        arrivals_per_s=queue.arrivals_per_s,
        served_per_s=queue.served_per_s,
        drain_s=drain_s if math.isfinite(drain_s) else -1.0,
        is_warning=queue.warning,
    )
