"""Fan-out of a search to all shards of a route and merge of the partial results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import Answer, CoverageSummary, LegOutcome
from almondspool.routing.context import (
    ANSWER_MARGIN_S,
    BUDGET_RETRY_DELAY_S,
    DEFAULT_NETWORK_DELAY_S,
)
from almondspool.routing.crashes import request_fingerprint
from almondspool.routing.legs import FIRST, HEDGE, RETRY
from almondspool.routing.merge import merge_top_k
from almondspool.routing.outcome import Outcome, failure_answer, refusal_answer
from almondspool.routing.shard_legs import MAX_SHARD_REJECTIONS, ShardLegs
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
    from almondspool.routing.selection import ReplicaChoice
    from almondspool.state.routes import Route

# A retry that the budget refuses is tried again until this multiple of the latency
# target after the arrival of the search: a late answer is worth more to a caller than
# repeating the whole search.
MAX_BUDGET_WAIT_LATENCY_TARGETS = 2.0
# How long a search that can no longer reach its minimum coverage waits for rejections
# of its open legs: a searcher without free capacity rejects a leg within one round
# trip.
PENDING_REJECTIONS_TIMEOUT_S = 0.030
_NOT_RUN_CODES = (
    ResultCode.NOT_RUN_NO_UPSTREAM,
    ResultCode.NOT_RUN_OVERLOADED,
    ResultCode.DEADLINE_EXPIRED,
)
# Once the connections of this many legs of a search have broken, a shard whose upstream
# has crashed is not retried, as the search itself may be what crashes the upstreams. A
# search that some upstream has answered is not what crashes the others.
MIN_BROKEN_LEGS_OF_CRASHING_SEARCH = 2


class SearchFanOut(TimedRequest):
    """Sends one leg to each shard, hedges slow legs and decides when to answer.

    A search is answered as soon as every shard has replied. Otherwise it is answered
    just before its latency target if the partial results reach the minimum coverage. If
    they do not, it waits until they do, and fails as soon as they no longer can.
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
        self._is_urgent = context.admission.is_most_urgent(route)
        self._shards = [ShardLegs(service) for service in route.shards]
        # Shards that have neither a partial result nor count as missing.
        self._unsettled_count = len(self._shards)
        # Shards with a partial result, and how many of them an answer needs.
        self._answered_count = 0
        self._required_count = required_shard_count(route, len(self._shards))
        network_delay_s = request.network_delay_s or DEFAULT_NETWORK_DELAY_S
        # When a partial answer must be sent to arrive within the latency target.
        self._latency_target_at = (
            request.arrived_at
            + route.latency_target_s
            - network_delay_s
            - ANSWER_MARGIN_S
        )
        self._budget_wait_until = (
            request.arrived_at
            + MAX_BUDGET_WAIT_LATENCY_TARGETS * route.latency_target_s
        )
        # Whether an upstream may have run a leg that failed.
        self._may_have_run = False
        self._is_coverage_unreachable = False
        self._broken_leg_count = 0
        self._cached_fingerprint = ""
        # Of a search that is refused because of backoff: seconds until the backoff has
        # ended for enough shards to reach the minimum coverage; otherwise 0.0.
        self._backoff_s = 0.0

    def start(self) -> None:
        """Send the first leg of every shard, or refuse the search at once."""
        now = self._context.timers.now()
        if now >= self._deadline_at:
            self._finish(ResultCode.DEADLINE_EXPIRED, "deadline_expired")
            return
        for shard in self._shards:
            self._context.budget.record_request(now, shard.service)
        choices = [self._choose(now, shard, FIRST) for shard in self._shards]
        if not self._admit(choices):
            return
        self._call_later(self._deadline_at - now, self._on_deadline)
        if self._latency_target_at > now:
            self._call_later(self._latency_target_at - now, self._on_latency_target)
        self._call_later(
            self._context.latencies.hedge_delay_s(self._route), self._on_hedge
        )
        for shard, choice in zip(self._shards, choices, strict=True):
            if not self._is_finished:
                self._send_to(now, shard, FIRST, choice)

    def _list_open_legs(self) -> list[OpenLeg]:
        return [leg for shard in self._shards for leg in shard.open_legs]

    def _admit(self, choices: list[ReplicaChoice]) -> bool:
        """Refuse the search if too few shards can answer it in time.

        Returns:
            Whether the search was admitted.
        """
        usable_count = sum(choice.replica is not None for choice in choices)
        if usable_count < self._required_count:
            backoffs_s = sorted(
                choice.backoff_s for choice in choices if choice.backoff_s
            )
            shortfall = self._required_count - usable_count
            if len(backoffs_s) >= shortfall:
                self._backoff_s = backoffs_s[shortfall - 1]
            self._finish(ResultCode.NOT_RUN_NO_UPSTREAM, "least_coverage_unreachable")
            return False
        decision = self._context.admission.decide(
            self._route, _reachable_rounds(choices), self._required_count
        )
        self._context.record_search_wait(decision.wait_s)
        if decision.is_backlogged:
            self._context.log.write(
                "search.queueing",
                request=self._request.request_id,
                wait_ms=decision.wait_s * 1000.0,
                allowed_ms=decision.allowed_s * 1000.0,
            )
        if not decision.is_admitted:
            self._finish(
                ResultCode.NOT_RUN_OVERLOADED,
                f"queue:wait_ms:{decision.wait_s * 1000.0:.0f}"
                f":allowed_ms:{decision.allowed_s * 1000.0:.0f}",
            )
        return decision.is_admitted

    def _choose(self, now: float, shard: ShardLegs, reason: str) -> ReplicaChoice:
        usable = self._context.registry.usable(shard.service)
        return self._context.selector.choose(
            now,
            shard.candidates(usable, self._route.attempts),
            self._leg_recorder.median_s,
            is_urgent=self._is_urgent and reason != HEDGE,
        )

    def _send(self, now: float, shard: ShardLegs, reason: str) -> None:
        self._send_to(now, shard, reason, self._choose(now, shard, reason))

    def _send_to(
        self, now: float, shard: ShardLegs, reason: str, choice: ReplicaChoice
    ) -> None:
        """Send a leg to the chosen replica.

        If none was chosen and no leg of the shard is open, the shard counts as missing.
        """
        if choice.replica is None:
            if not shard.open_legs:
                self._settle_as_missing(shard, shard.failure_reason or choice.reason)
            return
        leg = shard.add_leg(choice.replica, now, reason, choice.queue_rounds)
        self._start_leg(
            leg, choice, shard.service, lambda reply: self._on_reply(shard, leg, reply)
        )

    def _on_reply(self, shard: ShardLegs, leg: OpenLeg, reply: LegReply) -> None:
        now = self._context.timers.now()
        shard.end_leg(leg, reply.outcome)
        self._leg_recorder.record_end(now, leg, reply)
        if not reply.is_success and reply.outcome.may_have_run:
            self._may_have_run = True
        if self._is_finished or shard.is_settled:
            return
        if reply.is_success:
            self._on_partial_result(now, shard, leg, reply)
        elif reply.outcome is not LegOutcome.CANCELLED:
            self._on_failure(now, shard, leg, reply)

    def _on_partial_result(
        self, now: float, shard: ShardLegs, leg: OpenLeg, reply: LegReply
    ) -> None:
        shard.result = reply
        self._leg_recorder.record_result(leg, shard.open_legs)
        self._answered_count += 1
        if self._is_coverage_unreachable:
            self._fail_below_min_coverage("shard_lost")
            return
        self._settle(shard)
        for other in tuple(shard.open_legs):
            self._leg_recorder.record_pending(now, other)
            self._abandon_leg(now, other)
        if self._unsettled_count == 0 or self._is_partial_answer_due(now):
            self._finish(
                ResultCode.OK, "whole" if not self._unsettled_count else "enough"
            )

    def _is_partial_answer_due(self, now: float) -> bool:
        return (
            now >= self._latency_target_at
            and self._answered_count >= self._required_count
        )

    def _on_failure(
        self, now: float, shard: ShardLegs, leg: OpenLeg, reply: LegReply
    ) -> None:
        shard.failure_reason = reply.outcome.value
        if reply.outcome is LegOutcome.NOT_SENT:
            # No upstream received the leg, so the resend is not charged to the budget.
            self._move(now, shard, leg)
            return
        if reply.outcome is LegOutcome.BROKEN and not self._answered_count:
            self._broken_leg_count += 1
            self._context.crashes.on_broken_connection(
                leg.replica,
                self._fingerprint(),
                lambda crashed: self._after_crash_check(shard, crashed),
            )
            return
        if shard.open_legs:
            return
        delay_s = shard.retry_delay_s()
        if reply.outcome is LegOutcome.NOT_RUN and delay_s:
            self._call_later(delay_s, lambda: self._retry(shard))
        else:
            self._retry(shard)

    def _move(self, now: float, shard: ShardLegs, leg: OpenLeg) -> None:
        """Send a leg that could not be sent to another replica.

        A hedge goes to a reachable replica only, as the leg that it was to replace is
        still open.
        """
        if not shard.open_legs:
            self._send(now, shard, "move")
        elif leg.reason == HEDGE:
            choice = self._choose(now, shard, HEDGE)
            if choice.replica is not None and not choice.is_paused:
                self._send_to(now, shard, HEDGE, choice)

    def _after_crash_check(self, shard: ShardLegs, has_crashed: bool) -> None:
        if self._is_finished or shard.is_settled or shard.open_legs:
            return
        if has_crashed and (
            self._broken_leg_count >= MIN_BROKEN_LEGS_OF_CRASHING_SEARCH
            or self._context.crashes.is_quarantined(self._fingerprint())
        ):
            self._settle_as_missing(shard, "crashing_request")
            return
        self._retry(shard)

    def _retry(self, shard: ShardLegs) -> None:
        if self._is_finished or shard.is_settled or shard.open_legs:
            return
        now = self._context.timers.now()
        usable = self._context.registry.usable(shard.service)
        has_candidates = bool(shard.candidates(usable, self._route.attempts))
        if (
            self._is_coverage_unreachable
            or not has_candidates
            or shard.rejection_count >= MAX_SHARD_REJECTIONS
        ):
            self._settle_as_missing(shard, shard.failure_reason)
            return
        choice = self._choose(now, shard, RETRY)
        if choice.replica is None:
            self._settle_as_missing(shard, choice.reason)
        elif self._context.budget.try_acquire(now, shard.service):
            self._send_to(now, shard, RETRY, choice)
        elif now < self._budget_wait_until:
            self._call_later(BUDGET_RETRY_DELAY_S, lambda: self._retry(shard))
        else:
            self._settle_as_missing(shard, "budget_used_up")

    def _on_hedge(self) -> None:
        """Send another leg for every shard that has not replied by the hedge delay."""
        if self._is_finished or self._is_coverage_unreachable:
            return
        now = self._context.timers.now()
        has_budget_refused = False
        for shard in self._shards:
            if shard.is_settled or not shard.open_legs or self._is_crash_suspected():
                continue
            for leg in shard.open_legs:
                self._leg_recorder.record_pending(now, leg)
            usable = self._context.registry.usable(shard.service)
            if not shard.candidates(usable, self._route.attempts):
                continue
            choice = self._choose(now, shard, HEDGE)
            if choice.replica is None or choice.is_paused:
                continue
            if self._context.budget.try_acquire(now, shard.service):
                self._send_to(now, shard, HEDGE, choice)
            else:
                has_budget_refused = True
        if has_budget_refused and now < self._latency_target_at:
            self._call_later(BUDGET_RETRY_DELAY_S, self._on_hedge)
        elif self._route.attempts > 2:
            delay_s = self._context.latencies.hedge_delay_s(self._route)
            self._call_later(delay_s, self._on_hedge)

    def _is_crash_suspected(self) -> bool:
        return self._broken_leg_count > 0 and self._context.crashes.is_suspect(
            self._fingerprint()
        )

    def _on_latency_target(self) -> None:
        if not self._is_finished and self._answered_count >= self._required_count:
            self._finish(ResultCode.PARTIAL, "goal")

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        if self._answered_count >= self._required_count:
            self._finish(ResultCode.PARTIAL, "deadline")
        else:
            self._finish(ResultCode.LEG_TIMEOUT, "deadline")

    def _settle(self, shard: ShardLegs) -> None:
        shard.is_settled = True
        self._unsettled_count -= 1

    def _settle_as_missing(self, shard: ShardLegs, reason: str) -> None:
        shard.failure_reason = reason
        self._settle(shard)
        if self._is_finished:
            return
        if self._answered_count + self._unsettled_count < self._required_count:
            self._fail_below_min_coverage(f"shard_lost:{reason}")
        elif self._unsettled_count == 0 or self._is_partial_answer_due(
            self._context.timers.now()
        ):
            self._finish(ResultCode.PARTIAL, "all_settled")

    def _fail_below_min_coverage(self, reason: str) -> None:
        """Fail a search whose minimum coverage can no longer be reached.

        If no upstream can have run it, it is refused, so that the caller may retry.
        """
        if self._may_have_run or self._answered_count:
            self._finish(ResultCode.FAILED, reason)
        elif not self._list_open_legs():
            self._finish(ResultCode.NOT_RUN_NO_UPSTREAM, reason)
        elif not self._is_coverage_unreachable:
            # Upstreams without free capacity reject the open legs within milliseconds.
            # If all of these legs are rejected, no upstream has run the search and the
            # caller can be told when to retry.
            self._is_coverage_unreachable = True
            self._call_later(
                PENDING_REJECTIONS_TIMEOUT_S,
                lambda: self._finish(ResultCode.FAILED, reason),
            )

    def _finish(self, code: ResultCode, reason: str) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        now = self._context.timers.now()
        for leg in self._list_open_legs():
            self._leg_recorder.record_pending(now, leg)
            self._abandon_leg(now, leg)
        results = [shard.result for shard in self._shards if shard.result is not None]
        missing = len(self._shards) - len(results)
        if code is ResultCode.OK and missing:
            code = ResultCode.PARTIAL
        self._end(
            Outcome(
                self._answer(code, results, missing),
                code,
                reason,
                len(results),
                len(self._shards),
                self._leg_recorder.extra,
                self._missing_reasons(),
            )
        )

    def _answer(
        self, code: ResultCode, results: list[LegReply], missing: int
    ) -> Answer:
        codec = self._context.codec
        if code in (ResultCode.OK, ResultCode.PARTIAL):
            summary = CoverageSummary(
                tuple(result.signature for result in results), missing
            )
            body = merge_top_k((result.body for result in results), self._route.top_k)
            return Answer(200, codec.coverage_headers(summary), body)
        if code in _NOT_RUN_CODES:
            return refusal_answer(
                codec, self._backoff_s or self._context.retry_after_s()
            )
        return failure_answer(code)

    def _missing_reasons(self) -> str:
        return ",".join(
            f"{shard.service}:{shard.failure_reason or 'waiting'}"
            for shard in self._shards
            if shard.result is None
        )

    def _fingerprint(self) -> str:
        if not self._cached_fingerprint:
            self._cached_fingerprint = request_fingerprint(self._request)
        return self._cached_fingerprint


def _reachable_rounds(choices: list[ReplicaChoice]) -> list[float]:
    """Return the queue in rounds of each shard with a replica that is reachable."""
    return [
        choice.queue_rounds
        for choice in choices
        if choice.replica is not None and not choice.is_paused
    ]


def required_shard_count(route: Route, shard_count: int) -> int:
    """Return the smallest number of partial results with the minimum coverage."""
    required = max(1, int(route.min_coverage * shard_count))
    while required < shard_count and required / shard_count < route.min_coverage:
        required += 1
    return required
