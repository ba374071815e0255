"""Fan-out of a search to all shards of a route and merge of the partial results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import Answer, CoverageSummary, LegOutcome
from almondspool.routing.context import (
    ANSWER_MARGIN_S,
    BUDGET_RETRY_S,
    DEFAULT_WAY_S,
    DETACH_S,
)
from almondspool.routing.crashes import fingerprint
from almondspool.routing.legs import FIRST, HEDGE
from almondspool.routing.merge import merge_greatest
from almondspool.routing.outcome import Outcome, failure_answer, refusal_answer
from almondspool.routing.shard_sends import MAX_REJECTIONS, ShardSends
from almondspool.routing.timed_request import TimedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import (
        CallerRequest,
        LegReply,
        LegRequest,
    )
    from almondspool.routing.context import RoutingContext
    from almondspool.routing.legs import OpenLeg
    from almondspool.routing.selection import Choice
    from almondspool.state.routes import Route

# Shards are retried until this multiple of the goal has passed since the arrival: a
# late answer is worth more to a caller than repeating the whole search.
RETRY_GOALS = 2.0
# A searcher without free capacity rejects a leg within one round trip.
REJECTION_WAIT_S = 0.030
_NOT_RUN = (
    ResultCode.NOT_RUN_NO_UPSTREAM,
    ResultCode.NOT_RUN_OVERLOADED,
    ResultCode.DEADLINE_EXPIRED,
)
# Broken legs of one search from which on a crash of an upstream ends the retries of
# the shard concerned.
SUSPICIOUS_BREAKS = 2


class FanOut(TimedRequest):
    """Sends one leg to each shard, hedges stragglers and decides when to answer.

    A search is answered as soon as every shard has replied, and otherwise just before
    its goal if enough shards have. Below the least coverage it waits until that is
    reached, and it fails at once when that has become impossible.
    """

    def __init__(
        self,
        context: RoutingContext,
        route: Route,
        request: CallerRequest,
        leg_request: LegRequest,
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Prepare a search; start() sends its legs.

        Args:
            context: Dependencies shared by all requests.
            route: A route with shards.
            request: The caller's request.
            leg_request: The part of the request that is the same in every leg.
            on_end: Called once with the outcome.
        """
        super().__init__(context, route, request, leg_request, on_end)
        self._shards = [ShardSends(service) for service in route.shards]
        self._unsettled = len(self._shards)
        self._answered = 0
        self._needed = _needed_parts(route, len(self._shards))
        network_delay_s = request.network_delay_s or DEFAULT_WAY_S
        self._goal_at = (
            request.arrived + route.latency_target_s - network_delay_s - ANSWER_MARGIN_S
        )
        self._retry_until = request.arrived + RETRY_GOALS * route.latency_target_s
        self._has_run = False
        self._is_doomed = False
        self._breaks = 0
        self._digest = ""
        # Seconds until enough shards that asked for backoff may be sent to again.
        self._rest_s = 0.0

    def start(self) -> None:
        """Send the first leg of every shard, or refuse the search at once."""
        now = self._context.timers.now()
        if now >= self._ends_at:
            self._finish(ResultCode.DEADLINE_EXPIRED, "deadline_expired")
            return
        for shard in self._shards:
            self._context.budget.record_request(now, shard.service)
        choices = [self._choose(now, shard) for shard in self._shards]
        if not self._is_admitted(choices):
            return
        self._call_later(self._ends_at - now, self._on_deadline)
        if self._goal_at > now:
            self._call_later(self._goal_at - now, self._on_goal)
        self._call_later(
            self._context.latencies.hedge_delay_s(self._route), self._on_hedge
        )
        for shard, choice in zip(self._shards, choices, strict=True):
            if not self._is_finished:
                self._send_to(now, shard, FIRST, choice)

    def _open_legs(self) -> list[OpenLeg]:
        return [leg for shard in self._shards for leg in shard.open]

    def _is_admitted(self, choices: list[Choice]) -> bool:
        """Refuse a search that too few shards can answer in time."""
        turns = [each.queued_turns for each in choices if each.replica is not None]
        if len(turns) < self._needed:
            rests_s = sorted(each.rest_s for each in choices if each.rest_s)
            lacking = self._needed - len(turns)
            if len(rests_s) >= lacking:
                self._rest_s = rests_s[lacking - 1]
            self._finish(ResultCode.NOT_RUN_NO_UPSTREAM, "least_coverage_unreachable")
            return False
        verdict = self._context.admission.judge(self._route, turns, self._needed)
        self._context.note_search_wait(verdict.wait_s)
        if verdict.is_backlogged:
            self._context.log.write(
                "search.queueing",
                request=self._request.request_id,
                wait_ms=verdict.wait_s * 1000.0,
                allowed_ms=verdict.allowed_s * 1000.0,
            )
        if not verdict.is_admitted:
            self._finish(
                ResultCode.NOT_RUN_OVERLOADED,
                f"queue:wait_ms:{verdict.wait_s * 1000.0:.0f}"
                f":allowed_ms:{verdict.allowed_s * 1000.0:.0f}",
            )
        return verdict.is_admitted

    def _choose(self, now: float, shard: ShardSends) -> Choice:
        usable = self._context.registry.usable(shard.service)
        return self._context.selector.choose(
            now, shard.candidates(usable, self._route.attempts), self._legs.median_s
        )

    def _send(self, now: float, shard: ShardSends, reason: str) -> None:
        self._send_to(now, shard, reason, self._choose(now, shard))

    def _send_to(
        self, now: float, shard: ShardSends, reason: str, choice: Choice
    ) -> None:
        """Send a leg of a shard; settle the shard if no replica may be sent to."""
        if choice.replica is None:
            if not shard.open:
                self._settle_missing(shard, shard.failure or choice.reason)
            return
        leg = shard.begin(choice.replica, now, reason, choice.queued_turns)
        self._start_leg(
            leg, choice, shard.service, lambda reply: self._on_reply(shard, leg, reply)
        )

    def _on_reply(self, shard: ShardSends, leg: OpenLeg, reply: LegReply) -> None:
        now = self._context.timers.now()
        shard.end(leg, reply.outcome)
        self._legs.ended(now, leg, reply)
        if not reply.is_success and reply.outcome.may_have_run:
            self._has_run = True
        if self._is_finished or shard.is_settled:
            return
        if reply.is_success:
            self._take_part(now, shard, leg, reply)
        elif reply.outcome is not LegOutcome.CANCELLED:
            self._on_failure(now, shard, leg, reply)

    def _take_part(
        self, now: float, shard: ShardSends, leg: OpenLeg, reply: LegReply
    ) -> None:
        shard.part = reply
        self._legs.used(leg, shard.open)
        self._answered += 1
        if self._is_doomed:
            self._end_unreachable("shard_lost")
            return
        self._settle(shard)
        for other in tuple(shard.open):
            # Awaiting a late reply costs less than opening a new connection.
            other.handle.detach(DETACH_S)
            self._legs.overtaken(now, other)
        if self._unsettled == 0 or self._is_late_but_enough(now):
            self._finish(ResultCode.OK, "whole" if not self._unsettled else "enough")

    def _is_late_but_enough(self, now: float) -> bool:
        return now >= self._goal_at and self._answered >= self._needed

    def _on_failure(
        self, now: float, shard: ShardSends, leg: OpenLeg, reply: LegReply
    ) -> None:
        shard.failure = reply.outcome.value
        if reply.outcome is LegOutcome.NOT_SENT:
            # No upstream received it, so the resend is not charged to the budget.
            if not shard.open:
                self._send(now, shard, "move")
            return
        if reply.outcome is LegOutcome.BROKEN:
            self._breaks += 1
            self._context.crashes.on_broken_connection(
                leg.replica,
                self._fingerprint(),
                lambda crashed: self._after_break(shard, crashed),
            )
            return
        if shard.open:
            return
        pause_s = shard.pause_s()
        if reply.outcome is LegOutcome.NOT_RUN and pause_s:
            self._call_later(pause_s, lambda: self._retry(shard))
        else:
            self._retry(shard)

    def _after_break(self, shard: ShardSends, has_crashed: bool) -> None:
        if self._is_finished or shard.is_settled or shard.open:
            return
        if has_crashed and (
            self._breaks >= SUSPICIOUS_BREAKS
            or self._context.crashes.is_quarantined(self._fingerprint())
        ):
            self._settle_missing(shard, "crashing_request")
            return
        self._retry(shard)

    def _retry(self, shard: ShardSends) -> None:
        if self._is_finished or shard.is_settled or shard.open:
            return
        now = self._context.timers.now()
        usable = self._context.registry.usable(shard.service)
        has_others = bool(shard.candidates(usable, self._route.attempts))
        if self._is_doomed or not has_others or shard.rejections >= MAX_REJECTIONS:
            self._settle_missing(shard, shard.failure)
            return
        choice = self._choose(now, shard)
        if choice.replica is None:
            self._settle_missing(shard, choice.reason)
        elif self._context.budget.try_acquire(now, shard.service):
            self._send_to(now, shard, "retry", choice)
        elif now < self._retry_until:
            self._call_later(BUDGET_RETRY_S, lambda: self._retry(shard))
        else:
            self._settle_missing(shard, "budget_used_up")

    def _on_hedge(self) -> None:
        """Send a second leg for every shard that is late."""
        if self._is_finished or self._is_doomed:
            return
        now = self._context.timers.now()
        is_refused = False
        for shard in self._shards:
            if shard.is_settled or not shard.open or self._is_crash_suspected():
                continue
            for leg in shard.open:
                self._legs.overtaken(now, leg)
            usable = self._context.registry.usable(shard.service)
            if not shard.candidates(usable, self._route.attempts):
                continue
            choice = self._choose(now, shard)
            if choice.replica is None:
                continue
            if not self._context.admission.has_room(self._route, choice.queued_turns):
                # The hedge would queue for as long, and delay the legs behind it.
                continue
            if self._context.budget.try_acquire(now, shard.service):
                self._send_to(now, shard, HEDGE, choice)
            else:
                is_refused = True
        if is_refused and now < self._goal_at:
            self._call_later(BUDGET_RETRY_S, self._on_hedge)
        elif self._route.attempts > 2:
            delay_s = self._context.latencies.hedge_delay_s(self._route)
            self._call_later(delay_s, self._on_hedge)

    def _is_crash_suspected(self) -> bool:
        return self._breaks > 0 and self._context.crashes.is_suspect(
            self._fingerprint()
        )

    def _on_goal(self) -> None:
        if not self._is_finished and self._answered >= self._needed:
            self._finish(ResultCode.PARTIAL, "goal")

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        if self._answered >= self._needed:
            self._finish(ResultCode.PARTIAL, "deadline")
        else:
            self._finish(ResultCode.LEG_TIMEOUT, "deadline")

    def _settle(self, shard: ShardSends) -> None:
        shard.is_settled = True
        self._unsettled -= 1

    def _settle_missing(self, shard: ShardSends, reason: str) -> None:
        shard.failure = reason
        self._settle(shard)
        if self._is_finished:
            return
        if self._answered + self._unsettled < self._needed:
            self._end_unreachable(f"shard_lost:{reason}")
        elif self._unsettled == 0 or self._is_late_but_enough(
            self._context.timers.now()
        ):
            self._finish(ResultCode.PARTIAL, "all_settled")

    def _end_unreachable(self, reason: str) -> None:
        """Fail a search whose least coverage can no longer be reached."""
        if self._has_run or self._answered:
            self._finish(ResultCode.FAILED, reason)
        elif not self._open_legs():
            self._finish(ResultCode.NOT_RUN_NO_UPSTREAM, reason)
        elif not self._is_doomed:
            # Rejections of the open legs arrive within milliseconds. If all of them
            # are rejected, nothing has run and the caller can be told when to retry.
            self._is_doomed = True
            self._call_later(
                REJECTION_WAIT_S, lambda: self._finish(ResultCode.FAILED, reason)
            )

    def _finish(self, code: ResultCode, reason: str) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        now = self._context.timers.now()
        for leg in self._open_legs():
            self._legs.overtaken(now, leg)
            leg.handle.detach(DETACH_S)
        parts = [shard.part for shard in self._shards if shard.part is not None]
        missing = len(self._shards) - len(parts)
        if code is ResultCode.OK and missing:
            code = ResultCode.PARTIAL
        self._close(
            Outcome(
                self._answer(code, parts, missing),
                code,
                reason,
                len(parts),
                len(self._shards),
                self._legs.extra,
                self._missing_reasons(),
            )
        )

    def _answer(self, code: ResultCode, parts: list[LegReply], missing: int) -> Answer:
        codec = self._context.codec
        if code in (ResultCode.OK, ResultCode.PARTIAL):
            note = CoverageSummary(tuple(part.signature for part in parts), missing)
            body = merge_greatest((part.body for part in parts), self._route.top_k)
            return Answer(200, codec.coverage_headers(note), body)
        if code in _NOT_RUN:
            return refusal_answer(codec, self._rest_s or self._context.retry_after_s())
        return failure_answer(code)

    def _missing_reasons(self) -> str:
        return ",".join(
            f"{shard.service}:{shard.failure or 'waiting'}"
            for shard in self._shards
            if shard.part is None
        )

    def _fingerprint(self) -> str:
        if not self._digest:
            self._digest = fingerprint(self._request)
        return self._digest


def _needed_parts(route: Route, shards: int) -> int:
    """Return the least number of partial results that reaches the least coverage."""
    needed = max(1, int(route.min_coverage * shards))
    while needed < shards and needed / shards < route.min_coverage:
        needed += 1
    return needed
