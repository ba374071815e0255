"""Decides which legs go to which upstream, when and together."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.lane import Exchange, Lane, Run, Sharer
from almondspool.coordination.upstreams.leg_dispatcher_actions import (
    Action,
    CancelRunning,
    LaneRow,
    LegDispatcherCounts,
    SendResult,
    StartExchange,
)
from almondspool.protocol.upstream import LegResult

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from almondspool.protocol.peer import LegAssignment, LegBatch

MAX_LEGS_PER_EXCHANGE = 16
MAX_WAITING_PER_UPSTREAM = 2048
# A leg joins a run in flight that has at least this share of its own time left.
JOIN_TIME_SHARE = 0.5
# The upstream is told a shorter deadline, so that its own report of a missed one
# arrives in time and the connection stays usable.
REPLY_MARGIN_SHARE = 0.1
MAX_REPLY_MARGIN_S = 0.01
# A running leg is answered this long after its deadline, if its exchange goes on for
# legs with later ones.
RUNNING_GRACE_S = 0.02

_BUSY_CODES = (ResultCode.LEG_SHED, ResultCode.LEG_DRAINING)


class LegDispatcher:
    """Queues, coalesces and shares legs; each leg gets exactly one SendResult."""

    def __init__(self) -> None:
        """Start without grants: every leg is answered LEG_NO_HOLDER."""
        self._lanes_by_id: dict[str, Lane] = {}
        self._slots_by_id: dict[str, int] = {}
        self._runs_by_key: dict[tuple, Run] = {}
        self._runs_by_leg_id: dict[str, Run] = {}
        self._exchanges_by_id: dict[int, Exchange] = {}
        self._exchange_ids = itertools.count(1)
        self._totals = dict.fromkeys(LegDispatcherCounts._fields, 0)

    def set_slots(self, slots_by_upstream_id: Mapping[str, int]) -> None:
        """Take the slots of the upstreams in the document, for new limits."""
        self._slots_by_id = dict(slots_by_upstream_id)

    def set_grants(
        self, now: float, connections_by_upstream_id: Mapping[str, int]
    ) -> list[Action]:
        """Take the granted connections of each upstream; others have none.

        Legs that wait for an upstream whose grant ended are answered LEG_NO_HOLDER;
        those in flight finish.
        """
        actions: list[Action] = []
        for upstream_id in connections_by_upstream_id.keys() | self._lanes_by_id.keys():
            granted = connections_by_upstream_id.get(upstream_id, 0)
            self._set_grant(now, upstream_id, granted, actions)
        return actions

    def submit(self, now: float, batch: LegBatch, sender: object) -> list[Action]:
        """Take legs from a sender; a leg id that is known already is ignored."""
        actions: list[Action] = []
        touched: dict[str, Lane] = {}
        for assignment in batch.assignments:
            lane = self._accept(now, assignment, batch.priority, sender, actions)
            if lane is not None:
                touched[lane.upstream_id] = lane
        for lane in touched.values():
            self._dispatch(now, lane, actions)
        return actions

    def cancel(self, now: float, leg_ids: Iterable[str]) -> list[Action]:
        """Withdraw legs; a run stops once no leg shares it."""
        actions: list[Action] = []
        stopped_by_upstream: dict[str, list[str]] = {}
        for leg_id in leg_ids:
            run = self._runs_by_leg_id.pop(leg_id, None)
            if run is not None:
                self._withdraw(run, leg_id, stopped_by_upstream, actions)
        for upstream_id, wire_ids in stopped_by_upstream.items():
            actions.append(CancelRunning(upstream_id, tuple(wire_ids)))
        return actions

    def on_result(
        self, now: float, exchange_id: int, result: LegResult
    ) -> list[Action]:
        """Take one result of an exchange."""
        exchange = self._exchanges_by_id[exchange_id]
        run = exchange.take(result.leg_id)
        if run is None:
            return []
        _learn(now, exchange, result)
        actions: list[Action] = []
        self._answer(run, result, actions)
        self._dispatch(now, exchange.lane, actions)
        return actions

    def on_end(self, now: float, exchange_id: int) -> list[Action]:
        """Take the end of an exchange, whose connection is free again."""
        exchange = self._exchanges_by_id.pop(exchange_id)
        actions: list[Action] = []
        for run in exchange.close():
            detail = "the exchange ended without a result"
            self._fail(run, ResultCode.LEG_FAILED, detail, True, actions)
        self._dispatch(now, exchange.lane, actions)
        return actions

    def on_timer(self, now: float) -> list[Action]:
        """Answer legs whose deadline passed."""
        actions: list[Action] = []
        for exchange in self._exchanges_by_id.values():
            self._expire_running(now, exchange, actions)
        for lane in self._lanes_by_id.values():
            if len(lane):
                self._expire(now, lane, actions)
        return actions

    def has_open_legs(self) -> bool:
        """Return whether any leg has no result yet."""
        return bool(self._runs_by_leg_id)

    def in_flight(self) -> int:
        """Return how many exchanges run."""
        return len(self._exchanges_by_id)

    def rows(self, now: float) -> tuple[LaneRow, ...]:
        """Return the state of each upstream, ordered by id."""
        return tuple(lane.row(now) for _, lane in sorted(self._lanes_by_id.items()))

    def counts(self) -> LegDispatcherCounts:
        """Return the totals since the start."""
        return LegDispatcherCounts(**self._totals)

    def _set_grant(
        self, now: float, upstream_id: str, granted: int, actions: list[Action]
    ) -> None:
        lane = self._lanes_by_id.get(upstream_id)
        if lane is None:
            slots = self._slots_by_id.get(upstream_id, 1)
            lane = self._lanes_by_id[upstream_id] = Lane(upstream_id, slots, granted)
        lane.set_granted(granted)
        if granted:
            self._dispatch(now, lane, actions)
            return
        for run in tuple(lane.waiting()):
            lane.remove(run)
            detail = f"the grant of connections to {upstream_id} ended"
            self._fail(run, ResultCode.LEG_NO_HOLDER, detail, False, actions)
        if not lane.in_flight:
            del self._lanes_by_id[upstream_id]

    def _accept(
        self,
        now: float,
        assignment: LegAssignment,
        priority: int,
        sender: object,
        actions: list[Action],
    ) -> Lane | None:
        upstream_id, leg, _ = assignment
        if leg.leg_id in self._runs_by_leg_id:
            return None
        self._totals["legs"] += 1
        run = self._new_run(now, assignment, priority)
        run.sharers.append(Sharer(leg.leg_id, sender))
        lane = self._lanes_by_id.get(upstream_id)
        if lane is None or not lane.granted:
            detail = f"no connection to {upstream_id} is granted"
            self._fail(run, ResultCode.LEG_NO_HOLDER, detail, False, actions)
            return None
        if self._join(now, lane, run):
            return None
        if len(lane) >= MAX_WAITING_PER_UPSTREAM:
            self._make_room(lane, run, actions)
        if len(lane) >= MAX_WAITING_PER_UPSTREAM:
            return None
        self._runs_by_leg_id[leg.leg_id] = run
        if run.key is not None:
            self._runs_by_key[run.key] = run
        lane.push(now, run)
        return lane

    def _new_run(self, now: float, assignment: LegAssignment, priority: int) -> Run:
        upstream_id, leg, is_alone = assignment
        key = None
        if leg.idempotent:
            terms = tuple(sorted(leg.query.items()))
            key = (upstream_id, leg.snapshot, leg.shard, leg.team, terms)
        # What runs at most once must not share the fate of other legs' replies.
        is_alone = is_alone or not leg.idempotent
        expires_at = now + leg.deadline_ms / 1000
        return Run(leg, upstream_id, priority, expires_at, key, is_alone)

    def _join(self, now: float, lane: Lane, run: Run) -> bool:
        equal = self._runs_by_key.get(run.key) if run.key is not None else None
        if equal is None:
            return False
        wanted_s = run.expires_at - now
        if equal.exchange_id and equal.expires_at - now < JOIN_TIME_SHARE * wanted_s:
            return False
        if not equal.exchange_id:
            equal.expires_at = max(equal.expires_at, run.expires_at)
            equal.is_alone = equal.is_alone or run.is_alone
            lane.raise_priority(now, equal, run.priority)
        equal.sharers.extend(run.sharers)
        self._runs_by_leg_id[run.leg.leg_id] = equal
        self._totals["shared"] += 1
        return True

    def _make_room(self, lane: Lane, run: Run, actions: list[Action]) -> None:
        displaced = lane.displace(run.priority) or run
        self._totals["shed"] += len(displaced.sharers)
        detail = f"{len(lane)} legs wait for {lane.upstream_id}"
        self._fail(displaced, ResultCode.LEG_SHED, detail, False, actions)

    def _dispatch(self, now: float, lane: Lane, actions: list[Action]) -> None:
        while lane.room:
            runs = self._take_runs(now, lane, actions)
            if not runs:
                return
            actions.append(self._start(now, lane, runs))

    def _take_runs(self, now: float, lane: Lane, actions: list[Action]) -> list[Run]:
        runs: list[Run] = []
        shortest_s = lane.limit.shortest_s(now)
        most = min(MAX_LEGS_PER_EXCHANGE, lane.room)
        while len(runs) < most:
            run = lane.pop(now)
            if run is None:
                break
            if run.expires_at - now <= shortest_s:
                self._fail_expired(run, actions)
                continue
            if run.is_alone and runs:
                lane.hold(run)
                break
            runs.append(run)
            if run.is_alone:
                break
        return runs

    def _start(self, now: float, lane: Lane, runs: list[Run]) -> StartExchange:
        exchange_id = next(self._exchange_ids)
        self._exchanges_by_id[exchange_id] = Exchange(lane, runs, now)
        self._totals["exchanges"] += 1
        self._totals["runs_sent"] += len(runs)
        for run in runs:
            run.exchange_id = exchange_id
        legs = tuple(
            run.leg._replace(deadline_ms=_deadline_ms(run.expires_at - now))
            for run in runs
        )
        timeout_s = max(run.expires_at for run in runs) - now
        return StartExchange(exchange_id, lane.upstream_id, legs, timeout_s)

    def _withdraw(
        self,
        run: Run,
        leg_id: str,
        stopped_by_upstream: dict[str, list[str]],
        actions: list[Action],
    ) -> None:
        self._totals["cancelled"] += 1
        sharer = next(item for item in run.sharers if item.leg_id == leg_id)
        run.sharers.remove(sharer)
        was_run = run.exchange_id != 0
        result = _failure(run, ResultCode.LEG_CANCELLED, "", was_run)
        actions.append(SendResult(sharer.sender, result._replace(leg_id=leg_id)))
        if run.sharers:
            return
        self._forget(run)
        if not run.exchange_id:
            self._lanes_by_id[run.upstream_id].remove(run)
            return
        exchange = self._exchanges_by_id[run.exchange_id]
        exchange.take(run.leg.leg_id)
        stopped_by_upstream.setdefault(run.upstream_id, []).append(run.leg.leg_id)

    def _expire(self, now: float, lane: Lane, actions: list[Action]) -> None:
        due = now + lane.limit.shortest_s(now)
        for run in [item for item in lane.waiting() if item.expires_at <= due]:
            lane.remove(run)
            self._fail_expired(run, actions)

    def _expire_running(
        self, now: float, exchange: Exchange, actions: list[Action]
    ) -> None:
        due = now - RUNNING_GRACE_S
        expired = [
            run for run in exchange.runs_by_leg_id.values() if run.expires_at <= due
        ]
        for run in expired:
            exchange.take(run.leg.leg_id)
            detail = "the deadline passed while the leg ran"
            self._fail(run, ResultCode.LEG_TIMEOUT, detail, True, actions)

    def _fail_expired(self, run: Run, actions: list[Action]) -> None:
        self._totals["expired"] += len(run.sharers)
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
        for leg_id, sender in run.sharers:
            self._runs_by_leg_id.pop(leg_id, None)
            if leg_id != result.leg_id:
                result = result._replace(leg_id=leg_id)
            actions.append(SendResult(sender, result))

    def _forget(self, run: Run) -> None:
        if run.key is not None and self._runs_by_key.get(run.key) is run:
            del self._runs_by_key[run.key]


def _deadline_ms(remaining_s: float) -> int:
    margin_s = min(MAX_REPLY_MARGIN_S, REPLY_MARGIN_SHARE * remaining_s)
    return max(1, int((remaining_s - margin_s) * 1000))


def _learn(now: float, exchange: Exchange, result: LegResult) -> None:
    limit = exchange.lane.limit
    if result.code in _BUSY_CODES:
        limit.on_shed(now)
    elif result.code in (ResultCode.OK, ResultCode.LEG_TIMEOUT):
        limit.on_latency(now, now - exchange.started_at, exchange.running)


def _failure(run: Run, code: ResultCode, detail: str, was_run: bool) -> LegResult:
    return LegResult(
        run.leg.leg_id, code, 0, run.leg.shard, (), run.upstream_id, detail, was_run
    )
