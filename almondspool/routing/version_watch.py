"""Finds out that other instances know a newer state than this one.

A watch whose answer was lost on the way waits for its whole time, and its connection
looks well; an instance may also follow one whose watch fell silent. The members'
heartbeats name the version of the configuration and the revision of the entries that
each knows.
"""

from __future__ import annotations

import math

# An instance gets a change within a call and a heartbeat or two of the others; behind
# for longer, it asks again.
PATIENCE_S = 1.0
# Changes of entries are fetched together once a second, and reach those that follow
# another instance a little later.
ENTRY_PATIENCE_S = 2.0
# Least time between two such questions.
REPEAT_S = 3.0


class VersionWatch:
    """Tells when to read again.

    What counts is how long a version has been known elsewhere and not here: where
    changes follow each other, somebody always knows a newer one.
    """

    def __init__(self, patience_s: float = PATIENCE_S) -> None:
        """Start level with the others.

        Args:
            patience_s: How long an instance may be behind, in seconds.
        """
        self._patience_s = patience_s
        self._expected = 0
        self._expected_since = -math.inf
        self._asked_at = -math.inf

    def is_due(self, now: float, own: int, newest: int) -> bool:
        """Return whether to read again now.

        Args:
            now: Monotonic seconds.
            own: The version known here; 0 for none.
            newest: The highest version that a live member knows.
        """
        if own >= self._expected:
            self._expected = newest
            self._expected_since = now
        is_late = now - self._expected_since >= self._patience_s
        is_behind = own < self._expected
        if not is_behind or not is_late or now - self._asked_at < REPEAT_S:
            return False
        self._asked_at = now
        return True
