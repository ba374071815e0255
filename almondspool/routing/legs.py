"""Legs and their recording in the log, the metrics and the health of the replicas.

A leg is one send of a request, or of one shard's part of a search, to a replica.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.exchange import UNREACHABLE_OUTCOMES, LegOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.protocol.exchange import (
        CallerRequest,
        LegHandle,
        LegReply,
        UpstreamHints,
    )
    from almondspool.routing.context import RoutingContext
    from almondspool.routing.replica_health import ReplicaHealth
    from almondspool.routing.selection import ReplicaChoice
    from almondspool.state.routes import Replica, Route

# Reasons to send a leg. Retries have further ones, which only the log and metrics use.
FIRST = "first"
HEDGE = "hedge"
RETRY = "retry"


class OpenLeg:
    """A leg that has not ended.

    Attributes:
        handle: Cancels or detaches the leg; None until it is sent.
    """

    __slots__ = ("handle", "queue_rounds", "reason", "replica", "sent_at")

    def __init__(
        self, replica: Replica, sent_at: float, reason: str, queue_rounds: float = 0.0
    ) -> None:
        """Describe a leg before it is sent.

        Args:
            replica: The replica that receives it.
            sent_at: When it is sent, in monotonic seconds.
            reason: Why it is sent, for log and metrics.
            queue_rounds: Expected queue at the replica, in multiples of its slots.
        """
        self.replica = replica
        self.sent_at = sent_at
        self.reason = reason
        self.queue_rounds = queue_rounds
        self.handle: LegHandle | None = None


class LegRecorder:
    """Records the legs of one request.

    Attributes:
        extra: Number of legs beyond the first of the request, or of each shard.
        median_s: Median latency of the route's legs when the request arrived, in
            seconds.
    """

    __slots__ = ("_context", "_request", "_route", "extra", "median_s")

    def __init__(
        self, context: RoutingContext, route: Route, request: CallerRequest
    ) -> None:
        """Start without legs.

        Args:
            context: Dependencies shared by all requests.
            route: The route of the request.
            request: The caller's request.
        """
        self._context = context
        self._route = route
        self._request = request
        self.median_s = context.latencies.median_s(route)
        self.extra = 0

    def record_sent(self, leg: OpenLeg, choice: ReplicaChoice, service: str) -> None:
        """Record that a leg is sent.

        Args:
            leg: The leg.
            choice: The choice of its replica; the log gives the reason of the choice.
            service: The service that the replica belongs to.
        """
        context = self._context
        context.selector.health(leg.sent_at, leg.replica).record_sent()
        context.record_leg(self._route.name, leg.reason, "sent")
        if leg.reason == FIRST:
            return
        self.extra += 1
        context.log.write(
            "leg.extra",
            request=self._request.request_id,
            shard=service,
            replica=leg.replica.replica_id,
            reason=leg.reason,
            choice=choice.reason,
            age_ms=(leg.sent_at - self._request.arrived_at) * 1000.0,
        )

    def record_end(self, now: float, leg: OpenLeg, reply: LegReply) -> None:
        """Record the end of a leg, also if it failed or the request has ended."""
        context = self._context
        self._update_rate_limit(now, leg, reply)
        health = context.selector.health(now, leg.replica)
        health.in_flight -= 1
        if reply.load is not None:
            health.record_load(now, reply.load)
        if reply.hints.kind:
            self._apply_hints(now, leg, reply.hints)
        if reply.outcome is LegOutcome.CANCELLED:
            return
        leg_s = now - leg.sent_at
        if reply.is_success:
            context.latencies.record(self._route, leg_s)
            if not leg.queue_rounds:
                context.admission.record_unqueued_leg(self._route, leg_s)
            if health.record_success(now, leg_s / self.median_s, leg_s):
                context.log.write("replica.back", replica=leg.replica.replica_id)
            return
        context.record_leg(self._route.name, "failed", reply.outcome.value)
        if reply.outcome is LegOutcome.MISDIRECTED:
            context.registry.on_misdirected(leg.replica)
        elif reply.outcome in UNREACHABLE_OUTCOMES:
            if health.record_unreachable(now, reply.outcome.may_have_run):
                self._log_pause(now, leg, reply, health)
        else:
            health.record_failure(now)
        context.log.write(
            "leg.failed",
            request=self._request.request_id,
            replica=leg.replica.replica_id,
            outcome=reply.outcome.value,
            status=reply.status,
            detail=reply.detail,
            age_ms=leg_s * 1000.0,
        )

    def _update_rate_limit(self, now: float, leg: OpenLeg, reply: LegReply) -> None:
        """Note the limit on requests that a reply names, or that none is named.

        A failure without a limit shows nothing, and a reply of another upstream says
        nothing of the replica.
        """
        limit = reply.hints.rate_limit
        has_no_limit = reply.is_success and not reply.hints.is_rate_limit_malformed
        if reply.outcome is LegOutcome.MISDIRECTED or (
            limit is None and not has_no_limit
        ):
            return
        selector = self._context.selector
        if not selector.set_rate_limit(now, leg.replica, limit):
            return
        limiter = selector.health(now, leg.replica).rate_limiter
        self._context.log.write(
            "replica.limited" if limiter is not None else "replica.unlimited",
            request=self._request.request_id,
            replica=leg.replica.replica_id,
            reason=leg.reason,
            limit=limit,
            own_limit=limiter.quota if limiter is not None else None,
            age_ms=(now - leg.sent_at) * 1000.0,
        )

    def _apply_hints(self, now: float, leg: OpenLeg, hints: UpstreamHints) -> None:
        """Apply the hints in a reply, also if the reply is late or no longer needed."""
        context = self._context
        context.record_hint(hints.kind)
        if hints.is_leaving:
            request_id = self._request.request_id
            context.registry.on_leaving(now, leg.replica, request_id)
        if hints.backoff_s:
            context.selector.health(now, leg.replica).set_backoff(now, hints.backoff_s)
            context.sender.drop_waiting(leg.replica)
            context.log.write(
                "replica.rests",
                request=self._request.request_id,
                replica=leg.replica.replica_id,
                rest_s=hints.backoff_s,
                asked=hints.kind,
            )

    def record_result(self, leg: OpenLeg, others: Iterable[OpenLeg]) -> None:
        """Count hedges as won or lost when a leg has given the result.

        Args:
            leg: The leg whose reply is used.
            others: The legs of the same request or shard that are still open.
        """
        if leg.reason == HEDGE:
            self._context.record_leg(self._route.name, HEDGE, "won")
        for other in others:
            if other.reason == HEDGE:
                self._context.record_leg(self._route.name, HEDGE, "lost")

    def _log_pause(
        self, now: float, leg: OpenLeg, reply: LegReply, health: ReplicaHealth
    ) -> None:
        self._context.record_pause()
        self._context.log.write(
            "replica.paused",
            request=self._request.request_id,
            replica=leg.replica.replica_id,
            outcome=reply.outcome.value,
            failures=health.consecutive_failures,
            pause_s=health.paused_until - now,
        )

    def record_pending(self, now: float, leg: OpenLeg) -> None:
        """Update a replica's slowness from a leg that has no reply yet.

        Called when a hedge is considered or would be, when another leg of the shard has
        given the result, and when the search ends.
        """
        health = self._context.selector.health(now, leg.replica)
        leg_s = now - leg.sent_at
        health.record_pending(now, leg_s / self.median_s, leg_s)
