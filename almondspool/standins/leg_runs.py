"""Runs the legs of one searcher stand-in in its slots."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable

import eventlet
import eventlet.queue
import msgspec

from almondspool.protocol.caller import Record
from almondspool.standins.faults import FaultInjector, FaultKind, Journal
from almondspool.standins.records import Dataset, find_records, records_by_shard
from almondspool.standins.searcher_settings import SearcherSettings

# Time that a cold searcher needs in addition, relative to the service time.
COLD_EXTRA_TIME_RATIO = 4.0
# Largest random deviation, relative to the service time.
SERVICE_TIME_JITTER_RATIO = 0.2
FROZEN_POLL_S = 0.02

# Values of WireResult.status.
OK = "ok"
SHED = "shed"
DRAINING = "draining"
SNAPSHOT_GONE = "snapshot_gone"
SHARD_UNKNOWN = "shard_unknown"
CANCELLED = "cancelled"
DEADLINE = "deadline"

# Messages to a LegRun, besides CANCELLED.
_SLOT_GRANTED = "slot"
_CRASHED = "crashed"


class WireLeg(msgspec.Struct):
    """A leg in the body of a request.

    Attributes:
        leg_id: Its id.
        request_id: The request it belongs to.
        team: The team whose records it searches.
        snapshot: The snapshot it searches.
        shard: The shard it searches.
        query: Required value by field.
        deadline_ms: Time until its deadline, in milliseconds.
        idempotent: False for a booking.
    """

    leg_id: str
    request_id: str
    team: str
    snapshot: int
    shard: str
    query: dict[str, str]
    deadline_ms: int
    idempotent: bool = True


class WireRecord(msgspec.Struct):
    """A matching record in a reply."""

    record_id: str
    fields: dict[str, str]


class WireResult(msgspec.Struct):
    """The result of a leg, one line of a reply.

    Attributes:
        leg_id: The leg.
        status: OK, or why it has no records.
        snapshot: The leg's snapshot.
        shard: The leg's shard.
        records: The matching records.
        detail: Explanation of a refusal.
        was_run: Whether the leg got a slot.
        load: The searcher's load report.
    """

    leg_id: str
    status: str
    snapshot: int
    shard: str
    records: list[WireRecord] = []
    detail: str = ""
    was_run: bool = False
    load: dict[str, object] | None = None


class LegEntry(msgspec.Struct):
    """Journal entry of a leg that got a slot.

    Attributes:
        upstream_id: The searcher.
        leg_id: The leg.
        request_id: The request it belongs to.
        snapshot: The snapshot it ran on.
        shard: The shard it searched.
        idempotent: False for a booking; this entry is its effect.
        finished: Whether it ran to completion.
    """

    upstream_id: str
    leg_id: str
    request_id: str
    snapshot: int
    shard: str
    idempotent: bool
    finished: bool = False


class CrashError(Exception):
    """The searcher crashed before the leg had a result."""


class LegRun:
    """One leg in the queue or in a slot of a searcher."""

    def __init__(self, leg: WireLeg) -> None:
        """Start the time until the leg's deadline."""
        self.leg = leg
        self._deadline = time.monotonic() + leg.deadline_ms / 1000
        self._messages: eventlet.queue.LightQueue = eventlet.queue.LightQueue()

    def send(self, message: str) -> None:
        """Send _SLOT_GRANTED, CANCELLED or _CRASHED to the leg."""
        self._messages.put(message)

    def wait(self, duration_s: float | None = None) -> str:
        """Wait for a message, the deadline or the end of a duration.

        Args:
            duration_s: The duration, in seconds; None to wait without one.

        Returns:
            The message, DEADLINE, or an empty string when the duration ended.
        """
        remaining_s = max(0.0, self._deadline - time.monotonic())
        ends_at_deadline = duration_s is None or remaining_s <= duration_s
        try:
            return self._messages.get(
                timeout=remaining_s if ends_at_deadline else duration_s
            )
        except eventlet.queue.Empty:
            return DEADLINE if ends_at_deadline else ""


class SearchIndex:
    """The records of one team by snapshot and shard, generated on first use."""

    def __init__(self, dataset: Dataset) -> None:
        """Use a dataset, without generating its records yet."""
        self._dataset = dataset
        self._records_by_shard_by_key: dict[
            tuple[str, int], dict[str, tuple[Record, ...]]
        ] = {}

    def search(
        self, snapshot: int, shard: str, query: dict[str, str]
    ) -> list[WireRecord]:
        """Return the records of a shard that match a query."""
        service_id = shard.rpartition("/")[0]
        key = (service_id, snapshot)
        if key not in self._records_by_shard_by_key:
            self._records_by_shard_by_key[key] = records_by_shard(
                self._dataset, service_id, snapshot
            )
        found = find_records(self._records_by_shard_by_key[key][shard], query)
        return [WireRecord(record.record_id, record.fields) for record in found]


