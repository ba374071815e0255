"""Detection of state that is older on this instance than on others.

A watch whose reply was lost blocks until its timeout while its connection seems
healthy. An instance may also follow another one whose watch is blocked in this way. The
members' heartbeats carry the version of the configuration and the revision of the
entries that each of them has.
"""

from __future__ import annotations

import math

# An instance normally receives a change of the configuration within one call and one or
# two heartbeats of the others. If it is behind for this long, it reads again.
CONFIGURATION_STALE_AFTER_S = 1.0
# The same for entries: their changes are fetched in batches once a second, and reach
# instances that follow another one a little later.
ENTRIES_STALE_AFTER_S = 2.0
# Minimum time between two such reads.
MIN_REREAD_INTERVAL_S = 3.0


class StalenessDetector:
    """Decides when an instance that is behind the others reads its state again.

    The criterion is for how long one given version has been known to others but not to
    this instance: under continuous changes, some instance always knows a newer version.
    """

    def __init__(self, stale_after_s: float = CONFIGURATION_STALE_AFTER_S) -> None:
        """Start as if up to date with the others.

        Args:
            stale_after_s: How long an instance may be behind, in seconds.
        """
        self._stale_after_s = stale_after_s
        self._expected_version = 0
        self._expected_since = -math.inf
        self._reread_at = -math.inf

    def is_reread_due(self, now: float, own_version: int, newest_version: int) -> bool:
        """Return whether to read again now.

        Args:
            now: Monotonic seconds.
            own_version: The version that this instance knows; 0 for none.
            newest_version: The highest version that a live member knows.
        """
        if own_version >= self._expected_version:
            self._expected_version = newest_version
            self._expected_since = now
        is_late = now - self._expected_since >= self._stale_after_s
        is_behind = own_version < self._expected_version
        if (
            not is_behind
            or not is_late
            or now - self._reread_at < MIN_REREAD_INTERVAL_S
        ):
            return False
        self._reread_at = now
        return True
