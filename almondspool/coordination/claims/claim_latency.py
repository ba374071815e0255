"""How long claims take at the platform, so that hopeless ones are refused at once."""

from __future__ import annotations

from collections import deque

CALLS_PER_CLAIM = 2
KEPT_DURATIONS = 2
PROBE_INTERVAL_S = 1.0


class ClaimLatencyEstimate:
    """Foretells a claim's duration from the platform calls made for claims.

    One slow call alone says little: the faster of the last two counts. While nothing
    is under way, one ask each PROBE_INTERVAL_S goes through and tells whether the
    platform has become faster.
    """

    def __init__(self) -> None:
        """Start without calls; nothing is refused."""
        self._started_at_by_call: dict[str, float] = {}
        self._durations_s: deque[float] = deque(maxlen=KEPT_DURATIONS)
        self._ended_at = 0.0

    def start(self, call: str, now: float) -> None:
        """Take note of a call's start.

        Args:
            call: Names the call until it ends.
            now: Monotonic seconds.
        """
        self._started_at_by_call[call] = now

    def end(self, call: str, now: float, was_started: bool = True) -> None:
        """Take note of a call's end.

        Args:
            call: The name given at its start.
            now: Monotonic seconds.
            was_started: Whether the call reached the platform at all.
        """
        started_at = self._started_at_by_call.pop(call)
        if was_started:
            self._durations_s.append(now - started_at)
            self._ended_at = now

    def expected_s(self, now: float) -> float:
        """Return how long a claim that is asked for now takes, in seconds."""
        is_idle = not self._started_at_by_call
        if is_idle and now - self._ended_at >= PROBE_INTERVAL_S:
            return 0.0
        oldest = min(self._started_at_by_call.values(), default=now)
        return max(now - oldest, CALLS_PER_CLAIM * self._usual_s())

    def _usual_s(self) -> float:
        if len(self._durations_s) < KEPT_DURATIONS:
            return 0.0
        return min(self._durations_s)