class LegRunner:
    """The slots and the queue of one searcher.

    Attributes:
        draining: Whether it refuses new legs.
        snapshots: Ids of the snapshots it serves.
    """

    def __init__(
        self,
        settings: SearcherSettings,
        index: SearchIndex,
        faults: FaultInjector,
        journal: Journal,
        on_crash: Callable[[float], None],
    ) -> None:
        """Start with free slots; on_crash gets the time to stay down, in seconds."""
        self._settings = settings
        self._index = index
        self._faults = faults
        self._journal = journal
        self._on_crash = on_crash
        self._random = random.Random(settings.upstream_id)
        self._waiting: deque[LegRun] = deque()
        self._runs_by_leg_id: dict[str, LegRun] = {}
        self._running = 0
        self._warming_since = time.monotonic()
        self.draining = False
        self.snapshots = set(settings.shards_by_snapshot)

    @property
    def running(self) -> int:
        """Number of legs in the slots."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of legs that wait for a slot."""
        return len(self._waiting)

    def warmth(self) -> float:
        """Return the warmth, from 0.0 just after a start to 1.0 when warm."""
        if not self._settings.cold_start_s:
            return 1.0
        elapsed_s = time.monotonic() - self._warming_since
        return min(1.0, elapsed_s / self._settings.cold_start_s)

    def reset_warmth(self) -> None:
        """Reset the warmth to 0.0, as a restart does."""
        self._warming_since = time.monotonic()

    def abort(self) -> None:
        """End every leg without a result, as a crash does."""
        for run in list(self._runs_by_leg_id.values()):
            run.send(_CRASHED)

    def cancel(self, leg_ids: list[str]) -> None:
        """Cancel the named legs, queued or running."""
        for leg_id in leg_ids:
            run = self._runs_by_leg_id.get(leg_id)
            if run is not None:
                run.send(CANCELLED)

    def run(self, leg: WireLeg) -> WireResult:
        """Run one leg and return its result.

        Raises:
            CrashError: When the searcher crashes, through this leg or another.
        """
        refusal = self._refusal_status(leg)
        if refusal:
            return _result(leg, refusal, f"{self._settings.upstream_id}: {refusal}")
        run = LegRun(leg)
        self._runs_by_leg_id[leg.leg_id] = run
        try:
            return self._run_in_slot(run)
        finally:
            self._runs_by_leg_id.pop(leg.leg_id, None)

    def _refusal_status(self, leg: WireLeg) -> str:
        if leg.deadline_ms <= 0:
            return DEADLINE
        if self.draining:
            return DRAINING
        if leg.snapshot not in self.snapshots:
            return SNAPSHOT_GONE
        if leg.shard not in self._settings.shards_by_snapshot[leg.snapshot]:
            return SHARD_UNKNOWN
        if len(self._waiting) >= self._settings.queue_limit:
            return SHED
        return ""

    def _run_in_slot(self, run: LegRun) -> WireResult:
        message = self._acquire_slot(run)
        if message == _CRASHED:
            raise CrashError(run.leg.leg_id)
        if message != _SLOT_GRANTED:
            return _result(run.leg, message)
        try:
            return self._execute(run)
        finally:
            self._release_slot()

    def _acquire_slot(self, run: LegRun) -> str:
        if self._running < self._settings.slots:
            self._running += 1
            return _SLOT_GRANTED
        self._waiting.append(run)
        message = run.wait()
        if message != _SLOT_GRANTED and run in self._waiting:
            self._waiting.remove(run)
        elif message != _SLOT_GRANTED:
            # A slot was granted just after the deadline or cancellation: release it.
            self._release_slot()
        return message

    def _release_slot(self) -> None:
        if self._waiting:
            self._waiting.popleft().send(_SLOT_GRANTED)
        else:
            self._running -= 1

    def _execute(self, run: LegRun) -> WireResult:
        leg = run.leg
        entry = LegEntry(
            self._settings.upstream_id,
            leg.leg_id,
            leg.request_id,
            leg.snapshot,
            leg.shard,
            leg.idempotent,
        )
        self._journal.add(entry)
        message = run.wait(self._service_time_s())
        self._check_crash(leg, message)
        if message in (CANCELLED, DEADLINE):
            return _result(leg, message, was_run=True)
        self._wait_while_frozen()
        entry.finished = True
        records = self._index.search(leg.snapshot, leg.shard, leg.query)
        return _result(leg, OK, was_run=True, records=records)

    def _service_time_s(self) -> float:
        upstream_id = self._settings.upstream_id
        jitter = self._random.uniform(
            -SERVICE_TIME_JITTER_RATIO, SERVICE_TIME_JITTER_RATIO
        )
        time_ms = self._settings.service_time_ms * (1.0 + jitter)
        time_ms *= 1.0 + COLD_EXTRA_TIME_RATIO * (1.0 - self.warmth())
        for kind in (FaultKind.STRAGGLE, FaultKind.SLOW):
            fault = self._faults.trigger(kind, upstream_id)
            if fault is not None:
                time_ms = time_ms * fault.factor + fault.delay_ms
        delay = self._faults.trigger(FaultKind.DELAY, upstream_id)
        if delay is not None:
            time_ms += delay.delay_ms
        return time_ms / 1000

    def _check_crash(self, leg: WireLeg, message: str) -> None:
        kind = FaultKind.CRASH_ON
        upstream_id = self._settings.upstream_id
        if message == _CRASHED:
            raise CrashError(leg.leg_id)
        for fault in self._faults.active_faults(kind, upstream_id):
            if leg.query.get(fault.field) == fault.value:
                self._on_crash(fault.restart_s)
                raise CrashError(leg.leg_id)

    def _wait_while_frozen(self) -> None:
        while self._faults.is_active(FaultKind.FREEZE, self._settings.upstream_id):
            eventlet.sleep(FROZEN_POLL_S)


def _result(
    leg: WireLeg,
    status: str,
    detail: str = "",
    *,
    was_run: bool = False,
    records: list[WireRecord] | None = None,
) -> WireResult:
    return WireResult(
        leg.leg_id, status, leg.snapshot, leg.shard, records or [], detail, was_run
    )
