"""Benchmark of the platform calls per claim, with and without bucket holders.

Run as ``python -m bench.claim_writes``. It runs the claims tasks of several instances
in virtual time. The platform is simulated in memory; each of its calls and each message
between instances takes a fixed time.
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

INSTANCE_COUNTS = (3, 9, 27)
CLAIMS_PER_S = (100, 1000)
# Time during which claims arrive.
ARRIVAL_PERIOD_S = 2.0
# Time after that for the last claims to be closed.
SETTLE_S = 8.0
PLATFORM_CALL_S = 0.005
MESSAGE_DELAY_S = 0.004
# Time from the claim of a request until its claim is closed.
REQUEST_DURATION_S = 0.010
TIME_STEP_S = 0.001
CLAIM_RETENTION_S = 3600.0
SEED = 1


class ClaimCalls(NamedTuple):
    """Platform calls per claim in one run.

    Attributes:
        instances: Number of instances that claim requests.
        claims_per_s: Claims per second of all instances together.
        is_forwarded: Whether operations are forwarded to bucket holders; otherwise the
            claiming instance writes them.
        claims: Number of successful claims.
        writes_per_claim: Attempted conditional updates, including those that close the
            claim.
        conflicts_per_claim: Updates rejected because of their version.
        reads_per_claim: Reads of buckets.
        p99_ms: 99th percentile of the duration of a claim, in milliseconds.
    """

    instances: int
    claims_per_s: int
    is_forwarded: bool
    claims: int
    writes_per_claim: float
    conflicts_per_claim: float
    reads_per_claim: float
    p99_ms: float


class _Platform:
    """In-memory platform for claim buckets whose calls take PLATFORM_CALL_S each."""

    def __init__(self, timers: VirtualTimers) -> None:
        self._timers = timers
        self._objects_by_name: dict[str, PlatformObject] = {}
        self._version = 0
        self.count_by_call: Counter[str] = Counter()

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        self._count_and_wait("reads")
        stored = self._objects_by_name.get(name)
        if stored is None:
            return Failure(PlatformError(name, ResultCode.PLATFORM_NOT_FOUND))
        return Success(stored)

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        self._count_and_wait("writes")
        stored = self._objects_by_name.get(name)
        if (stored.version if stored else 0) != expected_version:
            self.count_by_call["conflicts"] += 1
            return Failure(PlatformError(name, ResultCode.PLATFORM_CONFLICT))
        self._version += 1
        written = PlatformObject(CLAIM_KIND, name, self._version, value)
        self._objects_by_name[name] = written
        return Success(written)

    def _count_and_wait(self, call: str) -> None:
        self.count_by_call[call] += 1
        self._timers.sleep(PLATFORM_CALL_S)


class _Fleet:
    """Claims tasks of all instances, which forward operations to each other."""

    def __init__(self, instances: int, is_forwarded: bool) -> None:
        self.timers = VirtualTimers()
        self.platform = _Platform(self.timers)
        self._instance_names = [f"i-{number}" for number in range(instances)]
        self._is_forwarded = is_forwarded
        self.tasks_by_name = {
            name: self._make_task(name) for name in self._instance_names
        }
        self.durations_ms: list[float] = []

    def claim(self, name: str, request: SearchRequest) -> None:
        started = self.timers.now()
        task = self.tasks_by_name[name]
        if not task.claim(request).is_claimed:
            return
        self.durations_ms.append((self.timers.now() - started) * 1000)
        self.timers.sleep(REQUEST_DURATION_S)
        task.close_claim(request.request_id, ClaimState.DONE)

    def _make_task(self, name: str) -> ClaimsTask:
        return make_claims_task(
            self.platform,
            self.timers,
            EventLog(lambda line: None),
            name,
            1,
            CLAIM_RETENTION_S,
            lambda owner, incarnation: True,
            random.Random(SEED),
            ClaimPeers(
                lambda other, message: self._send(name, other, message), self._holder_of
            ),
        )

    def _holder_of(self, bucket: str) -> str:
        return (
            highest_ranked(f"claims/{bucket}", self._instance_names)
            if self._is_forwarded
            else ""
        )

    def _send(self, sender: str, instance: str, message: NamedTuple) -> bool:
        item = PeerMessage(
            sender, message, lambda reply: self._send(instance, sender, reply)
        )
        self.timers.call_later(MESSAGE_DELAY_S, lambda: self._deliver(instance, item))
        return True

    def _deliver(self, instance: str, item: PeerMessage) -> None:
        task = self.tasks_by_name[instance]
        if isinstance(item.message, ClaimReply):
            task.on_reply(item.sender, item.message)
        else:
            task.on_forwarded_operation(item)


def measure(instances: int, claims_per_s: int, is_forwarded: bool) -> ClaimCalls:
    """Measure the platform calls of claims that arrive at random instances and times.

    Args:
        instances: Number of instances that claim requests.
        claims_per_s: Claims per second of all instances together.
        is_forwarded: Whether operations are forwarded to bucket holders; otherwise the
            claiming instance writes them.
    """
    fleet = _Fleet(instances, is_forwarded)
    rng = random.Random(SEED)
    due_s = 0.0
    number = 0
    while fleet.timers.now() < ARRIVAL_PERIOD_S + SETTLE_S:
        while due_s <= fleet.timers.now() and due_s < ARRIVAL_PERIOD_S:
            name = f"i-{rng.randrange(instances)}"
            eventlet.spawn_n(fleet.claim, name, _make_request(number, fleet.timers))
            number += 1
            due_s += rng.expovariate(claims_per_s)
        eventlet.sleep(0)
        fleet.timers.advance(TIME_STEP_S)
    return _make_result(instances, claims_per_s, is_forwarded, fleet)


def measure_all() -> Iterable[ClaimCalls]:
    """Yield the calls at each rate and fleet size, without and with bucket holders."""
    for claims_per_s in CLAIMS_PER_S:
        for instances in INSTANCE_COUNTS:
            for is_forwarded in (False, True):
                yield measure(instances, claims_per_s, is_forwarded)


def _make_result(
    instances: int, claims_per_s: int, is_forwarded: bool, fleet: _Fleet
) -> ClaimCalls:
    durations_ms = sorted(fleet.durations_ms)
    count_by_call = fleet.platform.count_by_call
    claims = len(durations_ms)
    return ClaimCalls(
        instances,
        claims_per_s,
        is_forwarded,
        claims,
        count_by_call["writes"] / claims,
        count_by_call["conflicts"] / claims,
        count_by_call["reads"] / claims,
        durations_ms[int(claims * 0.99)],
    )


def _make_request(number: int, timers: VirtualTimers) -> SearchRequest:
    return SearchRequest(
        f"booking-{number}",
        "alert-desk",
        shard="shard-0",
        idempotent=False,
        issued_at_ms=timers.epoch_ms(),
    )


def main() -> None:
    """Print the platform calls per claim as a table."""
    print("| claims/s | instances | holder | writes | conflicts | reads | p99 ms |")
    print("|---|---|---|---|---|---|---|")
    for run in measure_all():
        holder = "yes" if run.is_forwarded else "no"
        print(
            f"| {run.claims_per_s} | {run.instances} | {holder}"
            f" | {run.writes_per_claim:.2f} | {run.conflicts_per_claim:.2f}"
            f" | {run.reads_per_claim:.2f} | {run.p99_ms:.0f} |"
        )


if __name__ == "__main__":
    main()
