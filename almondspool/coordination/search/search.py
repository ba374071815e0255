"""State machine of one request at the instance that coordinates it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.coordination.search.answers import AnswerBuilder
from almondspool.coordination.search.crash_tracker import CrashTracker
from almondspool.coordination.search.leg_permits import (
    acquire_permit,
    has_attempts_left,
)
from almondspool.coordination.search.quarantine import (
    QuarantineState,
    compute_fingerprint,
)
from almondspool.coordination.search.request_deadline import make_deadline
from almondspool.coordination.search.search_actions import (
    BroadcastSuspicion,
    CancelLeg,
    Finish,
    SendLeg,
)
from almondspool.coordination.search.shard_run import (
    OpenLeg,
    ShardRun,
    check_result,
    has_newer_snapshot,
    select_shards,
)
from almondspool.coordination.search.timer_queue import TimerQueue
from almondspool.errors import RequestError
from almondspool.protocol.upstream import Leg

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.search.request_deadline import RequestDeadline
    from almondspool.coordination.search.search_actions import Action
    from almondspool.coordination.search.search_context import SearchContext
    from almondspool.coordination.upstreams.replicas import Choice
    from almondspool.protocol.caller import SearchRequest
    from almondspool.protocol.upstream import LegResult
    from almondspool.state.document import Section


class SearchSession:
    """Decides on the legs of one request from its start to its answer.

    The driver carries out the returned actions in order, passes every LegResult to
    ``on_result``, and calls ``on_timer`` at ``next_timer_at``. Times are monotonic
    seconds. ``Finish`` is returned exactly once.

    Attributes:
        next_timer_at: When to call ``on_timer``; None once finished.
        discarded_by_reason: Counts of results that were not used.
    """

    def __init__(
        self,
        context: SearchContext,
        request: SearchRequest,
        current_section: Callable[[], Section | None],
        generation: int,
        arrived_at: float,
        epoch_offset_s: float,
        send_before: float,
    ) -> None:
        """Initialize; use make_session, which documents the arguments."""
        self._context = context
        self._request = request
        self._current_section = current_section
        self._section = current_section()
        self._answer_builder = AnswerBuilder(
            request, context.instance, generation, arrived_at, context.rng
        )
        self._arrived_at = arrived_at
        self._epoch_offset_s = epoch_offset_s
        self._deadline = self._make_deadline(send_before)
        self._crash_tracker = CrashTracker(
            context.quarantine, compute_fingerprint(request)
        )
        self._actions: list[Action] = []
        self._pending_runs: collections.deque[tuple[ShardRun, str]] = (
            collections.deque()
        )
        self._run_by_leg: dict[str, ShardRun] = {}
        self._closed_reason_by_leg: dict[str, str] = {}
        self._runs_by_shard: dict[str, ShardRun] = {}
        self._unsettled_shards = 0
        self._timers = TimerQueue()
        self._snapshot = 0
        self._has_restarted = False
        self._may_have_run_before = False
        self._is_finished = False
        self.next_timer_at: float | None = None
        self.discarded_by_reason: collections.Counter[str] = collections.Counter()

    def start(self, now: float) -> tuple[Action, ...]:
        """Send the first legs, or refuse the request."""
        section = self._section
        state = self._crash_tracker.begin(self._epoch_ms(now))
        if state == QuarantineState.QUARANTINED:
            self._refuse(now, ResultCode.NOT_RUN_QUARANTINED)
        elif section is None or not section.snapshots_by_id:
            self._refuse(now, ResultCode.NOT_RUN_NO_CONFIGURATION)
        else:
            self._begin(now, section)
        return self._advance(now)

    def on_result(self, now: float, result: LegResult) -> tuple[Action, ...]:
        """Handle the result of a leg; a result of any other leg is discarded."""
        run = self._run_by_leg.pop(result.leg_id, None)
        if run is None:
            reason = self._closed_reason_by_leg.get(result.leg_id, "unknown_leg")
            self.discarded_by_reason[reason] += 1
            return ()
        leg = run.open_by_leg.pop(result.leg_id)
        self._closed_reason_by_leg[leg.leg_id] = "duplicate"
        checked = check_result(run, leg, self._snapshot, result)
        if checked.discard_reason:
            self.discarded_by_reason[checked.discard_reason] += 1
        latency_s = now - leg.sent_at
        self._context.chooser.observe(now, leg.upstream_id, latency_s, checked.code)
        if checked.code == ResultCode.OK:
            self._on_answer(now, run, result)
        else:
            self._on_failure(now, run, leg, checked.code, checked.was_run)
        return self._advance(now)

    def on_timer(self, now: float) -> tuple[Action, ...]:
        """Send the hedges and retries that are due, and finish at the deadline."""
        while not self._is_finished and (run := self._timers.pop_due(now)):
            self._on_run_timer(now, run)
        return self._advance(now)

    def _make_deadline(self, send_before: float) -> RequestDeadline:
        deadline_ms = self._request.deadline_ms
        if not deadline_ms and self._section is not None:
            deadline_ms = self._section.deadline_ms
        return make_deadline(self._arrived_at, deadline_ms, send_before)

    def _begin(self, now: float, section: Section) -> None:
        if now >= self._deadline.finish_at:
            has_waited = self._deadline.finish_at > self._arrived_at
            code = (
                ResultCode.NOT_RUN_OVERLOADED
                if has_waited
                else ResultCode.DEADLINE_EXPIRED
            )
            self._refuse(now, code, "the deadline passed before the first leg")
            return
        snapshot = section.newest_snapshot()
        try:
            shards = select_shards(self._request, section, snapshot)
        except RequestError as error:
            self._refuse(now, error.code, str(error))
            return
        self._snapshot = snapshot.snapshot_id
        self._runs_by_shard = {shard.shard_id: ShardRun(shard) for shard in shards}
        self._unsettled_shards = len(shards)
        self._pending_runs.extend(
            (run, "first") for run in self._runs_by_shard.values()
        )

    def _advance(self, now: float) -> tuple[Action, ...]:
        if not self._is_finished:
            self._send_pending(now)
            if self._unsettled_shards == 0:
                self._finish(now, "all_shards_settled")
            elif now >= self._deadline.finish_at:
                self._finish(now, "deadline")
        self.next_timer_at = None
        if not self._is_finished:
            self.next_timer_at = min(self._timers.next_due(), self._deadline.finish_at)
        actions, self._actions = tuple(self._actions), []
        return actions

    def _send_pending(self, now: float) -> None:
        while self._crash_tracker.may_send(len(self._run_by_leg)):
            if self._pending_runs:
                run, reason = self._pending_runs.popleft()
            else:
                run, reason = self._crash_tracker.next_probe(), "probe_after_cut_off"
            if run is None:
                return
            if run.outcome is None:
                self._send_next(now, run, reason)

    def _send_next(self, now: float, run: ShardRun, reason: str) -> None:
        """Send a shard's next leg, wait for the budget, or settle it as missing."""
        choice = self._choose_replica(now, run)
        if not choice.upstream_id or not self._deadline.may_send(now):
            self._settle_missing(run)
            return
        wait_s = acquire_permit(now, self._context.budget, run)
        if wait_s == 0.0:
            self._send(now, run, choice, reason)
        elif wait_s < math.inf:
            self._set_timer(now + wait_s, run)
        else:
            self._settle_missing(run)

    def _choose_replica(self, now: float, run: ShardRun) -> Choice:
        # Removing the team from the document does not stop its running requests.
        self._section = self._current_section() or self._section
        return self._context.chooser.choose(
            now, self._section, run.shard.replicas, run.tried_upstream_ids
        )

    def _send(self, now: float, run: ShardRun, choice: Choice, reason: str) -> None:
        request = self._request
        leg = Leg(
            leg_id=next(self._context.leg_ids),
            request_id=request.request_id,
            team=request.team,
            snapshot=self._snapshot,
            shard=run.shard.shard_id,
            query=request.query,
            deadline_ms=self._deadline.leg_ms(now),
            idempotent=request.idempotent,
        )
        run.record_sent(
            OpenLeg(
                leg.leg_id, choice.upstream_id, now, self._crash_tracker.has_cut_off
            )
        )
        self._run_by_leg[leg.leg_id] = run
        self._context.chooser.begin(now, choice.upstream_id)
        reason = f"{reason}:{choice.reason}"
        is_exclusive = self._crash_tracker.needs_exclusive_exchange(run)
        action = SendLeg(
            choice.upstream_id, leg, reason, choice.candidates, is_exclusive
        )
        self._actions.append(action)
        if self._allows_hedging(run):
            run.hedge_delay_s = self._context.chooser.hedge_delay_s(
                choice.upstream_id, run.shard.replicas
            )
            run.hedge_at = now + run.hedge_delay_s
            self._set_timer(run.hedge_at, run)

    def _allows_hedging(self, run: ShardRun) -> bool:
        may_crash = self._crash_tracker.may_crash_upstreams
        return self._request.idempotent and not may_crash and not run.is_hedged

    def _set_timer(self, due: float, run: ShardRun) -> None:
        if due < self._deadline.finish_at:
            self._timers.add(due, run)

    def _on_run_timer(self, now: float, run: ShardRun) -> None:
        # A timer also fires if it was set to hedge a leg that has ended since.
        if not run.open_by_leg and not self._crash_tracker.is_held(run):
            self._pending_runs.append((run, "retry_after_budget_wait"))
        elif run.open_by_leg and self._allows_hedging(run) and now >= run.hedge_at:
            self._hedge(now, run)

    def _hedge(self, now: float, run: ShardRun) -> None:
        if not self._deadline.may_send(now):
            return
        # Checking the budget costs less than choosing a replica, so it comes first.
        if not self._context.budget.allows_hedge(now, run.was_hedge_denied):
            run.was_hedge_denied = True
            self._set_timer(now + run.hedge_delay_s, run)
        elif (choice := self._choose_replica(now, run)).upstream_id:
            self._context.budget.try_hedge(now, run.was_hedge_denied)
            run.permits += 1
            run.is_hedged = True
            self._send(now, run, choice, "hedge")

    def _on_answer(self, now: float, run: ShardRun, result: LegResult) -> None:
        run.settle_answered(tuple(result.records))
        self._unsettled_shards -= 1
        self._cancel_open_legs(now, run, "other_replica_answered")
        released = self._crash_tracker.on_answer(run)
        self._pending_runs.extend((held, "retry_after_probe") for held in released)

    def _on_failure(
        self, now: float, run: ShardRun, leg: OpenLeg, code: ResultCode, was_run: bool
    ) -> None:
        run.record_failure(code, was_run)
        if code == ResultCode.LEG_CUT_OFF and was_run:
            self._on_cut_off(now, run, leg)
        if code == ResultCode.LEG_SNAPSHOT_GONE and self._restart(now, run):
            return
        if run.open_by_leg or run.outcome is not None:
            return
        if not self._may_retry(now, run, code):
            self._settle_missing(run)
        elif self._crash_tracker.needs_probe(run):
            self._crash_tracker.hold(run)
        else:
            kind = "move" if run.has_unused_permit else "retry"
            self._pending_runs.append((run, f"{kind}_after_{code.name.lower()}"))

    def _may_retry(self, now: float, run: ShardRun, code: ResultCode) -> bool:
        if code == ResultCode.LEG_SUSPECT or not has_attempts_left(run):
            return False
        if self._crash_tracker.is_quarantined:
            return False
        may_run_twice = self._request.idempotent and not self._crash_tracker.is_suspect
        return self._deadline.may_send(now) and (may_run_twice or not run.may_have_run)

    def _on_cut_off(self, now: float, run: ShardRun, leg: OpenLeg) -> None:
        now_ms = self._epoch_ms(now)
        if not self._crash_tracker.record_cut_off(now_ms, run, leg):
            return
        if not self._crash_tracker.is_quarantined:
            return
        # After the second crash, shards without a leg in flight get no further leg.
        for other in self._runs_by_shard.values():
            if not other.open_by_leg:
                code = other.code if other.attempts else ResultCode.LEG_SUSPECT
                self._settle_missing(other, code)
        self._crash_tracker.drop_held()
        self._pending_runs.clear()

    def _restart(self, now: float, run: ShardRun) -> bool:
        """Restart on a newer snapshot; return whether that was possible."""
        section = self._current_section()
        if self._has_restarted or not self._deadline.may_restart(now):
            return False
        if not has_newer_snapshot(section, self._snapshot):
            return False
        if run.may_have_run and not self._request.idempotent:
            return False
        self._has_restarted = True
        self._may_have_run_before = any(
            other.may_have_run or other.open_by_leg
            for other in self._runs_by_shard.values()
        )
        self._close_open_legs(now, "snapshot_gone")
        self._pending_runs.clear()
        self._crash_tracker.restart()
        self._timers.clear()
        self._begin(now, section)
        return True

    def _close_open_legs(self, now: float, reason: str) -> None:
        for run in self._runs_by_shard.values():
            self._cancel_open_legs(now, run, reason)

    def _cancel_open_legs(self, now: float, run: ShardRun, reason: str) -> None:
        for leg in run.open_by_leg.values():
            self._context.chooser.observe(
                now, leg.upstream_id, now - leg.sent_at, ResultCode.LEG_CANCELLED
            )
            del self._run_by_leg[leg.leg_id]
            self._closed_reason_by_leg[leg.leg_id] = reason
            # A non-idempotent leg is not cancelled, so that its outcome becomes known.
            if self._request.idempotent:
                self._actions.append(CancelLeg(leg.upstream_id, leg.leg_id, reason))
        run.open_by_leg.clear()

    def _settle_missing(self, run: ShardRun, code: ResultCode | None = None) -> None:
        """Settle a shard as missing, with a given code or its last failure's."""
        if run.outcome is not None:
            return
        run.code = code or run.code
        run.settle_missing()
        self._unsettled_shards -= 1
        self._crash_tracker.end_probe(run)

    def _finish(self, now: float, reason: str) -> None:
        for run in self._runs_by_shard.values():
            if run.outcome is None:
                run.settle_late()
        self._close_open_legs(now, reason)
        answer = self._answer_builder.build(
            now, self._snapshot, self._runs_by_shard, self._may_have_run_before
        )
        is_complete = answer.code == ResultCode.OK
        suspicion = self._crash_tracker.close(self._epoch_ms(now), is_complete)
        if suspicion is not None:
            self._actions.append(BroadcastSuspicion(suspicion, "cut_off_upstream"))
        self._actions.append(Finish(answer, reason))
        self._is_finished = True

    def _refuse(self, now: float, code: ResultCode, detail: str = "") -> None:
        answer = self._answer_builder.build_without_coverage(now, code, detail)
        if code == ResultCode.NOT_RUN_QUARANTINED:
            remaining_ms = self._crash_tracker.suspicion_remaining_ms(
                self._epoch_ms(now)
            )
            answer = answer._replace(retry_after_ms=remaining_ms)
        self._actions.append(Finish(answer, code.name.lower()))
        self._is_finished = True

    def _epoch_ms(self, now: float) -> int:
        return int((now + self._epoch_offset_s) * 1000)


def make_session(
    context: SearchContext,
    request: SearchRequest,
    current_section: Callable[[], Section | None],
    generation: int,
    arrived_at: float,
    wall_time: float,
    send_before: float = math.inf,
) -> SearchSession:
    """Return a session for one request.

    Args:
        context: State shared by all requests of the instance.
        request: The decoded request.
        current_section: Returns the section now in force, or None.
        generation: The document generation in force at arrival.
        arrived_at: When the request arrived, in monotonic seconds.
        wall_time: The time of arrival in seconds since the epoch.
        send_before: Monotonic second after which no leg may be sent: the end of the
            lease on a claim.
    """
    return SearchSession(
        context,
        request,
        current_section,
        generation,
        arrived_at,
        wall_time - arrived_at,
        send_before,
    )
