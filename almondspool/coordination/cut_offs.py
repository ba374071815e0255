"""What one request does after it cut off an upstream: one probe at a time.

A request that crashes upstreams and a replica that was lost look alike at first:
legs in flight are cut off. All cut-offs of legs sent before the first one was seen
count as one crash. The affected shards are held back and retried by a single probe
for each service; a probe that is cut off too is the second crash, one that answers
shows that the upstream was lost for another reason.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondspool.coordination.quarantine import Quarantine, Verdict
    from almondspool.coordination.shard_run import OpenLeg, ShardRun
    from almondspool.protocol.peer import Suspicion


class CutOffs:
    """Holds the shards that were cut off, and the request's crash count.

    Attributes:
        suspicion: Message for peers once an upstream was cut off, or None.
        probe: The shard that is retried now, or None.
    """

    def __init__(self, quarantine: Quarantine, digest: str) -> None:
        """Record crashes of one request's fingerprint."""
        self._quarantine = quarantine
        self._digest = digest
        self._held: collections.deque[ShardRun] = collections.deque()
        self._cut_off_services: set[str] = set()
        self._proven_services: set[str] = set()
        self.suspicion: Suspicion | None = None
        self.probe: ShardRun | None = None

    @property
    def seen(self) -> bool:
        """Return whether an upstream was cut off by this request."""
        return self.suspicion is not None

    @property
    def is_proven(self) -> bool:
        """Return whether each service that was cut off has answered a probe."""
        return self._cut_off_services <= self._proven_services

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
        if run is self.probe:
            self.probe = None
        self._held.append(run)

    def next_probe(self) -> ShardRun | None:
        """Return the shard to probe with now, if none is being probed."""
        if self.probe is not None or not self._held:
            return None
        self.probe = self._held.popleft()
        return self.probe

    def end_probe(self, run: ShardRun) -> None:
        """Note that the probe's shard was given up."""
        if run is self.probe:
            self.probe = None

    def release(self, run: ShardRun) -> tuple[ShardRun, ...]:
        """Note an answer; return the held shards that it sets free."""
        if run is not self.probe:
            return ()
        self.probe = None
        service_id = run.shard.service_id
        self._proven_services.add(service_id)
        released = [held for held in self._held if held.shard.service_id == service_id]
        self._held = collections.deque(
            held for held in self._held if held.shard.service_id != service_id
        )
        return tuple(released)

    def drop_held(self) -> None:
        """Forget all shards held back, and the probe."""
        self._held.clear()
        self.probe = None

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
