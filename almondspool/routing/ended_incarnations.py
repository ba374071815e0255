"""Incarnations of replicas that have left, and entries that show them as before.

A store that returns from an older copy lists replicas as they were when the copy was
made. One that has since left, or started again, is listed with its former entry. Such
an entry is held back until the replica has written it again, or until it has outlived
the time after which the store removes the entry of a silent replica.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.state.routes import Replica

# How long an incarnation that has left is remembered: longer than the time that a copy
# of the store may be old.
ENDED_TTL_S = 120.0


class Incarnation(NamedTuple):
    """Identity of one run of a replica; it changes with every restart."""

    replica_id: str
    address: str
    started_ms: int


def incarnation_of(replica: Replica) -> Incarnation:
    """Return the incarnation that an entry belongs to."""
    return Incarnation(replica.replica_id, replica.address, replica.started_ms)


class EndedIncarnations:
    """Remembers incarnations that have left, and holds back their former entries."""

    def __init__(self, confirm_s: float) -> None:
        """Start without incarnations.

        Args:
            confirm_s: How long after a restore of the store a former entry is held
                back, in seconds.
        """
        self._confirm_s = confirm_s
        self._confirmed_at = -math.inf
        self._ended_at_by_incarnation: dict[Incarnation, float] = {}
        self._held_by_id: dict[str, Replica] = {}

    def record(self, now: float, replica: Replica) -> None:
        """Record that an incarnation drains, has started again or is gone."""
        self._ended_at_by_incarnation[incarnation_of(replica)] = now

    def on_store_restored(self, now: float) -> None:
        """Hold former entries back from now on, for the time of confirmation."""
        self._confirmed_at = now + self._confirm_s
        self._held_by_id.clear()

    def hold_back(self, now: float, replica: Replica) -> bool:
        """Return whether a listed entry is held back, as it may be a former one."""
        is_former = (
            now < self._confirmed_at
            and not replica.is_draining
            and incarnation_of(replica) in self._ended_at_by_incarnation
        )
        if is_former:
            self._held_by_id[replica.replica_id] = replica
        return is_former

    def discard(self, replica_id: str) -> None:
        """Forget the held entry of a replica that was written or removed since."""
        self._held_by_id.pop(replica_id, None)

    def take_confirmed(self, now: float) -> tuple[Replica, ...]:
        """Return the held entries that the store still has, once they are due."""
        self._ended_at_by_incarnation = {
            incarnation: ended_at
            for incarnation, ended_at in self._ended_at_by_incarnation.items()
            if now - ended_at < ENDED_TTL_S
        }
        if now < self._confirmed_at:
            return ()
        confirmed = tuple(self._held_by_id.values())
        self._held_by_id.clear()
        return confirmed
