"""Routing of caller requests: route lookup, execution and request log."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import COMPLETED_REQUEST, Answer, LegRequest
from almondspool.routing.crashes import request_fingerprint
from almondspool.routing.fan_out import SearchFanOut
from almondspool.routing.forward import SingleUpstreamRequest
from almondspool.routing.outcome import Outcome, refusal_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest, RequestHandle
    from almondspool.routing.context import RoutingContext
    from almondspool.routing.timed_request import TimedRequest
    from almondspool.state.routes import Route, RouteTable

NOT_FOUND = 404
# Retry-After of a request that is refused because it crashed two upstreams, and that
# will be refused for about this long.
QUARANTINE_RETRY_AFTER_S = 60.0
# Bounds of the shortest Retry-After while no configuration is known. Between them it is
# the time for which none has been known: an outage is expected to last about as long as
# it has lasted. Callers repeat a request only a few times.
MIN_CONFIGURATION_WAIT_S = 0.4
MAX_CONFIGURATION_WAIT_S = 1.0
# The longest Retry-After as a multiple of the shortest, so that callers do not retry
# together.
CONFIGURATION_WAIT_SPREAD = 1.5
# Time that a request is expected to need at most, in latency targets of its route, when
# an instance that stops decides whether to run it. One that is not idempotent is given
# more: if it is not finished in time, its caller cannot repeat it.
IDEMPOTENT_NEED_TARGETS = 1.0
NON_IDEMPOTENT_NEED_TARGETS = 3.0
# Retry-After of a request that an instance refuses because it stops: the others can
# serve it at once.
STOPPING_RETRY_AFTER_S = 0.05


class Router:
    """Finds the route of each request and runs it."""

    def __init__(
        self,
        context: RoutingContext,
        record_request: Callable[[str, int, ResultCode, float, int], None],
    ) -> None:
        """Start without a configuration: every request is refused.

        Args:
            context: Dependencies shared by all requests.
            record_request: Called for each request that ends, with the name of its
                route, priority, result code, duration in seconds and number of missing
                shards.
        """
        self._context = context
        self._record_request = record_request
        self._table: RouteTable | None = None
        self._table_set_at = 0.0
        self._started_at = context.timers.now()
        self._runs: set[TimedRequest] = set()
        # When the instance stops and every request must have been answered.
        self._answer_by = math.inf

    @property
    def in_flight(self) -> int:
        """The number of requests that are being run."""
        return len(self._runs)

    @property
    def table(self) -> RouteTable | None:
        """The active route table, or None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """The version of the active route table, or 0 before the first."""
        return self._table.version if self._table else 0

    def set_table(self, table: RouteTable) -> bool:
        """Activate a route table unless its version is not newer than the active one.

        Returns:
            Whether the table was activated.
        """
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._table_set_at = self._context.timers.now()
        names = {route.name for route in table.routes()}
        self._context.splitter.forget_absent(names)
        self._context.latencies.forget_absent(names)
        self._context.budget.forget_absent(set(table.services_by_name))
        self._context.admission.set_routes(table.routes())
        return True

    def handle(
        self, request: CallerRequest, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer a request at once, or start to run it.

        Args:
            request: The caller's request.
            answer: Called once with the answer, unless the caller disconnects.

        Returns:
            A handle to cancel the request when the caller disconnects.
        """
        table = self._table
        if table is None:
            self._refuse(
                request,
                answer,
                ResultCode.NOT_RUN_NO_CONFIGURATION,
                self._configuration_wait_s(),
            )
            return COMPLETED_REQUEST
        route = table.find(request.host, request.path)
        if route is None:
            outcome = Outcome(Answer(NOT_FOUND), ResultCode.SERVICE_UNKNOWN, "no_route")
            self._end(request, None, table.version, outcome, answer)
            return COMPLETED_REQUEST
        if (
            self._context.crashes.has_suspects()
            and self._context.crashes.is_quarantined(request_fingerprint(request))
        ):
            self._refuse(
                request,
                answer,
                ResultCode.NOT_RUN_QUARANTINED,
                QUARANTINE_RETRY_AFTER_S,
            )
            return COMPLETED_REQUEST
        if not self._can_finish(request, route):
            self._refuse(
                request, answer, ResultCode.NOT_RUN_LEAVING, STOPPING_RETRY_AFTER_S
            )
            return COMPLETED_REQUEST
        return self._run(request, route, table.version, answer)

    def begin_shutdown(self, answer_by: float) -> None:
        """Refuse requests that cannot be finished in time, and end the others in time.

        Args:
            answer_by: When every request must have been answered, in monotonic
                seconds.
        """
        self._answer_by = answer_by
        timers = self._context.timers
        timers.call_later(answer_by - timers.now(), self._end_runs)

    def _end_runs(self) -> None:
        for run in tuple(self._runs):
            run.expire()

    def _can_finish(self, request: CallerRequest, route: Route) -> bool:
        """Return whether a request can be expected to end before the instance stops."""
        need_targets = (
            IDEMPOTENT_NEED_TARGETS
            if route.is_idempotent
            else NON_IDEMPOTENT_NEED_TARGETS
        )
        need_s = min(route.timeout_s, need_targets * route.latency_target_s)
        if request.deadline_s:
            need_s = min(need_s, request.deadline_s)
        return self._context.timers.now() + need_s <= self._answer_by

    def _run(
        self,
        request: CallerRequest,
        route: Route,
        version: int,
        answer: Callable[[Answer], None],
    ) -> RequestHandle:
        context = self._context
        leg_request = LegRequest(
            request.request_id,
            context.codec.encode_request_head(request),
            request.body,
            route.is_idempotent,
        )

        def on_end(outcome: Outcome) -> None:
            self._runs.discard(run)
            self._end(request, route, version, outcome, answer)

        if route.is_search:
            run: TimedRequest = SearchFanOut(
                context, route, request, leg_request, on_end
            )
        else:
            service = context.splitter.choose(route)
            run = SingleUpstreamRequest(
                context, route, service, request, leg_request, on_end
            )
        self._runs.add(run)
        started_at = context.timers.now()
        run.start()
        context.utilization.record_dispatch(context.timers.now() - started_at)
        return run

    def _refuse(
        self,
        request: CallerRequest,
        answer: Callable[[Answer], None],
        code: ResultCode,
        retry_after_s: float = 0.0,
    ) -> None:
        delay_s = retry_after_s or self._context.retry_after_s()
        refusal = refusal_answer(self._context.codec, delay_s)
        self._end(
            request, None, self.version, Outcome(refusal, code, code.name), answer
        )

    def _end(
        self,
        request: CallerRequest,
        route: Route | None,
        version: int,
        outcome: Outcome,
        answer: Callable[[Answer], None],
    ) -> None:
        elapsed_s = self._context.timers.now() - request.arrived_at
        name = route.name if route else "-"
        priority = route.priority if route else -1
        missing = outcome.shards - outcome.parts if outcome.answer else 0
        self._record_request(name, priority, outcome.code, elapsed_s, missing)
        self._log(request, name, version, outcome, elapsed_s)
        if outcome.answer is not None:
            answer(outcome.answer)

    def _configuration_wait_s(self) -> float:
        """Return the Retry-After while no configuration is known, in seconds."""
        waited_s = self._context.timers.now() - self._started_at
        shortest_s = min(
            MAX_CONFIGURATION_WAIT_S, max(MIN_CONFIGURATION_WAIT_S, waited_s)
        )
        return shortest_s * self._context.rng.uniform(1.0, CONFIGURATION_WAIT_SPREAD)

    def table_age_s(self) -> float:
        """Return how long the route table has been active, in seconds."""
        if self._table is None:
            return 0.0
        return self._context.timers.now() - self._table_set_at

    def _log(
        self,
        request: CallerRequest,
        name: str,
        version: int,
        outcome: Outcome,
        elapsed_s: float,
    ) -> None:
        is_ok = outcome.code is ResultCode.OK
        event = "request.answered" if is_ok else "request.failed"
        if outcome.code in (ResultCode.PARTIAL, ResultCode.LEG_CANCELLED):
            event = f"request.{'partial' if outcome.answer else 'left'}"
        self._context.log.write(
            event,
            request=request.request_id,
            route=name,
            version=version,
            version_age_s=self.table_age_s(),
            code=outcome.code.name,
            status=outcome.answer.status if outcome.answer else 0,
            reason=outcome.reason,
            elapsed_ms=elapsed_s * 1000.0,
            parts=outcome.parts,
            shards=outcome.shards,
            extra=outcome.extra,
            missing=outcome.missing,
            upstream=outcome.upstream,
        )
