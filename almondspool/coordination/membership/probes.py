"""Heartbeats that were not answered yet, and the order of probe targets."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class PeerScope(enum.Enum):
    """Which availability zones the targets of a round are in."""

    ALL = "all"
    LOCAL = "near"
    REMOTE = "far"


class Probe(NamedTuple):
    """A heartbeat that was not answered yet.

    Attributes:
        target: The instance it was sent to.
        first_sequence: Sequence number of the first attempt.
        started_at: Monotonic seconds of the first attempt.
    """

    target: str
    first_sequence: int
    started_at: float


class Relay(NamedTuple):
    """A heartbeat sent for another instance.

    Attributes:
        requester_address: ``ip:port`` of the peer that requested it.
        echo: The requesting peer's sequence number.
        expires_at: Monotonic seconds when to forget it.
    """

    requester_address: str
    echo: int
    expires_at: float


class Probes:
    """Tracks the unanswered heartbeats and picks the next target."""

    def __init__(self, rng: random.Random) -> None:
        """Shuffle targets with the given generator."""
        self._rng = rng
        self._round_by_scope: dict[PeerScope, list[str]] = {}
        self._probes_by_target: dict[str, Probe] = {}
        self._relays_by_sequence: dict[int, Relay] = {}

    def next_target(
        self, instances: Iterable[str], scope: PeerScope = PeerScope.ALL
    ) -> str | None:
        """Return the next instance of a shuffled round; None if there are none.

        Args:
            instances: The instances of the round.
            scope: The zones that these are in; each scope has a round of its own.
        """
        present = set(instances)
        remaining = self._round_by_scope.setdefault(scope, [])
        while remaining:
            target = remaining.pop()
            if target in present:
                return target
        remaining = self._round_by_scope[scope] = sorted(present)
        self._rng.shuffle(remaining)
        return remaining.pop() if remaining else None

    def record_sent(self, target: str, sequence: int, now: float) -> None:
        """Record a heartbeat to a target; an unanswered one keeps its start."""
        self._probes_by_target.setdefault(target, Probe(target, sequence, now))

    def drop(self, target: str) -> None:
        """Drop the probe of an instance that answered or is dead."""
        self._probes_by_target.pop(target, None)

    def drop_answered(self, target: str, echo: int) -> bool:
        """Drop the probe that a relayed answer matches; False if there is none."""
        probe = self._probes_by_target.get(target)
        if probe is None or echo < probe.first_sequence:
            return False
        del self._probes_by_target[target]
        return True

    def unanswered(self, now: float, age_s: float) -> list[Probe]:
        """Return the probes that are at least age_s seconds old, oldest first."""
        return sorted(
            (
                probe
                for probe in self._probes_by_target.values()
                if now - probe.started_at >= age_s
            ),
            key=lambda probe: (probe.started_at, probe.target),
        )

    def add_relay(self, sequence: int, relay: Relay, now: float) -> None:
        """Record a heartbeat sent for another instance; drop expired ones."""
        expired = [
            key
            for key, pending in self._relays_by_sequence.items()
            if pending.expires_at <= now
        ]
        for key in expired:
            del self._relays_by_sequence[key]
        self._relays_by_sequence[sequence] = relay

    def pop_relay(self, sequence: int) -> Relay | None:
        """Return and drop the relay that an ack answers."""
        return self._relays_by_sequence.pop(sequence, None)

    def clear(self) -> None:
        """Drop all probes and relays."""
        self._probes_by_target.clear()
        self._relays_by_sequence.clear()
