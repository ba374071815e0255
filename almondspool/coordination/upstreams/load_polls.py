"""Decides which upstreams are asked for their load report.

Replies to legs bring reports with them, so only upstreams are asked from which none
came: often while something is known that must not age, rarely while they are idle.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from almondspool.protocol.upstream import LoadReport

# Rounds of polls in which each idle upstream is asked once.
IDLE_ROUNDS = 10
# Rounds after which a report says nothing any more of an upstream that gives none.
REPORT_ROUNDS = 5
# A timer that fires a little early must not put a poll off by a whole round.
ROUND_SLACK = 0.1


class _Upstream(NamedTuple):
    """What is known of an upstream; times are monotonic seconds.

    Attributes:
        asked_at: Last poll.
        reported_at: Last report.
        replied_at: Last reply to a leg that brought no report.
        is_unfit: Whether the report says that it drains or is cold.
        is_busy: Whether the report says that legs run or wait.
    """

    asked_at: float = -math.inf
    reported_at: float = -math.inf
    replied_at: float = -math.inf
    is_unfit: bool = False
    is_busy: bool = False


_UNKNOWN = _Upstream()


class LoadPolls:
    """Remembers when each upstream was heard and names those to ask.

    Every holder asks an upstream that drains or is cold, or whose replies to it bring
    no report, each round. Only one of its holders asks any other: each round while it
    is busy, else once in IDLE_ROUNDS.
    """

    def __init__(self, interval_s: float) -> None:
        """Plan rounds of polls that are an interval apart, in seconds."""
        self._interval_s = interval_s
        self._upstreams_by_id: dict[str, _Upstream] = {}

    def record_report(self, now: float, upstream_id: str, report: LoadReport) -> None:
        """Take a report, whether it came with a reply or was asked for."""
        known = self._upstreams_by_id.get(upstream_id, _UNKNOWN)
        self._upstreams_by_id[upstream_id] = known._replace(
            reported_at=now,
            is_unfit=report.draining or report.warmth < 1.0,
            is_busy=report.running + report.queued > 0,
        )

    def record_bare_reply(self, now: float, upstream_id: str) -> None:
        """Take a reply to a leg that brought no report."""
        known = self._upstreams_by_id.get(upstream_id, _UNKNOWN)
        self._upstreams_by_id[upstream_id] = known._replace(replied_at=now)

    def due(
        self, now: float, held: Collection[str], is_poller: Callable[[str], bool]
    ) -> tuple[str, ...]:
        """Return the upstreams to ask in this round, and count them as asked.

        Args:
            now: Monotonic seconds.
            held: The upstreams that this instance holds connections to.
            is_poller: Whether this is the one holder that asks an idle upstream.
        """
        self._forget_absent(held)
        soon: list[str] = []
        idle: list[tuple[float, str]] = []
        for upstream_id in held:
            known = self._upstreams_by_id.get(upstream_id, _UNKNOWN)
            silent_s = now - max(known.asked_at, known.reported_at)
            silent_rounds = silent_s / self._interval_s + ROUND_SLACK
            if silent_rounds < 1:
                continue
            if self._is_soon(now, known, upstream_id, is_poller):
                soon.append(upstream_id)
            elif silent_rounds >= IDLE_ROUNDS:
                idle.append((-silent_s, upstream_id))
        chosen = (*soon, *self._choose_idle(idle, len(held), is_poller))
        for upstream_id in chosen:
            known = self._upstreams_by_id.get(upstream_id, _UNKNOWN)
            self._upstreams_by_id[upstream_id] = known._replace(asked_at=now)
        return chosen

    def _is_soon(
        self,
        now: float,
        known: _Upstream,
        upstream_id: str,
        is_poller: Callable[[str], bool],
    ) -> bool:
        lifetime_s = REPORT_ROUNDS * self._interval_s
        if known.replied_at > known.reported_at:
            return now - known.replied_at <= lifetime_s
        if now - known.reported_at > lifetime_s:
            return False
        return known.is_unfit or (known.is_busy and is_poller(upstream_id))

    def _choose_idle(
        self,
        idle: list[tuple[float, str]],
        held: int,
        is_poller: Callable[[str], bool],
    ) -> list[str]:
        """Return those that wait longest; the limit spreads them over the rounds."""
        limit = math.ceil(held / IDLE_ROUNDS)
        chosen = [upstream_id for _, upstream_id in sorted(idle)]
        return [name for name in chosen if is_poller(name)][:limit]

    def _forget_absent(self, held: Collection[str]) -> None:
        for upstream_id in self._upstreams_by_id.keys() - set(held):
            del self._upstreams_by_id[upstream_id]


def is_poller(instance: str, upstream_id: str, holders: Collection[str]) -> bool:
    """Return whether an instance is the holder that asks an idle upstream."""
    own = weight(upstream_id, instance)
    return all(
        own > weight(upstream_id, other) for other in holders if other != instance
    )
