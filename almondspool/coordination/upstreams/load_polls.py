"""Selection of the upstreams to poll for load reports.

Replies to legs carry reports, so only upstreams without recent reports are polled:
in each round while an old report would mislead, since the upstream is busy, draining or
cold, and rarely while it is idle.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from almondspool.protocol.upstream import LoadReport

# Number of rounds in which each idle upstream is polled once.
IDLE_ROUNDS = 10
# Rounds after which the last report of an upstream that sends none is out of date.
REPORT_LIFETIME_ROUNDS = 5
# Tolerance for a timer that fires early, which must not delay a poll by a full round.
TIMER_SLACK_ROUNDS = 0.1


class _PollState(NamedTuple):
    """Contacts with one upstream and its last report; times are monotonic seconds.

    Attributes:
        polled_at: When it was last polled.
        reported_at: When its last report arrived.
        replied_at: When its last reply without a report arrived.
        is_impaired: Whether the upstream reported that it is draining or cold.
        is_busy: Whether the upstream reported running or queued legs.
    """

    polled_at: float = -math.inf
    reported_at: float = -math.inf
    replied_at: float = -math.inf
    is_impaired: bool = False
    is_busy: bool = False


_NO_CONTACT = _PollState()


class LoadPolls:
    """Tracks the last report of each upstream and selects the upstreams to poll.

    Every holder polls an upstream that is draining or cold, or whose replies to it
    carry no report, in each round. Any other upstream is polled by only one of its
    holders: in each round while it is busy, else once in IDLE_ROUNDS.
    """

    def __init__(self, interval_s: float) -> None:
        """Initialize with the interval between rounds, in seconds."""
        self._interval_s = interval_s
        self._states_by_id: dict[str, _PollState] = {}

    def record_report(self, now: float, upstream_id: str, report: LoadReport) -> None:
        """Record a report that came with a reply or was polled."""
        state = self._states_by_id.get(upstream_id, _NO_CONTACT)
        self._states_by_id[upstream_id] = state._replace(
            reported_at=now,
            is_impaired=report.draining or report.warmth < 1.0,
            is_busy=report.running + report.queued > 0,
        )

    def record_reply_without_report(self, now: float, upstream_id: str) -> None:
        """Record a reply to a leg without a report."""
        state = self._states_by_id.get(upstream_id, _NO_CONTACT)
        self._states_by_id[upstream_id] = state._replace(replied_at=now)

    def select_due(
        self, now: float, held: Collection[str], is_poller: Callable[[str], bool]
    ) -> tuple[str, ...]:
        """Return the upstreams to poll in this round, and record them as polled.

        Args:
            now: Monotonic seconds.
            held: The upstreams that this instance holds connections to.
            is_poller: Returns whether this instance is the holder that polls an idle
                upstream.
        """
        self._remove_absent(held)
        due: list[str] = []
        idle: list[tuple[float, str]] = []
        for upstream_id in held:
            state = self._states_by_id.get(upstream_id, _NO_CONTACT)
            since_contact_s = now - max(state.polled_at, state.reported_at)
            rounds_since_contact = (
                since_contact_s / self._interval_s + TIMER_SLACK_ROUNDS
            )
            if rounds_since_contact < 1:
                continue
            if self._is_due_each_round(now, state, upstream_id, is_poller):
                due.append(upstream_id)
            elif rounds_since_contact >= IDLE_ROUNDS:
                idle.append((-since_contact_s, upstream_id))
        selected = (*due, *self._select_idle(idle, len(held), is_poller))
        for upstream_id in selected:
            state = self._states_by_id.get(upstream_id, _NO_CONTACT)
            self._states_by_id[upstream_id] = state._replace(polled_at=now)
        return selected

    def _is_due_each_round(
        self,
        now: float,
        state: _PollState,
        upstream_id: str,
        is_poller: Callable[[str], bool],
    ) -> bool:
        lifetime_s = REPORT_LIFETIME_ROUNDS * self._interval_s
        if state.replied_at > state.reported_at:
            return now - state.replied_at <= lifetime_s
        if now - state.reported_at > lifetime_s:
            return False
        return state.is_impaired or (state.is_busy and is_poller(upstream_id))

    def _select_idle(
        self,
        idle: list[tuple[float, str]],
        held_count: int,
        is_poller: Callable[[str], bool],
    ) -> list[str]:
        """Return the upstreams without contact for longest.

        The limit spreads the polls of all idle upstreams over IDLE_ROUNDS.
        """
        limit = math.ceil(held_count / IDLE_ROUNDS)
        selected = [upstream_id for _, upstream_id in sorted(idle)]
        return [upstream_id for upstream_id in selected if is_poller(upstream_id)][
            :limit
        ]

    def _remove_absent(self, held: Collection[str]) -> None:
        for upstream_id in self._states_by_id.keys() - set(held):
            del self._states_by_id[upstream_id]


def is_poller(instance: str, upstream_id: str, holders: Collection[str]) -> bool:
    """Return whether an instance is the holder that polls an idle upstream."""
    own_weight = weight(upstream_id, instance)
    return all(
        own_weight > weight(upstream_id, other)
        for other in holders
        if other != instance
    )
