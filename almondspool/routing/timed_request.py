"""Base class of routed requests: deadline, legs, timers and outcome."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import RequestHandle
from almondspool.routing.context import DETACHED_LEG_TIMEOUT_S
from almondspool.routing.legs import LegRecorder
from almondspool.routing.outcome import Outcome
from almondspool.routing.unneeded_legs import should_cancel

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest, LegReply, LegRequest
    from almondspool.routing.context import RoutingContext
    from almondspool.routing.legs import OpenLeg
    from almondspool.routing.selection import ReplicaChoice
    from almondspool.state.routes import Route
    from almondspool.transport.timers import TimerHandle


class TimedRequest(RequestHandle):
    """A request that ends exactly once, at the latest at its deadline.

    The deadline is the end of the caller's wait or of the route's timeout, whichever
    comes first. Subclasses set a timer for it in their start().
    """

    def __init__(
        self,
        context: RoutingContext,
        route: Route,
        request: CallerRequest,
        leg_request: LegRequest,
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Prepare a request.

        Args:
            context: Dependencies shared by all requests.
            route: The route of the request.
            request: The caller's request.
            leg_request: The part of the request that is the same in every leg.
            on_end: Called once with the outcome.
        """
        self._context = context
        self._route = route
        self._request = request
        self._leg_request = leg_request
        self._on_end = on_end
        limit_s = request.deadline_s if request.deadline_s else route.timeout_s
        self._deadline_at = request.arrived_at + min(limit_s, route.timeout_s)
        self._leg_recorder = LegRecorder(context, route, request)
        self._timers: list[TimerHandle] = []
        self._is_finished = False

    def cancel(self) -> None:
        """End the request without an answer, as its caller has disconnected."""
        if self._is_finished:
            return
        self._cancel_legs()
        self._end(Outcome(None, ResultCode.LEG_CANCELLED, "caller_left"))

    def abandon(self) -> None:
        """Cancel the legs and report no outcome, as another run takes over."""
        if self._is_finished:
            return
        self._cancel_legs()
        self._cancel_timers()

    def expire(self) -> None:
        """End the request with the answer that it would get at its deadline."""
        self._on_deadline()

    @abc.abstractmethod
    def _on_deadline(self) -> None:
        """End the request at its deadline, unless it has ended."""

    @abc.abstractmethod
    def _list_open_legs(self) -> list[OpenLeg]:
        """Return the legs that have not ended."""

    def _cancel_legs(self) -> None:
        """Cancel the open legs of the request, and ignore later replies."""
        self._is_finished = True
        for leg in self._list_open_legs():
            leg.handle.cancel()

    def _abandon_leg(self, now: float, leg: OpenLeg) -> None:
        """Cancel a leg whose result is not needed, or detach it for a late reply."""
        context = self._context
        health = context.selector.health(now, leg.replica)
        queue_rounds = health.queue_rounds(now, leg.replica.slots)
        if should_cancel(queue_rounds, context.sender.connection_state(leg.replica)):
            context.record_leg(self._route.name, leg.reason, "cancelled")
            leg.handle.cancel()
        else:
            leg.handle.detach(DETACHED_LEG_TIMEOUT_S)

    def _start_leg(
        self,
        leg: OpenLeg,
        choice: ReplicaChoice,
        service: str,
        on_reply: Callable[[LegReply], None],
    ) -> None:
        """Record and send a leg; its deadline is the remaining time of the request."""
        self._leg_recorder.record_sent(leg, choice, service)
        remaining_s = self._deadline_at - leg.sent_at
        leg.handle = self._context.sender.send(
            leg.replica, self._leg_request, remaining_s, on_reply
        )

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timers.append(self._context.timers.call_later(delay_s, callback))

    def _end(self, outcome: Outcome) -> None:
        """Cancel the timers and report the outcome."""
        self._is_finished = True
        self._cancel_timers()
        self._on_end(outcome)

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
