"""Detection of state that is older here than on other instances.

A watch whose reply was lost blocks until its timeout while its connection looks
healthy, and an instance may follow one whose watch is stuck in this way. The members'
heartbeats carry the version of the configuration and the revision of the entries that
each of them has.
"""

from __future__ import annotations

import math

# An instance normally receives a change within one call and one or two heartbeats of
# the others; if it is behind for longer, it reads again.
STALE_AFTER_S = 1.0
# Changes of entries are fetched in batches once a second, and reach followers of
# another instance a little later.
ENTRIES_STALE_AFTER_S = 2.0
# Least time between two such reads.
MIN_REREAD_INTERVAL_S = 3.0


class StalenessDetector:
    """Decides when to read again.

    The criterion is how long one version has been known elsewhere but not here: under
    continuous changes some instance always knows a newer one.
    """

    def __init__(self, stale_after_s: float = STALE_AFTER_S) -> None:
        """Start up to date with the others.

        Args:
            stale_after_s: How long an instance may be behind, in seconds.
        """
        self._stale_after_s = stale_after_s
        self._expected = 0
        self._expected_since = -math.inf
        self._reread_at = -math.inf

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
        is_late = now - self._expected_since >= self._stale_after_s
        is_behind = own < self._expected
        if (
            not is_behind
            or not is_late
            or now - self._reread_at < MIN_REREAD_INTERVAL_S
        ):
            return False
        self._reread_at = now
        return True
