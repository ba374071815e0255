"""Platform calls per claim, with and without a holder for each bucket.

Claims tasks of several instances under virtual time, a platform in memory that takes
a fixed time for each call, and messages that take a fixed time between instances.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import eventlet
from returns.result import Failure, Result, Success

from almondspool.codes import ResultCode
from almondspool.coordination.claims.claims import CLAIM_KIND, ClaimState
from almondspool.coordination.claims.claims_task import (
    ClaimPeers,
    ClaimsTask,
    make_claims_task,
)
from almondspool.coordination.membership.rendezvous import highest_ranked
from almondspool.errors import PlatformError
from almondspool.logs import EventLog
from almondspool.protocol.caller import SearchRequest
from almondspool.protocol.peer import ClaimReply
from almondspool.protocol.platform import PlatformObject
from almondspool.transport.peer_channel import PeerMessage
from almondspool.transport.timers import VirtualTimers

if TYPE_CHECKING:
    from collections.abc import Iterable

SIZES = (3, 9, 27)
CLAIMS_PER_S = (100, 1000)
DURATION_S = 2.0
SETTLE_S = 8.0
CALL_S = 0.005
MESSAGE_S = 0.004
RUN_S = 0.010
STEP_S = 0.001
RETENTION_S = 3600.0
SEED = 1


class ClaimWrites(NamedTuple):
    """Calls of one run.

    Attributes:
        instances: How many instances claim.
        claims_per_s: Claims a second, of all together.
        is_routed: Whether operations are forwarded to bucket holders.
        claimed: Claims that were made.
        writes: Conditional updates tried, per claim; a claim is also closed.
        conflicts: Those refused for their version, per claim.
        reads: Reads, per claim.
        p99_ms: 99th percentile of the time to a claim, in milliseconds.
    """

    instances: int
    claims_per_s: int
    is_routed: bool
    claimed: int
    writes: float
    conflicts: float
    reads: float
    p99_ms: float


class _Platform:
    """Reads and conditional updates of claim buckets, CALL_S each."""

    def __init__(self, timers: VirtualTimers) -> None:
        self._timers = timers
        self._objects_by_name: dict[str, PlatformObject] = {}
        self._version = 0
        self.counts: Counter[str] = Counter()

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        self._wait("reads")
        found = self._objects_by_name.get(name)
        if found is None:
            return Failure(PlatformError(name, ResultCode.PLATFORM_NOT_FOUND))
        return Success(found)

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        self._wait("writes")
        found = self._objects_by_name.get(name)
        if (found.version if found else 0) != expected_version:
            self.counts["conflicts"] += 1
            return Failure(PlatformError(name, ResultCode.PLATFORM_CONFLICT))
        self._version += 1
        written = PlatformObject(CLAIM_KIND, name, self._version, value)
        self._objects_by_name[name] = written
        return Success(written)

    def _wait(self, what: str) -> None:
        self.counts[what] += 1
        self._timers.sleep(CALL_S)


class _Fleet:
    """Claims tasks that forward operations to each other."""

    def __init__(self, instances: int, is_routed: bool) -> None:
        self.timers = VirtualTimers()
        self.platform = _Platform(self.timers)
        self._names = [f"i-{number}" for number in range(instances)]
        self._is_routed = is_routed
        self.tasks_by_name = {name: self._make_task(name) for name in self._names}
        self.durations_ms: list[float] = []

    def claim(self, name: str, request: SearchRequest) -> None:
        started = self.timers.now()
        task = self.tasks_by_name[name]
        if not task.claim(request).is_claimed:
            return
        self.durations_ms.append((self.timers.now() - started) * 1000)
        self.timers.sleep(RUN_S)
        task.close_claim(request.request_id, ClaimState.DONE)

    def _make_task(self, name: str) -> ClaimsTask:
        return make_claims_task(
            self.platform,
            self.timers,
            EventLog(lambda line: None),
            name,
            1,
            RETENTION_S,
            lambda owner, incarnation: True,
            random.Random(SEED),
            ClaimPeers(
                lambda other, message: self._send(name, other, message), self._holder_of
            ),
        )

    def _holder_of(self, bucket: str) -> str:
        return (
            highest_ranked(f"claims/{bucket}", self._names) if self._is_routed else ""
        )

    def _send(self, sender: str, instance: str, message: NamedTuple) -> bool:
        item = PeerMessage(
            sender, message, lambda reply: self._send(instance, sender, reply)
        )
        self.timers.call_later(MESSAGE_S, lambda: self._deliver(instance, item))
        return True

    def _deliver(self, instance: str, item: PeerMessage) -> None:
        task = self.tasks_by_name[instance]
        if isinstance(item.message, ClaimReply):
            task.on_reply(item.sender, item.message)
        else:
            task.on_op(item)


def measure(instances: int, claims_per_s: int, is_routed: bool) -> ClaimWrites:
    """Return the calls of claims that arrive at random instances at random times.

    Args:
        instances: How many instances claim.
        claims_per_s: Claims a second, of all together.
        is_routed: Whether operations are forwarded to bucket holders.
    """
    fleet = _Fleet(instances, is_routed)
    rng = random.Random(SEED)
    due = 0.0
    number = 0
    while fleet.timers.now() < DURATION_S + SETTLE_S:
        while due <= fleet.timers.now() and due < DURATION_S:
            name = f"i-{rng.randrange(instances)}"
            eventlet.spawn_n(fleet.claim, name, _request(number, fleet.timers))
            number += 1
            due += rng.expovariate(claims_per_s)
        eventlet.sleep(0)
        fleet.timers.advance(STEP_S)
    return _summarize(instances, claims_per_s, is_routed, fleet)


def measure_all() -> Iterable[ClaimWrites]:
    """Return the calls at each size and rate, without and with holders."""
    for claims_per_s in CLAIMS_PER_S:
        for instances in SIZES:
            for is_routed in (False, True):
                yield measure(instances, claims_per_s, is_routed)


def _summarize(
    instances: int, claims_per_s: int, is_routed: bool, fleet: _Fleet
) -> ClaimWrites:
    durations_ms = sorted(fleet.durations_ms)
    counts = fleet.platform.counts
    claimed = len(durations_ms)
    return ClaimWrites(
        instances,
        claims_per_s,
        is_routed,
        claimed,
        counts["writes"] / claimed,
        counts["conflicts"] / claimed,
        counts["reads"] / claimed,
        durations_ms[int(claimed * 0.99)],
    )


def _request(number: int, timers: VirtualTimers) -> SearchRequest:
    return SearchRequest(
        f"booking-{number}",
        "alert-desk",
        shard="shard-0",
        idempotent=False,
        issued_at_ms=timers.epoch_ms(),
    )


def main() -> None:
    """Print the calls as a table."""
    print("| claims/s | instances | holder | writes | conflicts | reads | p99 ms |")
    print("|---|---|---|---|---|---|---|")
    for each in measure_all():
        holder = "yes" if each.is_routed else "no"
        print(
            f"| {each.claims_per_s} | {each.instances} | {holder} | {each.writes:.2f}"
            f" | {each.conflicts:.2f} | {each.reads:.2f} | {each.p99_ms:.0f} |"
        )


if __name__ == "__main__":
    main()
