"""Queue of the timers of one search session."""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondspool.coordination.search.shard_run import ShardRun


class TimerQueue:
    """Shards with a pending timer, ordered by due time in monotonic seconds.

    Timers of shards that are settled by then are skipped.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: list[tuple[float, int, ShardRun]] = []
        self._numbers = itertools.count()

    def add(self, due: float, run: ShardRun) -> None:
        """Set a timer for a shard at a monotonic second."""
        heapq.heappush(self._entries, (due, next(self._numbers), run))

    def pop_due(self, now: float) -> ShardRun | None:
        """Remove and return the next unsettled shard that is due, or None."""
        if self.next_due() > now:
            return None
        return heapq.heappop(self._entries)[2]

    def next_due(self) -> float:
        """Return when the next unsettled shard is due; infinity if none is."""
        while self._entries and self._entries[0][2].outcome is not None:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else math.inf

    def clear(self) -> None:
        """Remove all timers."""
        self._entries.clear()
