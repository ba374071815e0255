"""Driver of one search session: carries out its actions and passes it results."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

import eventlet
import eventlet.queue

from almondspool.coordination.search.search_actions import (
    BroadcastSuspicion,
    CancelLeg,
    Finish,
    SendLeg,
)
from almondspool.protocol.peer import LegAssignment

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.coordination.search.search import SearchSession
    from almondspool.coordination.search.search_actions import Action
    from almondspool.coordination.upstreams.leg_router import LegRouter
    from almondspool.logs import EventLog
    from almondspool.protocol.caller import SearchAnswer, SearchRequest
    from almondspool.protocol.peer import Suspicion
    from almondspool.protocol.upstream import LegResult, LoadReport
    from almondspool.state.document import Section, Upstream
    from almondspool.transport.metrics import Metrics
    from almondspool.transport.timers import TimerService


LOG_LINES_PER_BATCH = 32


class RunDependencies(NamedTuple):
    """Components of the instance that a run uses.

    Attributes:
        timers: Clock and timers.
        router: Sends legs and routes their results.
        log: The event log.
        metrics: Leg counters.
        report_suspicion: Sends a suspicion to all instances and waits until they know
            it, for a bounded time.
        log_decisions: Whether each routing decision is logged.
        on_load_report: Called with an upstream's id and the report that came with a
            result.
    """

    timers: TimerService
    router: LegRouter
    log: EventLog
    metrics: Metrics
    report_suspicion: Callable[[Suspicion], None]
    log_decisions: bool
    on_load_report: Callable[[str, LoadReport], None]


class RequestRun:
    """Runs one request on its green thread, from the first leg to the answer."""

    def __init__(
        self,
        dependencies: RunDependencies,
        request: SearchRequest,
        session: SearchSession,
        current_section: Callable[[], Section | None],
        priority: int,
    ) -> None:
        """Initialize the driver.

        Args:
            dependencies: Components of the instance.
            request: The caller's request.
            session: Decides on the request's legs.
            current_section: Returns the section in force.
            priority: Priority class of the legs in the holders' queues.
        """
        self._dependencies = dependencies
        self._request = request
        self._session = session
        self._current_section = current_section
        self._priority = priority
        self._inbox: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._log_queue: collections.deque[SendLeg] = collections.deque()

    def run(self) -> SearchAnswer:
        """Return the final answer; blocks the calling green thread."""
        actions = self._session.start(self._dependencies.timers.now())
        while True:
            answer = self._execute(actions)
            if answer is not None:
                self._log_pending(len(self._log_queue))
                return answer
            actions = self._next_actions()

    def _next_actions(self) -> Sequence[Action]:
        result = self._next_result()
        now = self._dependencies.timers.now()
        if result is None:
            return self._session.on_timer(now)
        self._dependencies.metrics.leg_results.labels(result.code.name).inc()
        if result.load is not None:
            self._dependencies.on_load_report(result.upstream_id, result.load)
        return self._session.on_result(now, result)

    def _next_result(self) -> LegResult | None:
        while self._inbox.empty():
            wait_s = self._wait_s()
            if wait_s is not None and wait_s <= 0:
                return None
            if not self._log_queue:
                return self._wait_result(wait_s)
            # Yields so that the legs are sent before they are logged, which is slower.
            eventlet.sleep(0)
            self._log_pending(LOG_LINES_PER_BATCH)
        return self._inbox.get_nowait()

    def _wait_s(self) -> float | None:
        timer_at = self._session.next_timer_at
        return None if timer_at is None else timer_at - self._dependencies.timers.now()

    def _wait_result(self, wait_s: float | None) -> LegResult | None:
        try:
            return self._inbox.get(timeout=wait_s)
        except eventlet.queue.Empty:
            return None

    def _execute(self, actions: Sequence[Action]) -> SearchAnswer | None:
        sends = [action for action in actions if isinstance(action, SendLeg)]
        cancels = [action for action in actions if isinstance(action, CancelLeg)]
        if cancels:
            self._dependencies.router.cancel(cancel.leg_id for cancel in cancels)
        if sends:
            self._send(sends)
        answer = None
        for action in actions:
            if isinstance(action, BroadcastSuspicion):
                # The caller may retry at another instance at once, which must know of
                # the suspicion by then.
                self._dependencies.report_suspicion(action.suspicion)
            if isinstance(action, Finish):
                answer = action.answer
        return answer

    def _send(self, sends: Sequence[SendLeg]) -> None:
        section = self._current_section()
        if section is not None:
            self._upstreams_by_id = section.upstreams_by_id
        pairs = [
            (
                self._upstreams_by_id[send.upstream_id],
                LegAssignment(send.upstream_id, send.leg, send.is_exclusive),
            )
            for send in sends
        ]
        self._dependencies.router.send(self._priority, pairs, self._inbox.put)
        counts = collections.Counter(send.reason.partition(":")[0] for send in sends)
        for reason, count in counts.items():
            self._dependencies.metrics.legs.labels(reason).inc(count)
        if self._dependencies.log_decisions:
            self._log_queue.extend(sends)

    def _log_pending(self, count: int) -> None:
        for _ in range(min(count, len(self._log_queue))):
            self._log_decision(self._log_queue.popleft())

    def _log_decision(self, send: SendLeg) -> None:
        candidates = [
            f"{candidate.upstream_id}:{candidate.score_s:.4f}"
            for candidate in send.candidates
        ]
        self._dependencies.log.write(
            "leg.routed",
            request=self._request.request_id,
            leg=send.leg.leg_id,
            shard=send.leg.shard,
            snapshot=send.leg.snapshot,
            upstream=send.upstream_id,
            reason=send.reason,
            candidates=candidates,
        )
