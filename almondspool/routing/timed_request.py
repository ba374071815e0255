"""What every routed request has: its deadline, its timers and its one outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.exchange import RequestHandle
from almondspool.routing.legs import LegRecorder

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest, LegRequest
    from almondspool.routing.context import RoutingContext
    from almondspool.routing.outcome import Outcome
    from almondspool.state.routes import Route
    from almondspool.transport.timers import TimerHandle


class TimedRequest(RequestHandle):
    """A request that ends once, at its deadline at the latest."""

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
            context: What all requests share.
            route: The route that the request takes.
            request: The caller's request.
            leg_request: What each send consists of.
            on_end: Takes the outcome, once.
        """
        self._context = context
        self._route = route
        self._request = request
        self._leg_request = leg_request
        self._on_end = on_end
        limit_s = request.deadline_s if request.deadline_s else route.timeout_s
        self._ends_at = request.arrived + min(limit_s, route.timeout_s)
        self._legs = LegRecorder(context, route, request)
        self._timers: list[TimerHandle] = []
        self._is_finished = False

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timers.append(self._context.timers.call_later(delay_s, callback))

    def _close(self, outcome: Outcome) -> None:
        """End the request; no timer of it fires after this."""
        self._is_finished = True
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        self._on_end(outcome)
