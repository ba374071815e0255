"""Forwarding of a request to a single upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import Answer, LegOutcome
from almondspool.routing.context import BUDGET_RETRY_DELAY_S
from almondspool.routing.crashes import request_fingerprint
from almondspool.routing.legs import FIRST, HEDGE, OpenLeg
from almondspool.routing.outcome import Outcome, failure_answer, refusal_answer
from almondspool.routing.timed_request import TimedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import (
        CallerRequest,
        LegReply,
        LegRequest,
    )
    from almondspool.routing.context import RoutingContext
    from almondspool.state.routes import Replica, Route

# A request is not sent again after this many rejections. With a rejection, a replica
# states that it did not run the request.
MAX_REQUEST_REJECTIONS = 2
# Limit on resends of a request that was not sent, or that reached a wrong upstream.
# They use up no attempts.
MAX_FAILOVERS = 4


class SingleUpstreamRequest(TimedRequest):
    """Sends a request to one upstream, and to another one only where that is safe.

    An idempotent request is hedged and retried within the retry budget. Any other
    request is resent only if the upstream replied that it did not run the request, or
    if no byte of the request was sent.
    """

    def __init__(
        self,
        context: RoutingContext,
        route: Route,
        service: str,
        request: CallerRequest,
        leg_request: LegRequest,
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Prepare a request; start() sends it.

        Args:
            context: Dependencies shared by all requests.
            route: A route without shards.
            service: The service to whose replicas the request is sent.
            request: The caller's request.
            leg_request: The part of the request that is the same in every leg.
            on_end: Called once with the outcome.
        """
        super().__init__(context, route, request, leg_request, on_end)
        self._service = service
        self._open_legs: list[OpenLeg] = []
        # Ids of the replicas to which a leg was sent.
        self._tried_ids: set[str] = set()
        # Why no replica could be chosen for the latest leg, for the log.
        self._no_replica_reason = ""
        # Seconds until the backoff that a replica requested has ended, if no replica
        # could be chosen because of it; otherwise 0.0.
        self._backoff_s = 0.0
        # Number of legs that are open or may have run.
        self._possible_run_count = 0
        self._rejection_count = 0
        self._failover_count = 0
        # The latest failure that an upstream signed, and its replica. It is passed on
        # if no later leg succeeds.
        self._failure_reply: tuple[LegReply, Replica] | None = None

    def start(self) -> None:
        """Send the request, or refuse it at once."""
        now = self._context.timers.now()
        self._context.budget.record_request(now, self._service)
        if now >= self._deadline_at:
            self._refuse("deadline_expired")
            return
        self._call_later(self._deadline_at - now, self._on_deadline)
        delay_s = self._context.latencies.hedge_delay_s(self._route)
        self._call_later(delay_s, lambda: self._on_slow(delay_s))
        if self._route.is_idempotent:
            self._call_later(delay_s, self._on_hedge)
        if not self._send(now, FIRST):
            self._refuse(self._no_replica_reason)

    def _list_open_legs(self) -> list[OpenLeg]:
        return list(self._open_legs)

    def _send(self, now: float, reason: str) -> bool:
        context = self._context
        choice = context.selector.choose(
            now,
            context.registry.usable(self._service),
            self._leg_recorder.median_s,
            self._tried_ids,
            is_urgent=reason != HEDGE,
        )
        if choice.replica is None:
            self._no_replica_reason = choice.reason
            self._backoff_s = choice.backoff_s
            return False
        leg = OpenLeg(choice.replica, now, reason, choice.queue_rounds)
        self._tried_ids.add(choice.replica.replica_id)
        self._open_legs.append(leg)
        self._possible_run_count += 1
        self._start_leg(
            leg, choice, self._service, lambda reply: self._on_reply(leg, reply)
        )
        return True

    def _on_reply(self, leg: OpenLeg, reply: LegReply) -> None:
        now = self._context.timers.now()
        if leg in self._open_legs:
            self._open_legs.remove(leg)
        self._leg_recorder.record_end(now, leg, reply)
        if self._is_finished:
            return
        if reply.is_success:
            self._leg_recorder.record_result(leg, self._open_legs)
            self._forward_reply(reply, leg.replica)
        elif reply.outcome is not LegOutcome.CANCELLED:
            self._on_failure(now, leg, reply)

    def _on_failure(self, now: float, leg: OpenLeg, reply: LegReply) -> None:
        outcome = reply.outcome
        if outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            self._possible_run_count -= 1
            self._fail_over(now, outcome)
        elif outcome is LegOutcome.NOT_RUN:
            self._possible_run_count -= 1
            self._rejection_count += 1
            self._retry(now, "rejected")
        elif outcome is LegOutcome.ANSWERED and reply.signature:
            self._failure_reply = (reply, leg.replica)
            self._retry_if_idempotent(now, "failed")
        elif outcome is LegOutcome.BROKEN:
            fingerprint = request_fingerprint(self._request)
            self._context.crashes.on_broken_connection(
                leg.replica, fingerprint, lambda _: self._after_crash_check(fingerprint)
            )
        else:
            self._retry_if_idempotent(now, outcome.value)

    def _after_crash_check(self, fingerprint: str) -> None:
        if self._is_finished:
            return
        if self._context.crashes.is_quarantined(fingerprint):
            if not self._open_legs:
                self._fail("crashing_request")
            return
        self._retry_if_idempotent(self._context.timers.now(), "broken")

    def _fail_over(self, now: float, outcome: LegOutcome) -> None:
        """Send another leg after one that was not sent or reached a wrong upstream.

        Only a leg that was sent is charged to the retry budget.
        """
        if self._open_legs:
            return
        self._failover_count += 1
        is_uncharged = outcome is LegOutcome.NOT_SENT
        may_send = is_uncharged or self._context.budget.try_acquire(now, self._service)
        if (
            self._failover_count > MAX_FAILOVERS
            or not may_send
            or not self._send(now, "move")
        ):
            self._give_up(outcome.value)

    def _retry_if_idempotent(self, now: float, reason: str) -> None:
        if self._route.is_idempotent:
            self._retry(now, reason)
        elif not self._open_legs:
            self._give_up(reason)

    def _retry(self, now: float, reason: str) -> None:
        if self._is_finished or self._open_legs:
            return
        has_attempts_left = (
            self._possible_run_count + self._rejection_count < self._route.attempts
        )
        if not has_attempts_left or self._rejection_count >= MAX_REQUEST_REJECTIONS:
            self._give_up(reason)
        elif not self._context.budget.try_acquire(now, self._service):
            self._give_up(f"{reason}:budget_used_up")
        elif not self._send(now, f"retry_{reason}"):
            self._give_up(f"{reason}:{self._no_replica_reason}")

    def _on_slow(self, interval_s: float) -> None:
        """Record that the open legs are slow, so that other requests avoid them."""
        if self._is_finished:
            return
        now = self._context.timers.now()
        for leg in self._open_legs:
            self._leg_recorder.record_pending(now, leg)
        self._call_later(interval_s, lambda: self._on_slow(interval_s))

    def _on_hedge(self) -> None:
        if self._is_finished or not self._open_legs:
            return
        now = self._context.timers.now()
        if self._possible_run_count + self._rejection_count >= self._route.attempts:
            return
        usable = self._context.registry.usable(self._service)
        if len(usable) <= len(self._tried_ids):
            return
        if self._context.budget.try_acquire(now, self._service):
            self._send(now, HEDGE)
        else:
            self._call_later(BUDGET_RETRY_DELAY_S, self._on_hedge)

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        self._cancel_legs()
        self._fail("deadline", ResultCode.LEG_TIMEOUT)

    def _forward_reply(self, reply: LegReply, replica: Replica) -> None:
        self._is_finished = True
        now = self._context.timers.now()
        for other in tuple(self._open_legs):
            self._abandon_leg(now, other)
        answer = Answer(
            reply.status, self._context.codec.forwarded_headers(reply), reply.body
        )
        is_ok = reply.is_success
        self._end(
            Outcome(
                answer,
                ResultCode.OK if is_ok else ResultCode.LEG_FAILED,
                "reply",
                int(is_ok),
                1,
                self._leg_recorder.extra,
                upstream=replica.replica_id,
            )
        )

    def _give_up(self, reason: str) -> None:
        """End a request that cannot be sent to another replica.

        The signed failure of an upstream is passed on if there is one. Otherwise the
        request fails if it may have run, and is refused if not.
        """
        if self._failure_reply is not None:
            self._forward_reply(*self._failure_reply)
        elif self._possible_run_count:
            self._fail(reason)
        else:
            self._refuse(reason)

    def _fail(self, reason: str, code: ResultCode = ResultCode.FAILED) -> None:
        answer = failure_answer(code)
        self._end(Outcome(answer, code, reason, 0, 1, self._leg_recorder.extra))

    def _refuse(self, reason: str) -> None:
        retry_after_s = self._backoff_s or self._context.retry_after_s()
        answer = refusal_answer(self._context.codec, retry_after_s)
        code = ResultCode.NOT_RUN_NO_UPSTREAM
        self._end(Outcome(answer, code, reason, 0, 1, self._leg_recorder.extra))
