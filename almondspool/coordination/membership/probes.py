"""Unanswered heartbeats, and the order in which members are probed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class PeerScope(enum.Enum):
    """The availability zones of the members that a round of probes covers."""

    ALL = "all"
    LOCAL = "near"
    REMOTE = "far"


class Probe(NamedTuple):
    """An unanswered heartbeat, with its repetitions to the same target.

    Attributes:
        target: The instance it was sent to.
        first_sequence: Sequence number of the first attempt.
        started_at: Monotonic seconds of the first attempt.
    """

    target: str
    first_sequence: int
    started_at: float


class Relay(NamedTuple):
    """A heartbeat sent on behalf of another instance, whose own was not answered.

    Attributes:
        requester_address: ``ip:port`` of the peer that requested it.
        echo: The sequence number of the requesting peer's first heartbeat.
        expires_at: Monotonic seconds from which the record may be dropped unanswered.
    """

    requester_address: str
    echo: int
    expires_at: float


class Probes:
    """Tracks the unanswered heartbeats and chooses the next target."""

    def __init__(self, rng: random.Random) -> None:
        """Start without probes; ``rng`` is the source of the order of each round."""
        self._rng = rng
        self._round_by_scope: dict[PeerScope, list[str]] = {}
        self._probes_by_target: dict[str, Probe] = {}
        self._relays_by_sequence: dict[int, Relay] = {}

    def next_target(
        self, instances: Iterable[str], scope: PeerScope = PeerScope.ALL
    ) -> str | None:
        """Return the next target of a round; None if there are no instances.

        A round covers each instance once in random order; then the next one starts.

        Args:
            instances: The instances that may be probed now.
            scope: The zones that they are in; each scope has a round of its own.
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
        """Record a heartbeat to a target, unless an earlier one is unanswered."""
        self._probes_by_target.setdefault(target, Probe(target, sequence, now))

    def drop(self, target: str) -> None:
        """Drop the probe of an instance that answered or is dead."""
        self._probes_by_target.pop(target, None)

    def drop_answered(self, target: str, echo: int) -> bool:
        """Drop the probe that a relayed answer matches; return whether one did."""
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
        """Record a heartbeat sent on behalf of another instance; drop expired ones."""
        expired = [
            key
            for key, pending in self._relays_by_sequence.items()
            if pending.expires_at <= now
        ]
        for key in expired:
            del self._relays_by_sequence[key]
        self._relays_by_sequence[sequence] = relay

    def pop_relay(self, sequence: int) -> Relay | None:
        """Remove and return the relay whose heartbeat has this sequence number."""
        return self._relays_by_sequence.pop(sequence, None)

    def clear(self) -> None:
        """Drop all probes and relays."""
        self._probes_by_target.clear()
        self._relays_by_sequence.clear()
