"""Which part of its time an instance is busy with requests, from its own turns.

Answers bursts, and a machine that turned slow: its turns take longer, so its load grows
though it serves no more than before. The process's own clock of processor time does not
tell that, as it counts what was used and not what was waited for.
"""

from __future__ import annotations

import collections

# Length of one measured span, in seconds: a set of instances widens within a second.
SPAN_S = 0.5
# The highest span of this time counts, so that an instance that callers have just left
# is not taken for an idle one at once.
HOLD_S = 10.0
# Work of a request in all for each second of its first turn, which chooses and sends;
# replies, timers and the answer take the rest (``bench.routed_leg_cost``).
WHOLE_PER_FIRST_TURN = 2.5
# Loads are told in steps, as each change is sent to the whole fleet.
LOAD_STEP = 0.25


class BusyShare:
    """Adds up the turns of requests in spans."""

    def __init__(self, now: float) -> None:
        """Start idle."""
        self._span_began_at = now
        self._busy_s = 0.0
        self._shares: collections.deque[float] = collections.deque(
            maxlen=int(HOLD_S / SPAN_S)
        )

    def note_first_turn(self, turn_s: float) -> None:
        """Take how long the first turn of a request took, in seconds."""
        self._busy_s += turn_s * WHOLE_PER_FIRST_TURN

    def tick(self, now: float) -> None:
        """End the present span if it is long enough."""
        length_s = now - self._span_began_at
        if length_s < SPAN_S:
            return
        self._shares.append(min(1.0, self._busy_s / length_s))
        self._span_began_at = now
        self._busy_s = 0.0

    def share(self) -> float:
        """Return the highest share of the last spans, 0.0 to 1.0, in steps."""
        return int(max(self._shares, default=0.0) / LOAD_STEP) * LOAD_STEP
