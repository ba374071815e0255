"""Detection that this instance cannot reach the upstreams although they run.

A replica that cannot be connected to may have crashed. If no replica at all can be
connected to, the network path of this instance is the likely cause: it is isolated.
Connections count and not replies, as upstreams that hang or are overloaded still accept
connections.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from almondspool.logs import EventLog
    from almondspool.state.routes import Replica
    from almondspool.transport.timers import TimerService

# Replicas that must have failed, without a connection to any other since, before
# further ones are probed. A shard whose replicas are all down has about as many.
MIN_FAILED_REPLICAS = 3
# Replicas probed before the conclusion that none can be reached: enough that not all of
# them have crashed while others run.
SUSPICION_PROBES = 10
# Shortest interval between two such rounds that found a replica to be reachable.
SUSPICION_INTERVAL_S = 1.0
# Replicas probed at once while isolated, and to check a crash.
PROBED_REPLICAS = 4
# Longest delay of the probes of an instance that learns that another one is isolated,
# so that those of a large fleet do not probe all at once.
MAX_HINT_DELAY_S = 0.3
# Shortest interval between probes for this reason.
HINT_INTERVAL_S = 2.0
# Interval of the probes while isolated, varied by a random factor of 0.5 to 1.5 so that
# the instances of a zone do not all return at once.
PROBE_INTERVAL_S = 0.5
# A probe without a result counts as failed after this time. A replica that is removed
# meanwhile gives none.
PROBE_TIMEOUT_S = 0.5


class UpstreamReachability:
    """Decides from connection attempts whether this instance is isolated.

    Attributes:
        is_isolated: Whether no upstream could be connected to when last probed.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        replicas: Callable[[], Sequence[Replica]],
        connect: Callable[[Replica, Callable[[bool], None]], None],
        on_changed: Callable[[bool], None],
        log: EventLog,
    ) -> None:
        """Start with reachable upstreams.

        Args:
            timers: The timer service.
            rng: Chooses the replicas to probe.
            replicas: Returns the known replicas of all services.
            connect: Opens a connection to a replica and calls back once with whether
                it was established. The attempt is recorded like all others.
            on_changed: Called with is_isolated when it has changed.
            log: The event log.
        """
        self._timers = timers
        self._rng = rng
        self._replicas = replicas
        self._connect = connect
        self._on_changed = on_changed
        self._log = log
        self.is_isolated = False
        self._isolated_at = -math.inf
        self._connected_at = timers.now()
        # Replicas that could not be connected to since the last connection to any.
        self._failed_ids: set[str] = set()
        # When probes were last sent because another instance was isolated.
        self._hinted_at = -math.inf
        # When a suspicion was last found to be wrong.
        self._refuted_at = -math.inf
        self._is_probing = False
        self._probe_count = 0
        self._connected_probe_count = 0

    def record_connect(self, replica_id: str, is_connected: bool) -> None:
        """Record the end of an attempt to connect to a replica.

        Args:
            replica_id: The replica.
            is_connected: Whether the connection was established.
        """
        if is_connected:
            self._failed_ids.clear()
            self._connected_at = self._timers.now()
            return
        self._failed_ids.add(replica_id)
        is_suspected = len(self._failed_ids) >= MIN_FAILED_REPLICAS
        is_due = self._timers.now() - self._refuted_at >= SUSPICION_INTERVAL_S
        if is_suspected and is_due and not self._is_probing and not self.is_isolated:
            self._log.write(
                "upstreams.suspected",
                failed=len(self._failed_ids),
                connected_ago_s=self._timers.now() - self._connected_at,
            )
            self._probe(SUSPICION_PROBES)

    def on_peer_isolated(self) -> None:
        """Probe some replicas soon, as another instance has lost all upstreams.

        An instance without requests would otherwise not notice that it has lost them
        too, and would be chosen in place of the other.
        """
        now = self._timers.now()
        if now - self._hinted_at >= HINT_INTERVAL_S:
            self._hinted_at = now
            delay_s = self._rng.uniform(0.0, MAX_HINT_DELAY_S)
            self._timers.call_later(delay_s, self._probe_if_unknown)

    def _probe_if_unknown(self) -> None:
        if not self._is_probing and not self.is_isolated:
            self._probe(SUSPICION_PROBES)

    def check(self, on_result: Callable[[bool], None]) -> None:
        """Call back with whether some upstream can be connected to now."""
        if self.is_isolated:
            on_result(False)
            return
        is_reported = [False]

        def report(is_connected: bool) -> None:
            if not is_reported[0]:
                is_reported[0] = True
                on_result(is_connected)

        def on_probed(is_connected: bool) -> None:
            pending[0] -= 1
            if is_connected or not pending[0]:
                report(is_connected)

        replicas = self._choose_replicas(PROBED_REPLICAS)
        pending = [len(replicas)]
        self._timers.call_later(PROBE_TIMEOUT_S, lambda: report(False))
        for replica in replicas:
            self._connect(replica, on_probed)

    def _probe(self, count: int) -> None:
        """Connect to some replicas, those that have not failed first."""
        replicas = self._choose_replicas(count)
        self._is_probing = bool(replicas)
        self._probe_count = len(replicas)
        self._connected_probe_count = 0
        pending_ids = {replica.replica_id for replica in replicas}
        if replicas:
            self._timers.call_later(
                PROBE_TIMEOUT_S, lambda: self._end_round(pending_ids)
            )
        for replica in replicas:
            self._connect(
                replica,
                lambda is_connected, replica_id=replica.replica_id: self._on_probed(
                    pending_ids, replica_id, is_connected
                ),
            )
        if not replicas:
            self._schedule_probe()

    def _choose_replicas(self, count: int) -> list[Replica]:
        """Return replicas of as many services as possible, in random order."""
        replicas = list(self._replicas())
        self._rng.shuffle(replicas)
        chosen_by_service: dict[str, Replica] = {}
        for replica in replicas:
            if replica.replica_id not in self._failed_ids:
                chosen_by_service.setdefault(replica.service, replica)
        chosen = [*chosen_by_service.values(), *replicas]
        return list(dict.fromkeys(chosen))[:count]

    def _on_probed(
        self, pending_ids: set[str], replica_id: str, is_connected: bool
    ) -> None:
        if replica_id not in pending_ids:
            return
        pending_ids.discard(replica_id)
        self._connected_probe_count += is_connected
        if not pending_ids:
            self._conclude()

    def _end_round(self, pending_ids: set[str]) -> None:
        if pending_ids:
            pending_ids.clear()
            self._conclude()

    def _conclude(self) -> None:
        """Draw the conclusion from a finished round of probes."""
        self._is_probing = False
        if self.is_isolated:
            # One connection may have been established just before a further partition.
            if 2 * self._connected_probe_count >= self._probe_count:
                self._set_isolated(False)
            else:
                self._schedule_probe()
        elif self._connected_probe_count or not self._failed_ids:
            self._refuted_at = self._timers.now()
        else:
            self._set_isolated(True)
            self._schedule_probe()

    def _schedule_probe(self) -> None:
        if self.is_isolated:
            delay_s = PROBE_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            self._timers.call_later(delay_s, lambda: self._probe(PROBED_REPLICAS))

    def _set_isolated(self, is_isolated: bool) -> None:
        now = self._timers.now()
        self._log.write(
            "upstreams.lost" if is_isolated else "upstreams.regained",
            failed=len(self._failed_ids),
            probed=self._probe_count,
            connected=self._connected_probe_count,
            connected_ago_s=now - self._connected_at,
            isolated_s=0.0 if is_isolated else now - self._isolated_at,
        )
        self.is_isolated = is_isolated
        self._isolated_at = now
        self._failed_ids.clear()
        self._on_changed(is_isolated)
