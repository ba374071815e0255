"""Scheduling of legs: when, to which upstream and in which exchange they are sent."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.leg_dispatcher_actions import (
    Action,
    CancelRuns,
    LegDispatcherCounts,
    SendResult,
    StartExchange,
    UpstreamQueueStats,
)
from almondspool.coordination.upstreams.upstream_queue import (
    Exchange,
    Run,
    UpstreamQueue,
    Waiter,
)
from almondspool.protocol.upstream import LegResult

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.protocol.peer import LegAssignment, LegBatch

MAX_LEGS_PER_EXCHANGE = 16
MAX_WAITING_RUNS_PER_UPSTREAM = 2048
# A leg is coalesced with a run in flight that has at least this share of the leg's
# remaining time.
MIN_COALESCING_TIME_SHARE = 0.5
# The deadline sent to the upstream is shorter by this share, at most by the maximum, so
# that its own report of a missed deadline arrives in time and the connection stays
# usable.
REPLY_MARGIN_SHARE = 0.1
MAX_REPLY_MARGIN_S = 0.01
# A running leg is answered this long after its deadline if its exchange continues for
# legs with later deadlines.
RUNNING_GRACE_S = 0.02

# Results by which an upstream refused load.
_REFUSED_LOAD_CODES = (ResultCode.LEG_SHED, ResultCode.LEG_DRAINING)


class LegDispatcher:
    """Queues, coalesces and batches legs; each leg gets exactly one SendResult."""

    def __init__(self) -> None:
        """Initialize without grants; until set_grants, legs get LEG_NO_HOLDER."""
        self._queues_by_id: dict[str, UpstreamQueue] = {}
        self._slots_by_id: dict[str, int] = {}
        self._runs_by_coalescing_key: dict[tuple, Run] = {}
        self._runs_by_leg_id: dict[str, Run] = {}
        self._exchanges_by_id: dict[int, Exchange] = {}
        self._exchange_ids = itertools.count(1)
        self._totals = dict.fromkeys(LegDispatcherCounts._fields, 0)

    def set_slots(self, slots_by_upstream_id: Mapping[str, int]) -> None:
        """Set the slots of the upstreams in the document, used for new limits."""
        self._slots_by_id = dict(slots_by_upstream_id)

    def set_grants(
        self, now: float, connections_by_upstream_id: Mapping[str, int]
    ) -> list[Action]:
        """Set the granted connections of each upstream; others have none.

        Legs that wait for an upstream whose grant ended are answered with
        LEG_NO_HOLDER; those in flight finish.
        """
        actions: list[Action] = []
        for upstream_id in (
            connections_by_upstream_id.keys() | self._queues_by_id.keys()
        ):
            granted = connections_by_upstream_id.get(upstream_id, 0)
            self._set_grant(now, upstream_id, granted, actions)
        return actions

    def submit(self, now: float, batch: LegBatch, sender: object) -> list[Action]:
        """Queue the legs of a sender; a leg whose id is still open is ignored."""
        actions: list[Action] = []
        changed_queues: dict[str, UpstreamQueue] = {}
        for assignment in batch.assignments:
            queue = self._enqueue(now, assignment, batch.priority, sender, actions)
            if queue is not None:
                changed_queues[queue.upstream_id] = queue
        for queue in changed_queues.values():
            self._dispatch(now, queue, actions)
        return actions

    def cancel(self, now: float, leg_ids: Iterable[str]) -> list[Action]:
        """Cancel legs; a run is cancelled once no leg waits for it."""
        actions: list[Action] = []
        cancelled_by_upstream: dict[str, list[str]] = {}
        for leg_id in leg_ids:
            run = self._runs_by_leg_id.pop(leg_id, None)
            if run is not None:
                self._cancel_leg(run, leg_id, cancelled_by_upstream, actions)
        for upstream_id, wire_ids in cancelled_by_upstream.items():
            actions.append(CancelRuns(upstream_id, tuple(wire_ids)))
            self._dispatch(now, self._queues_by_id[upstream_id], actions)
        return actions

    def on_result(
        self, now: float, exchange_id: int, result: LegResult
    ) -> list[Action]:
        """Handle one result of an exchange."""
        exchange = self._exchanges_by_id[exchange_id]
        run = exchange.pop(result.leg_id)
        if run is None:
            return []
        _update_limit(now, exchange, result)
        actions: list[Action] = []
        self._answer(run, result, actions)
        self._dispatch(now, exchange.queue, actions)
        return actions

    def on_end(self, now: float, exchange_id: int) -> list[Action]:
        """Handle the end of an exchange, which frees its connection."""
        exchange = self._exchanges_by_id.pop(exchange_id)
        actions: list[Action] = []
        for run in exchange.close():
            detail = "the exchange ended without a result"
            self._fail(run, ResultCode.LEG_FAILED, detail, True, actions)
        self._dispatch(now, exchange.queue, actions)
        return actions

    def on_timer(self, now: float) -> list[Action]:
        """Answer legs whose deadline has passed."""
        actions: list[Action] = []
        for exchange in self._exchanges_by_id.values():
            self._expire_running(now, exchange, actions)
        for queue in self._queues_by_id.values():
            if len(queue):
                self._expire_waiting(now, queue, actions)
                self._dispatch(now, queue, actions)
        return actions

    def has_open_legs(self) -> bool:
        """Return whether any leg has no result yet."""
        return bool(self._runs_by_leg_id)

    def in_flight(self) -> int:
        """Return how many exchanges are in flight."""
        return len(self._exchanges_by_id)

    def stats(self, now: float) -> tuple[UpstreamQueueStats, ...]:
        """Return the statistics of each upstream's queue, ordered by id."""
        return tuple(
            queue.stats(now) for _, queue in sorted(self._queues_by_id.items())
        )

    def counts(self) -> LegDispatcherCounts:
        """Return the totals since the start."""
        return LegDispatcherCounts(**self._totals)

    def _set_grant(
        self, now: float, upstream_id: str, granted: int, actions: list[Action]
    ) -> None:
        queue = self._queues_by_id.get(upstream_id)
        if queue is None:
            slots = self._slots_by_id.get(upstream_id, 1)
            queue = self._queues_by_id[upstream_id] = UpstreamQueue(
                upstream_id, slots, granted
            )
        queue.set_granted(granted)
        if granted:
            self._dispatch(now, queue, actions)
            return
        for run in tuple(queue.waiting()):
            queue.remove(run)
            detail = f"the grant of connections to {upstream_id} ended"
            self._fail(run, ResultCode.LEG_NO_HOLDER, detail, False, actions)
        if not queue.in_flight:
            del self._queues_by_id[upstream_id]

    def _enqueue(
        self,
        now: float,
        assignment: LegAssignment,
        priority: int,
        sender: object,
        actions: list[Action],
    ) -> UpstreamQueue | None:
        upstream_id, leg, _ = assignment
        if leg.leg_id in self._runs_by_leg_id:
            return None
        self._totals["legs"] += 1
        run = self._new_run(now, assignment, priority)
        run.waiters.append(Waiter(leg.leg_id, sender))
        queue = self._queues_by_id.get(upstream_id)
        if queue is None or not queue.granted:
            detail = f"no connection to {upstream_id} is granted"
            self._fail(run, ResultCode.LEG_NO_HOLDER, detail, False, actions)
            return None
        if self._coalesce(now, queue, run):
            return None
        if len(queue) >= MAX_WAITING_RUNS_PER_UPSTREAM:
            self._shed_one(queue, run, actions)
        if len(queue) >= MAX_WAITING_RUNS_PER_UPSTREAM:
            return None
        self._runs_by_leg_id[leg.leg_id] = run
        if run.coalescing_key is not None:
            self._runs_by_coalescing_key[run.coalescing_key] = run
        queue.push(now, run)
        return queue

    def _new_run(self, now: float, assignment: LegAssignment, priority: int) -> Run:
        upstream_id, leg, is_exclusive = assignment
        key = None
        if leg.idempotent:
            terms = tuple(sorted(leg.query.items()))
            key = (upstream_id, leg.snapshot, leg.shard, leg.team, terms)
        # A non-idempotent leg runs at most once, so its outcome must not depend on
        # other legs of the same exchange.
        is_exclusive = is_exclusive or not leg.idempotent
        expires_at = now + leg.deadline_ms / 1000
        return Run(leg, upstream_id, priority, expires_at, key, is_exclusive)

    def _coalesce(self, now: float, queue: UpstreamQueue, run: Run) -> bool:
        equal_run = (
            self._runs_by_coalescing_key.get(run.coalescing_key)
            if run.coalescing_key is not None
            else None
        )
        if equal_run is None:
            return False
        remaining_s = run.expires_at - now
        if (
            equal_run.exchange_id
            and equal_run.expires_at - now < MIN_COALESCING_TIME_SHARE * remaining_s
        ):
            return False
        if not equal_run.exchange_id:
            equal_run.expires_at = max(equal_run.expires_at, run.expires_at)
            equal_run.is_exclusive = equal_run.is_exclusive or run.is_exclusive
            queue.raise_priority(now, equal_run, run.priority)
        equal_run.waiters.extend(run.waiters)
        self._runs_by_leg_id[run.leg.leg_id] = equal_run
        self._totals["shared"] += 1
        return True

    def _shed_one(self, queue: UpstreamQueue, run: Run, actions: list[Action]) -> None:
        shed_run = queue.evict(run.priority) or run
        self._totals["shed"] += len(shed_run.waiters)
        detail = f"{len(queue)} legs wait for {queue.upstream_id}"
        self._fail(shed_run, ResultCode.LEG_SHED, detail, False, actions)

    def _dispatch(
        self, now: float, queue: UpstreamQueue, actions: list[Action]
    ) -> None:
        while queue.capacity_left:
            runs = self._pop_runs(now, queue, actions)
            if not runs:
                return
            actions.append(self._start(now, queue, runs))

    def _pop_runs(
        self, now: float, queue: UpstreamQueue, actions: list[Action]
    ) -> list[Run]:
        runs: list[Run] = []
        min_latency_s = queue.limit.recent_min_latency_s(now)
        max_runs = min(MAX_LEGS_PER_EXCHANGE, queue.capacity_left)
        while len(runs) < max_runs:
            run = queue.pop(now)
            if run is None:
                break
            if run.expires_at - now <= min_latency_s:
                self._fail_expired(run, actions)
                continue
            if run.is_exclusive and runs:
                queue.requeue(run)
                break
            runs.append(run)
            if run.is_exclusive:
                break
        return runs

    def _start(
        self, now: float, queue: UpstreamQueue, runs: list[Run]
    ) -> StartExchange:
        exchange_id = next(self._exchange_ids)
        self._exchanges_by_id[exchange_id] = Exchange(queue, runs, now)
        self._totals["exchanges"] += 1
        self._totals["runs_sent"] += len(runs)
        for run in runs:
            run.exchange_id = exchange_id
        legs = tuple(
            run.leg._replace(deadline_ms=_deadline_ms(run.expires_at - now))
            for run in runs
        )
        timeout_s = max(run.expires_at for run in runs) - now
        return StartExchange(exchange_id, queue.upstream_id, legs, timeout_s)

    def _cancel_leg(
        self,
        run: Run,
        leg_id: str,
        cancelled_by_upstream: dict[str, list[str]],
        actions: list[Action],
    ) -> None:
        self._totals["cancelled"] += 1
        waiter = next(item for item in run.waiters if item.leg_id == leg_id)
        run.waiters.remove(waiter)
        was_run = run.exchange_id != 0
        result = _failure(run, ResultCode.LEG_CANCELLED, "", was_run)
        actions.append(SendResult(waiter.sender, result._replace(leg_id=leg_id)))
        if run.waiters:
            return
        self._forget(run)
        if not run.exchange_id:
            self._queues_by_id[run.upstream_id].remove(run)
            return
        exchange = self._exchanges_by_id[run.exchange_id]
        exchange.pop(run.leg.leg_id)
        cancelled_by_upstream.setdefault(run.upstream_id, []).append(run.leg.leg_id)

    def _expire_waiting(
        self, now: float, queue: UpstreamQueue, actions: list[Action]
    ) -> None:
        due = now + queue.limit.recent_min_latency_s(now)
        for run in [item for item in queue.waiting() if item.expires_at <= due]:
            queue.remove(run)
            self._fail_expired(run, actions)

    def _expire_running(
        self, now: float, exchange: Exchange, actions: list[Action]
    ) -> None:
        due = now - RUNNING_GRACE_S
        expired = [
            run for run in exchange.runs_by_leg_id.values() if run.expires_at <= due
        ]
        for run in expired:
            exchange.pop(run.leg.leg_id)
            detail = "the deadline passed while the leg ran"
            self._fail(run, ResultCode.LEG_TIMEOUT, detail, True, actions)

    def _fail_expired(self, run: Run, actions: list[Action]) -> None:
        self._totals["expired"] += len(run.waiters)
        detail = "the deadline passed before a connection was free"
        self._fail(run, ResultCode.LEG_TIMEOUT, detail, False, actions)

    def _fail(
        self,
        run: Run,
        code: ResultCode,
        detail: str,
        was_run: bool,
        actions: list[Action],
    ) -> None:
        self._answer(run, _failure(run, code, detail, was_run), actions)

    def _answer(self, run: Run, result: LegResult, actions: list[Action]) -> None:
        self._forget(run)
        for leg_id, sender in run.waiters:
            self._runs_by_leg_id.pop(leg_id, None)
            if leg_id != result.leg_id:
                result = result._replace(leg_id=leg_id)
            actions.append(SendResult(sender, result))

    def _forget(self, run: Run) -> None:
        if (
            run.coalescing_key is not None
            and self._runs_by_coalescing_key.get(run.coalescing_key) is run
        ):
            del self._runs_by_coalescing_key[run.coalescing_key]


def _deadline_ms(remaining_s: float) -> int:
    margin_s = min(MAX_REPLY_MARGIN_S, REPLY_MARGIN_SHARE * remaining_s)
    return max(1, int((remaining_s - margin_s) * 1000))


def _update_limit(now: float, exchange: Exchange, result: LegResult) -> None:
    limit = exchange.queue.limit
    if result.code in _REFUSED_LOAD_CODES:
        limit.on_shed(now)
    elif result.code in (ResultCode.OK, ResultCode.LEG_TIMEOUT):
        limit.on_latency(now, now - exchange.started_at, exchange.running_at_start)


def _failure(run: Run, code: ResultCode, detail: str, was_run: bool) -> LegResult:
    return LegResult(
        run.leg.leg_id, code, 0, run.leg.shard, (), run.upstream_id, detail, was_run
    )
