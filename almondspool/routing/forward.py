"""Forwarding of a request to a single upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import Answer, LegOutcome
from almondspool.routing.context import BUDGET_RETRY_DELAY_S, DETACHED_LEG_TIMEOUT_S
from almondspool.routing.crashes import fingerprint
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

# Replicas that may reject a request before it is refused; a rejection states that the
# request did not run.
MAX_REJECTIONS = 2
MAX_FAILOVERS = 4


class SingleUpstreamRequest(TimedRequest):
    """Sends a request to one upstream, and to a second one only where that is safe.

    An idempotent request is hedged and retried within the budget. Any other request
    is resent only if the upstream replied that it did not run it, or if no byte of it
    was sent.
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
            service: The service that takes this request.
            request: The caller's request.
            leg_request: The part of the request that is the same in every send.
            on_end: Called once with the outcome.
        """
        super().__init__(context, route, request, leg_request, on_end)
        self._service = service
        self._in_flight: list[OpenLeg] = []
        self._tried_ids: set[str] = set()
        self._no_choice_reason = ""
        # Seconds until a replica that asked for backoff may be sent to again.
        self._backoff_s = 0.0
        self._run_count = 0
        self._rejection_count = 0
        self._failover_count = 0
        self._failure_reply: tuple[LegReply, Replica] | None = None

    def start(self) -> None:
        """Send the request, or refuse it at once."""
        now = self._context.timers.now()
        self._context.budget.record_request(now, self._service)
        if now >= self._deadline_at:
            self._refuse("deadline_expired")
            return
        self._call_later(self._deadline_at - now, self._on_deadline)
        if self._route.is_idempotent:
            delay_s = self._context.latencies.hedge_delay_s(self._route)
            self._call_later(delay_s, self._on_hedge)
        if not self._send(now, FIRST):
            self._refuse(self._no_choice_reason)

    def _open_legs(self) -> list[OpenLeg]:
        return list(self._in_flight)

    def _send(self, now: float, reason: str) -> bool:
        context = self._context
        choice = context.selector.choose(
            now,
            context.registry.usable(self._service),
            self._legs.median_s,
            self._tried_ids,
        )
        if choice.replica is None:
            self._no_choice_reason = choice.reason
            self._backoff_s = choice.backoff_s
            return False
        leg = OpenLeg(choice.replica, now, reason, choice.queue_rounds)
        self._tried_ids.add(choice.replica.replica_id)
        self._in_flight.append(leg)
        self._run_count += 1
        self._start_leg(
            leg, choice, self._service, lambda reply: self._on_reply(leg, reply)
        )
        return True

    def _on_reply(self, leg: OpenLeg, reply: LegReply) -> None:
        now = self._context.timers.now()
        if leg in self._in_flight:
            self._in_flight.remove(leg)
        self._legs.record_end(now, leg, reply)
        if self._is_finished:
            return
        if reply.is_success:
            self._legs.record_result(leg, self._in_flight)
            self._forward_reply(reply, leg.replica)
        elif reply.outcome is not LegOutcome.CANCELLED:
            self._on_failure(now, leg, reply)

    def _on_failure(self, now: float, leg: OpenLeg, reply: LegReply) -> None:
        outcome = reply.outcome
        if outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            self._run_count -= 1
            self._fail_over(now, outcome)
        elif outcome is LegOutcome.NOT_RUN:
            self._run_count -= 1
            self._rejection_count += 1
            self._retry(now, "rejected")
        elif outcome is LegOutcome.ANSWERED and reply.signature:
            self._failure_reply = (reply, leg.replica)
            self._retry_if_idempotent(now, "failed")
        elif outcome is LegOutcome.BROKEN:
            digest = fingerprint(self._request)
            self._context.crashes.on_broken_connection(
                leg.replica, digest, lambda _: self._after_crash_check(digest)
            )
        else:
            self._retry_if_idempotent(now, outcome.value)

    def _after_crash_check(self, digest: str) -> None:
        if self._is_finished:
            return
        if self._context.crashes.is_quarantined(digest):
            if not self._in_flight:
                self._fail("crashing_request")
            return
        self._retry_if_idempotent(self._context.timers.now(), "broken")

    def _fail_over(self, now: float, outcome: LegOutcome) -> None:
        """Send to another replica after a send that no upstream ran."""
        if self._in_flight:
            return
        self._failover_count += 1
        is_free = outcome is LegOutcome.NOT_SENT
        may_send = is_free or self._context.budget.try_acquire(now, self._service)
        if (
            self._failover_count > MAX_FAILOVERS
            or not may_send
            or not self._send(now, "move")
        ):
            self._give_up(outcome.value)

    def _retry_if_idempotent(self, now: float, reason: str) -> None:
        if self._route.is_idempotent:
            self._retry(now, reason)
        elif not self._in_flight:
            self._give_up(reason)

    def _retry(self, now: float, reason: str) -> None:
        if self._is_finished or self._in_flight:
            return
        has_attempts = self._run_count + self._rejection_count < self._route.attempts
        if not has_attempts or self._rejection_count >= MAX_REJECTIONS:
            self._give_up(reason)
        elif not self._context.budget.try_acquire(now, self._service):
            self._give_up(f"{reason}:budget_used_up")
        elif not self._send(now, f"retry_{reason}"):
            self._give_up(f"{reason}:{self._no_choice_reason}")

    def _on_hedge(self) -> None:
        if self._is_finished or not self._in_flight:
            return
        now = self._context.timers.now()
        if self._run_count + self._rejection_count >= self._route.attempts:
            return
        for leg in self._in_flight:
            self._legs.record_pending(now, leg)
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
        for other in tuple(self._in_flight):
            other.handle.detach(DETACHED_LEG_TIMEOUT_S)
        answer = Answer(
            reply.status, self._context.codec.forwarded_headers(reply), reply.body
        )
        is_ok = reply.is_success
        self._close(
            Outcome(
                answer,
                ResultCode.OK if is_ok else ResultCode.LEG_FAILED,
                "reply",
                int(is_ok),
                1,
                self._legs.extra,
                upstream=replica.replica_id,
            )
        )

    def _give_up(self, reason: str) -> None:
        """End a request that may not be sent to another replica."""
        if self._failure_reply is not None:
            self._forward_reply(*self._failure_reply)
        elif self._run_count:
            self._fail(reason)
        else:
            self._refuse(reason)

    def _fail(self, reason: str, code: ResultCode = ResultCode.FAILED) -> None:
        answer = failure_answer(code)
        self._close(Outcome(answer, code, reason, 0, 1, self._legs.extra))

    def _refuse(self, reason: str) -> None:
        retry_after_s = self._backoff_s or self._context.retry_after_s()
        answer = refusal_answer(self._context.codec, retry_after_s)
        code = ResultCode.NOT_RUN_NO_UPSTREAM
        self._close(Outcome(answer, code, reason, 0, 1, self._legs.extra))
