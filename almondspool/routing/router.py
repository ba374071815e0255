"""Routing of caller requests: route lookup, execution and request log."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.protocol.exchange import (
    COMPLETED_REQUEST,
    Answer,
    ConnectionState,
    LegRequest,
    RequestHandle,
)
from almondspool.routing.context import DEFAULT_NETWORK_DELAY_S
from almondspool.routing.crashes import request_fingerprint
from almondspool.routing.fan_out import SearchFanOut, required_shard_count
from almondspool.routing.forward import SingleUpstreamRequest
from almondspool.routing.outcome import Outcome, refusal_answer
from almondspool.routing.relay import RelayedRequest, is_relayed_accepted

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest
    from almondspool.routing.context import RoutingContext
    from almondspool.routing.relay import RequestRelay
    from almondspool.routing.timed_request import TimedRequest
    from almondspool.state.routes import Route, RouteTable

NOT_FOUND = 404
MISDIRECTED = 421
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


class _RoutedRequest(RequestHandle):
    """A request that has a route, and the run that serves it at present."""

    def __init__(
        self,
        request: CallerRequest,
        leg_request: LegRequest,
        route: Route,
        version: int,
        answer: Callable[[Answer], None],
        is_relayed: bool,
    ) -> None:
        self.request = request
        self.leg_request = leg_request
        self.route = route
        self.version = version
        self.answer = answer
        # Whether another instance has relayed it to this one.
        self.is_relayed = is_relayed
        self.run: TimedRequest | None = None

    def cancel(self) -> None:
        if self.run is not None:
            self.run.cancel()


class Router:
    """Finds the route of each request and runs or relays it."""

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
        self._relay: RequestRelay | None = None
        self._context = context
        self._record_request = record_request
        self._table: RouteTable | None = None
        self._table_set_at = 0.0
        self._started_at = context.timers.now()
        self._routed_requests: set[_RoutedRequest] = set()
        # When the instance stops and every request must have been answered.
        self._answer_by = math.inf

    @property
    def in_flight(self) -> int:
        """The number of requests that are being run."""
        return len(self._routed_requests)

    @property
    def table(self) -> RouteTable | None:
        """The active route table, or None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """The version of the active route table, or 0 before the first."""
        return self._table.version if self._table else 0

    def set_relay(self, relay: RequestRelay) -> None:
        """Relay requests that cannot be served here; without it all are run."""
        self._relay = relay

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
        return self._handle(request, answer, is_relayed=False)

    def handle_relayed(
        self, request: CallerRequest, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer a request that another instance relays, and never relay it again.

        The arguments and the result are those of handle().
        """
        # The delay to the caller of the other instance is not known.
        network_delay_s = request.network_delay_s + DEFAULT_NETWORK_DELAY_S
        return self._handle(
            request._replace(network_delay_s=network_delay_s), answer, is_relayed=True
        )

    def _handle(
        self,
        request: CallerRequest,
        answer: Callable[[Answer], None],
        is_relayed: bool,
    ) -> RequestHandle:
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
        if is_relayed and self._relay is not None and self._relay.is_isolated():
            # The other instance relays it to a third one.
            outcome = Outcome(
                Answer(MISDIRECTED), ResultCode.NOT_RUN_NO_UPSTREAM, "isolated"
            )
            self._end(request, route, table.version, outcome, answer)
            return COMPLETED_REQUEST
        if not self._can_be_served(route):
            self._refuse(request, answer, ResultCode.NOT_RUN_NO_UPSTREAM)
            return COMPLETED_REQUEST
        if is_relayed and not is_relayed_accepted(
            self._context.utilization.value(),
            self._context.admission.is_most_urgent(route),
        ):
            self._refuse(request, answer, ResultCode.NOT_RUN_OVERLOADED)
            return COMPLETED_REQUEST
        return self._start(request, route, table.version, answer, is_relayed)

    def _can_be_served(self, route: Route) -> bool:
        """Return whether a request can be served here or by another instance.

        Without a path for new connections it can be served on open ones only.
        """
        if self._relay is None or not self._relay.is_isolated():
            return True
        if self._relay.is_needed():
            return True
        services = route.shards or [each.service for each in route.weighted_services]
        connected_count = sum(self._has_idle_connection(each) for each in services)
        if route.is_search:
            return connected_count >= required_shard_count(route, len(route.shards))
        return connected_count > 0

    def _has_idle_connection(self, service: str) -> bool:
        context = self._context
        return any(
            context.sender.connection_state(replica) is ConnectionState.IDLE
            for replica in context.registry.usable(service)
        )

    def relay_repeatable(self) -> None:
        """Relay the idempotent requests that are being run, as no upstream is reached.

        Their legs are cancelled.
        """
        if self._relay is None or not self._relay.is_needed():
            return
        for routed in tuple(self._routed_requests):
            is_run_here = not isinstance(routed.run, RelayedRequest)
            if routed.route.is_idempotent and is_run_here and not routed.is_relayed:
                routed.run.abandon()
                self._start_run(routed, self._make_relayed(routed))

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
        for routed in tuple(self._routed_requests):
            routed.run.expire()

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

    def _start(
        self,
        request: CallerRequest,
        route: Route,
        version: int,
        answer: Callable[[Answer], None],
        is_relayed: bool,
    ) -> RequestHandle:
        leg_request = LegRequest(
            request.request_id,
            self._context.codec.encode_request_head(request),
            request.body,
            route.is_idempotent,
        )
        routed = _RoutedRequest(
            request, leg_request, route, version, answer, is_relayed
        )
        self._routed_requests.add(routed)
        if self._relay is not None and not is_relayed and self._relay.is_needed():
            self._start_run(routed, self._make_relayed(routed))
        else:
            self._start_run(routed, self._make_run(routed))
        return routed

    def _start_run(self, routed: _RoutedRequest, run: TimedRequest) -> None:
        routed.run = run
        started_at = self._context.timers.now()
        run.start()
        self._context.utilization.record_dispatch(
            self._context.timers.now() - started_at
        )

    def _make_run(self, routed: _RoutedRequest) -> TimedRequest:
        """Return a run that sends legs to upstreams."""
        context, route = self._context, routed.route

        def on_end(outcome: Outcome) -> None:
            self._end_routed(routed, outcome)

        if route.is_search:
            return SearchFanOut(
                context, route, routed.request, routed.leg_request, on_end
            )
        service = context.splitter.choose(route)
        return SingleUpstreamRequest(
            context, route, service, routed.request, routed.leg_request, on_end
        )

    def _make_relayed(self, routed: _RoutedRequest) -> TimedRequest:
        """Return a run that relays the request."""
        return RelayedRequest(
            self._context,
            self._relay,
            routed.version,
            routed.route,
            routed.request,
            routed.leg_request,
            lambda outcome: self._end_routed(routed, outcome),
        )

    def _end_routed(self, routed: _RoutedRequest, outcome: Outcome) -> None:
        self._routed_requests.discard(routed)
        self._end(routed.request, routed.route, routed.version, outcome, routed.answer)

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
