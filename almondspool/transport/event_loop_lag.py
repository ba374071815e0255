"""How long the hub's turns take, as the lateness of a timer shows."""

from __future__ import annotations

# The last whole window and the present one are looked at.
WINDOW_S = 10.0


class TurnWatch:
    """Keeps the greatest lateness of a repeating timer.

    A timer that is late by some milliseconds waited for one turn of other work, so
    the longest turn is at least the greatest lateness seen.
    """

    def __init__(self, interval_s: float) -> None:
        """Expect a tick every ``interval_s`` seconds."""
        self._interval_s = interval_s
        self._last_tick_at: float | None = None
        self._window_began_at = 0.0
        self._longest_s = 0.0
        self._longest_before_s = 0.0

    def tick(self, now: float) -> None:
        """Note a tick, in monotonic seconds."""
        if self._last_tick_at is None:
            self._window_began_at = now
        else:
            late_s = now - self._last_tick_at - self._interval_s
            self._longest_s = max(self._longest_s, late_s)
        self._last_tick_at = now
        if now - self._window_began_at >= WINDOW_S:
            self._window_began_at = now
            self._longest_before_s, self._longest_s = self._longest_s, 0.0

    def longest_s(self) -> float:
        """Return the longest turn of the last ten to twenty seconds."""
        return max(self._longest_s, self._longest_before_s)
