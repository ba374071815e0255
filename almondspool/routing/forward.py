"""Forwarding of a request to a single upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import Answer, LegOutcome
from almondspool.routing.context import BUDGET_RETRY_S, DETACH_S
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
MAX_MOVES = 4


class Forward(TimedRequest):
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
        self._open: list[OpenLeg] = []
        self._tried: set[str] = set()
        self._no_choice = ""
        # Seconds until a replica that asked for backoff may be sent to again.
        self._rest_s = 0.0
        self._runs = 0
        self._rejections = 0
        self._moves = 0
        self._fallback: tuple[LegReply, Replica] | None = None

    def start(self) -> None:
        """Send the request, or refuse it at once."""
        now = self._context.timers.now()
        self._context.budget.record_request(now, self._service)
        if now >= self._ends_at:
            self._refuse("deadline_expired")
            return
        self._call_later(self._ends_at - now, self._on_deadline)
        if self._route.is_idempotent:
            delay_s = self._context.latencies.hedge_delay_s(self._route)
            self._call_later(delay_s, self._on_hedge)
        if not self._send(now, FIRST):
            self._refuse(self._no_choice)

    def _open_legs(self) -> list[OpenLeg]:
        return list(self._open)

    def _send(self, now: float, reason: str) -> bool:
        context = self._context
        choice = context.selector.choose(
            now,
            context.registry.usable(self._service),
            self._legs.median_s,
            self._tried,
        )
        if choice.replica is None:
            self._no_choice = choice.reason
            self._rest_s = choice.rest_s
            return False
        send = OpenLeg(choice.replica, now, reason, choice.queued_turns)
        self._tried.add(choice.replica.replica_id)
        self._open.append(send)
        self._runs += 1
        self._start_leg(
            send, choice, self._service, lambda reply: self._on_reply(send, reply)
        )
        return True

    def _on_reply(self, send: OpenLeg, reply: LegReply) -> None:
        now = self._context.timers.now()
        if send in self._open:
            self._open.remove(send)
        self._legs.ended(now, send, reply)
        if self._is_finished:
            return
        if reply.is_success:
            self._legs.used(send, self._open)
            self._pass_on(reply, send.replica)
        elif reply.outcome is not LegOutcome.CANCELLED:
            self._on_failure(now, send, reply)

    def _on_failure(self, now: float, send: OpenLeg, reply: LegReply) -> None:
        outcome = reply.outcome
        if outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            self._runs -= 1
            self._move(now, outcome)
        elif outcome is LegOutcome.NOT_RUN:
            self._runs -= 1
            self._rejections += 1
            self._retry(now, "rejected")
        elif outcome is LegOutcome.ANSWERED and reply.signature:
            self._fallback = (reply, send.replica)
            self._retry_if_idempotent(now, "failed")
        elif outcome is LegOutcome.BROKEN:
            digest = fingerprint(self._request)
            self._context.crashes.on_broken_connection(
                send.replica, digest, lambda _: self._after_break(digest)
            )
        else:
            self._retry_if_idempotent(now, outcome.value)

    def _after_break(self, digest: str) -> None:
        if self._is_finished:
            return
        if self._context.crashes.is_quarantined(digest):
            if not self._open:
                self._fail("crashing_request")
            return
        self._retry_if_idempotent(self._context.timers.now(), "broken")

    def _move(self, now: float, outcome: LegOutcome) -> None:
        """Send to another replica after a send that no upstream ran."""
        if self._open:
            return
        self._moves += 1
        is_free = outcome is LegOutcome.NOT_SENT
        may_send = is_free or self._context.budget.try_acquire(now, self._service)
        if self._moves > MAX_MOVES or not may_send or not self._send(now, "move"):
            self._give_up(outcome.value)

    def _retry_if_idempotent(self, now: float, reason: str) -> None:
        if self._route.is_idempotent:
            self._retry(now, reason)
        elif not self._open:
            self._give_up(reason)

    def _retry(self, now: float, reason: str) -> None:
        if self._is_finished or self._open:
            return
        has_attempts = self._runs + self._rejections < self._route.attempts
        if not has_attempts or self._rejections >= MAX_REJECTIONS:
            self._give_up(reason)
        elif not self._context.budget.try_acquire(now, self._service):
            self._give_up(f"{reason}:budget_used_up")
        elif not self._send(now, f"retry_{reason}"):
            self._give_up(f"{reason}:{self._no_choice}")

    def _on_hedge(self) -> None:
        if self._is_finished or not self._open:
            return
        now = self._context.timers.now()
        if self._runs + self._rejections >= self._route.attempts:
            return
        for send in self._open:
            self._legs.overtaken(now, send)
        usable = self._context.registry.usable(self._service)
        if len(usable) <= len(self._tried):
            return
        if self._context.budget.try_acquire(now, self._service):
            self._send(now, HEDGE)
        else:
            self._call_later(BUDGET_RETRY_S, self._on_hedge)

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        self._cancel_legs()
        self._fail("deadline", ResultCode.LEG_TIMEOUT)

    def _pass_on(self, reply: LegReply, replica: Replica) -> None:
        self._is_finished = True
        for other in tuple(self._open):
            other.handle.detach(DETACH_S)
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
        if self._fallback is not None:
            self._pass_on(*self._fallback)
        elif self._runs:
            self._fail(reason)
        else:
            self._refuse(reason)

    def _fail(self, reason: str, code: ResultCode = ResultCode.FAILED) -> None:
        answer = failure_answer(code)
        self._close(Outcome(answer, code, reason, 0, 1, self._legs.extra))

    def _refuse(self, reason: str) -> None:
        retry_after_s = self._rest_s or self._context.retry_after_s()
        answer = refusal_answer(self._context.codec, retry_after_s)
        code = ResultCode.NOT_RUN_NO_UPSTREAM
        self._close(Outcome(answer, code, reason, 0, 1, self._legs.extra))
