"""Crash handling of one request: legs that were cut off, held shards and probes.

A leg is cut off if its connection closes while it runs. A request that crashes
upstreams and the loss of a replica look alike at first, since both cut off the legs in
flight. All cut-offs of legs sent before the first one was seen count as one crash. The
affected shards are held back, and a single shard of each service is retried as a probe.
A probe that is cut off too is the second crash; a probe that is answered shows that the
upstream was lost for another reason. The first probe runs alone. Each answer doubles
the number of services probed concurrently, so that a search of many shards does not
last until its deadline after the loss of a zone.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondspool.coordination.search.quarantine import QuarantineState

if TYPE_CHECKING:
    from almondspool.coordination.search.quarantine import Quarantine
    from almondspool.coordination.search.shard_run import OpenLeg, ShardRun
    from almondspool.protocol.peer import Suspicion

# Growth, at each answer, of the number of concurrent probes and of the legs that a
# suspect request may have in flight.
CONCURRENCY_GROWTH_FACTOR = 2


class CrashTracker:
    """Tracks the shards of one request that were cut off, and its crash count.

    Attributes:
        suspicion: Message that reports the last counted crash to peers; None before
            the first crash.
        is_suspect: Whether the fingerprint was suspect at the start, or the request
            restarted after a cut-off before it was cleared.
        is_quarantined: Whether the request has crashed a second upstream. No shard
            gets another leg then.
    """

    def __init__(self, quarantine: Quarantine, fingerprint: str) -> None:
        """Initialize for a request with the given fingerprint."""
        self._quarantine = quarantine
        self._fingerprint = fingerprint
        self._held_runs: collections.deque[ShardRun] = collections.deque()
        self._cut_off_services: set[str] = set()
        self._cleared_services: set[str] = set()
        self._probing_runs: list[ShardRun] = []
        self._max_probes = 1
        self._max_legs = 1
        self.is_suspect = False
        self.is_quarantined = False
        self.suspicion: Suspicion | None = None

    @property
    def has_cut_off(self) -> bool:
        """Return whether a leg of this request was cut off."""
        return self.suspicion is not None

    @property
    def is_cleared(self) -> bool:
        """Return whether each service with a leg that was cut off answered a probe."""
        return self._cut_off_services <= self._cleared_services

    @property
    def may_crash_upstreams(self) -> bool:
        """Return whether the request is suspect or one of its legs was cut off."""
        return self.is_suspect or self.has_cut_off

    def begin(self, now_ms: int) -> QuarantineState:
        """Return the state at the start of the request; if suspect, limit its legs."""
        state = self.state(now_ms)
        self.is_suspect = state == QuarantineState.SUSPECT
        return state

    def restart(self) -> None:
        """Reset for a newer snapshot; the request becomes suspect unless cleared."""
        self.drop_held()
        self.is_suspect = self.is_suspect or not self.is_cleared

    def may_send(self, in_flight: int) -> bool:
        """Return whether another leg may be sent besides those in flight.

        A suspect request begins with one leg; each answer doubles the number of legs
        that may be in flight.
        """
        return not self.is_suspect or in_flight < self._max_legs

    def needs_exclusive_exchange(self, run: ShardRun) -> bool:
        """Return whether a shard's leg must not share an exchange with others."""
        return self.is_suspect or run in self._probing_runs

    def state(self, now_ms: int) -> QuarantineState:
        """Return the quarantine state of the request."""
        return self._quarantine.state_of(now_ms, self._fingerprint)

    def suspicion_remaining_ms(self, now_ms: int) -> int:
        """Return how long the request stays suspect or refused, in milliseconds."""
        return self._quarantine.remaining_ms(now_ms, self._fingerprint)

    def record_cut_off(self, now_ms: int, run: ShardRun, leg: OpenLeg) -> bool:
        """Record a leg that was cut off; return whether it counts as a crash."""
        service_id = run.shard.service_id
        if service_id in self._cleared_services:
            return False
        self._cut_off_services.add(service_id)
        if self.has_cut_off and not leg.is_after_cut_off:
            return False
        self.suspicion = self._quarantine.record_cut_off(
            now_ms, self._fingerprint, leg.upstream_id
        )
        self.is_quarantined = self.state(now_ms) is QuarantineState.QUARANTINED
        return True

    def needs_probe(self, run: ShardRun) -> bool:
        """Return whether a shard may only be retried by a probe."""
        service_id = run.shard.service_id
        return (
            service_id in self._cut_off_services
            and service_id not in self._cleared_services
        )

    def hold(self, run: ShardRun) -> None:
        """Hold a shard back until it can be probed or is released."""
        self.end_probe(run)
        self._held_runs.append(run)

    def is_held(self, run: ShardRun) -> bool:
        """Return whether a shard waits for a probe."""
        return run in self._held_runs

    def next_probe(self) -> ShardRun | None:
        """Return a held shard whose leg is to probe its service now, or None."""
        if len(self._probing_runs) >= self._max_probes:
            return None
        probed = {run.shard.service_id for run in self._probing_runs}
        for run in self._held_runs:
            if run.shard.service_id not in probed:
                self._held_runs.remove(run)
                self._probing_runs.append(run)
                return run
        return None

    def end_probe(self, run: ShardRun) -> None:
        """Remove a shard from the running probes if it is one."""
        if run in self._probing_runs:
            self._probing_runs.remove(run)

    def on_answer(self, run: ShardRun) -> tuple[ShardRun, ...]:
        """Record an answered shard; return the held shards that it releases."""
        self._max_legs *= CONCURRENCY_GROWTH_FACTOR
        if run not in self._probing_runs:
            return ()
        self._probing_runs.remove(run)
        self._max_probes *= CONCURRENCY_GROWTH_FACTOR
        service_id = run.shard.service_id
        self._cleared_services.add(service_id)
        released = [
            held for held in self._held_runs if held.shard.service_id == service_id
        ]
        self._held_runs = collections.deque(
            held for held in self._held_runs if held.shard.service_id != service_id
        )
        return tuple(released)

    def drop_held(self) -> None:
        """Drop all held shards and running probes."""
        self._held_runs.clear()
        self._probing_runs.clear()

    def close(self, now_ms: int, is_complete: bool) -> Suspicion | None:
        """Clear a finished request that proved harmless, or return its suspicion.

        Args:
            now_ms: Milliseconds since the epoch.
            is_complete: Whether every shard answered.

        Returns:
            The message for peers, or None if there was no crash or it was cleared.
        """
        is_harmless = self.is_cleared if self.has_cut_off else is_complete
        if is_harmless and self._quarantine.clear(now_ms, self._fingerprint):
            return None
        return self.suspicion
