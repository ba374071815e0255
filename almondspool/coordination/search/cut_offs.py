"""What one request does after it cut off an upstream: it probes with care.

A request that crashes upstreams and a replica that was lost look alike at first:
legs in flight are cut off. All cut-offs of legs sent before the first one was seen
count as one crash. The affected shards are held back and retried by a single probe
for each service; a probe that is cut off too is the second crash, one that answers
shows that the upstream was lost for another reason. The first probe runs alone; each
answer doubles how many services are probed at a time, so that a lost zone does not
keep a wide search until its deadline.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondspool.coordination.search.quarantine import Verdict

if TYPE_CHECKING:
    from almondspool.coordination.search.quarantine import Quarantine
    from almondspool.coordination.search.shard_run import OpenLeg, ShardRun
    from almondspool.protocol.peer import Suspicion

PROBE_GROWTH = 2


class CutOffs:
    """Holds the shards that were cut off, and the request's crash count.

    Attributes:
        suspicion: Message for peers once an upstream was cut off, or None.
        is_suspect: Whether the request may have cut off an upstream before it began.
    """

    def __init__(self, quarantine: Quarantine, digest: str) -> None:
        """Record crashes of one request's fingerprint."""
        self._quarantine = quarantine
        self._digest = digest
        self._held: collections.deque[ShardRun] = collections.deque()
        self._cut_off_services: set[str] = set()
        self._proven_services: set[str] = set()
        self._probes: list[ShardRun] = []
        self._probes_at_once = 1
        self._legs_at_once = 1
        self.is_suspect = False
        self.suspicion: Suspicion | None = None

    @property
    def seen(self) -> bool:
        """Return whether an upstream was cut off by this request."""
        return self.suspicion is not None

    @property
    def is_proven(self) -> bool:
        """Return whether each service that was cut off has answered a probe."""
        return self._cut_off_services <= self._proven_services

    @property
    def is_careful(self) -> bool:
        """Return whether the request may crash what it runs on."""
        return self.is_suspect or self.seen

    def begin(self, now_ms: int) -> Verdict:
        """Return how the request may run, and run it so."""
        verdict = self.verdict(now_ms)
        self.is_suspect = verdict == Verdict.SUSPECT
        return verdict

    def begin_again(self) -> None:
        """Run the request on a newer snapshot, with care if it is not proven."""
        self.drop_held()
        self.is_suspect = self.is_suspect or not self.is_proven

    def may_send(self, in_flight: int) -> bool:
        """Return whether a further leg may be sent beside those in flight.

        A suspect request begins with one leg; each answer doubles the legs at once.
        """
        return not self.is_suspect or in_flight < self._legs_at_once

    def runs_alone(self, run: ShardRun) -> bool:
        """Return whether a shard's leg must not share an exchange with others."""
        return self.is_suspect or run in self._probes

    def verdict(self, now_ms: int) -> Verdict:
        """Return how the request may run from now on."""
        return self._quarantine.verdict(now_ms, self._digest)

    def suspicion_left_ms(self, now_ms: int) -> int:
        """Return how long the request stays suspect or refused, in milliseconds."""
        return self._quarantine.left_ms(now_ms, self._digest)

    def note(self, now_ms: int, run: ShardRun, leg: OpenLeg) -> bool:
        """Record a leg that was cut off; return whether it counts as a crash."""
        service_id = run.shard.service_id
        if service_id in self._proven_services:
            return False
        self._cut_off_services.add(service_id)
        if self.seen and not leg.is_after_cut_off:
            return False
        self.suspicion = self._quarantine.note_cut_off(
            now_ms, self._digest, leg.upstream_id
        )
        return True

    def needs_probe(self, run: ShardRun) -> bool:
        """Return whether a shard may only be retried by a probe."""
        service_id = run.shard.service_id
        return (
            service_id in self._cut_off_services
            and service_id not in self._proven_services
        )

    def hold(self, run: ShardRun) -> None:
        """Hold a shard back until it can be probed or is released."""
        self.end_probe(run)
        self._held.append(run)

    def holds(self, run: ShardRun) -> bool:
        """Return whether a shard waits for a probe."""
        return run in self._held

    def next_probe(self) -> ShardRun | None:
        """Return a shard to probe its service with now, or None."""
        if len(self._probes) >= self._probes_at_once:
            return None
        probed = {run.shard.service_id for run in self._probes}
        for run in self._held:
            if run.shard.service_id not in probed:
                self._held.remove(run)
                self._probes.append(run)
                return run
        return None

    def end_probe(self, run: ShardRun) -> None:
        """Note that a shard is no probe any more, if it was one."""
        if run in self._probes:
            self._probes.remove(run)

    def release(self, run: ShardRun) -> tuple[ShardRun, ...]:
        """Note an answer; return the held shards that it sets free."""
        self._legs_at_once *= PROBE_GROWTH
        if run not in self._probes:
            return ()
        self._probes.remove(run)
        self._probes_at_once *= PROBE_GROWTH
        service_id = run.shard.service_id
        self._proven_services.add(service_id)
        released = [held for held in self._held if held.shard.service_id == service_id]
        self._held = collections.deque(
            held for held in self._held if held.shard.service_id != service_id
        )
        return tuple(released)

    def drop_held(self) -> None:
        """Forget all shards held back, and the probes."""
        self._held.clear()
        self._probes.clear()

    def close(self, now_ms: int, is_whole: bool) -> Suspicion | None:
        """Clear a request that proved harmless, or return its suspicion for peers.

        Args:
            now_ms: Milliseconds since the epoch.
            is_whole: Whether every shard answered.
        """
        is_harmless = self.is_proven if self.seen else is_whole
        if is_harmless and self._quarantine.clear(now_ms, self._digest):
            return None
        return self.suspicion
