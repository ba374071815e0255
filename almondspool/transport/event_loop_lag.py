"""Event loop lag, measured as the lateness of a repeating timer."""

from __future__ import annotations

# The maximum covers the last complete window and the current one.
WINDOW_S = 10.0


class EventLoopLagMonitor:
    """Tracks the maximum lateness of a repeating timer.

    A timer that is some milliseconds late waited for one event loop iteration of other
    work, so the longest iteration takes at least the maximum lateness.
    """

    def __init__(self, interval_s: float) -> None:
        """Create a monitor that expects a tick every ``interval_s`` seconds."""
        self._interval_s = interval_s
        self._last_tick_at: float | None = None
        self._window_started_at = 0.0
        self._max_lag_s = 0.0
        self._previous_max_lag_s = 0.0

    def tick(self, now: float) -> None:
        """Record that the timer ran at a time, in monotonic seconds."""
        if self._last_tick_at is None:
            self._window_started_at = now
        else:
            lag_s = now - self._last_tick_at - self._interval_s
            self._max_lag_s = max(self._max_lag_s, lag_s)
        self._last_tick_at = now
        if now - self._window_started_at >= WINDOW_S:
            self._window_started_at = now
            self._previous_max_lag_s, self._max_lag_s = self._max_lag_s, 0.0

    def max_lag_s(self) -> float:
        """Return the maximum lag of the last ten to twenty seconds, in seconds."""
        return max(self._max_lag_s, self._previous_max_lag_s)
