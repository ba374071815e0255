"""Estimate of the time a claim takes, used to refuse claims that would be late."""

from __future__ import annotations

from collections import deque

# A claim takes one read and one write of its bucket.
CALLS_PER_CLAIM = 2
# The estimate uses this many of the last calls; until there are as many, only a call
# in progress counts.
SAMPLE_COUNT = 2
PROBE_INTERVAL_S = 1.0


class ClaimLatencyEstimate:
    """Estimates the duration of a claim from recent platform calls for claims.

    The faster of the last two calls is used, so that a single slow call has no effect.
    If no call is in progress and none has ended for PROBE_INTERVAL_S, the estimate is
    0: the next claim is not refused and shows whether the platform has become faster.
    """

    def __init__(self) -> None:
        """Initialize without calls: the estimate is 0 and nothing is refused."""
        self._started_at_by_call: dict[str, float] = {}
        self._durations_s: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._last_ended_at = 0.0

    def start(self, call: str, now: float) -> None:
        """Record the start of a call.

        Args:
            call: Identifies the call until it ends.
            now: Monotonic seconds.
        """
        self._started_at_by_call[call] = now

    def end(self, call: str, now: float, was_started: bool = True) -> None:
        """Record the end of a call; one that was not sent does not count.

        Args:
            call: Identifier given at its start.
            now: Monotonic seconds.
            was_started: Whether the call was sent to the platform.
        """
        started_at = self._started_at_by_call.pop(call)
        if was_started:
            self._durations_s.append(now - started_at)
            self._last_ended_at = now

    def expected_s(self, now: float) -> float:
        """Return the expected duration of a claim made now, in seconds."""
        is_idle = not self._started_at_by_call
        if is_idle and now - self._last_ended_at >= PROBE_INTERVAL_S:
            return 0.0
        oldest = min(self._started_at_by_call.values(), default=now)
        return max(now - oldest, CALLS_PER_CLAIM * self._typical_call_s())

    def _typical_call_s(self) -> float:
        if len(self._durations_s) < SAMPLE_COUNT:
            return 0.0
        return min(self._durations_s)
