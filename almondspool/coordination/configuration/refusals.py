"""Counts of refused input; the same input is logged once."""

from __future__ import annotations

from collections import Counter, OrderedDict

from almondspool.coordination.configuration.configuration_actions import LogEvent

# How many different refused inputs are remembered, so as not to log them again.
MAX_REMEMBERED = 256


class Refusals:
    """Counts refused input by reason and remembers what was logged.

    Attributes:
        counts: Number of refusals by reason, repeated ones included.
    """

    def __init__(self, event: str) -> None:
        """Start without refusals; they are logged under the given event name."""
        self.counts: Counter[str] = Counter()
        self._event = event
        self._logged: OrderedDict[tuple[str, str], None] = OrderedDict()

    def refuse(
        self, reason: str, source: str, detail: str, key: str = ""
    ) -> list[LogEvent]:
        """Count a refusal, and return its log line if it is new.

        Args:
            reason: Short name of the kind of refusal.
            source: Where the input came from.
            detail: Why it was refused.
            key: Identifies the input; if empty, the source and detail do.
        """
        self.counts[reason] += 1
        logged = (reason, key or f"{source} {detail}")
        if logged in self._logged:
            return []
        self._logged[logged] = None
        if len(self._logged) > MAX_REMEMBERED:
            self._logged.popitem(last=False)
        fields = {"reason": reason, "source": source, "detail": detail}
        return [LogEvent(self._event, fields)]

    def is_known(self, reason: str, key: str) -> bool:
        """Return whether the input with a key was recently refused for a reason."""
        return (reason, key) in self._logged
