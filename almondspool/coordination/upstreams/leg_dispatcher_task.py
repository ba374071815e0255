"""Execution of the leg dispatcher's actions in green threads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.leg_dispatcher import LegDispatcher
from almondspool.coordination.upstreams.leg_dispatcher_actions import (
    Action,
    CancelRuns,
    LegDispatcherCounts,
    SendResult,
    StartExchange,
    UpstreamQueueStats,
)
from almondspool.protocol.peer import LegBatch, LegResults

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from almondspool.logs import EventLog
    from almondspool.protocol.upstream import (
        LegResult,
        LoadReport,
        UpstreamInterface,
    )
    from almondspool.state.document import Document, Upstream
    from almondspool.transport.timers import TimerService

    SendReply = Callable[[LegResults], None]
    OnUpstreamReply = Callable[[str, LoadReport | None], None]

EXPIRY_INTERVAL_S = 0.02


class LegDispatcherTask:
    """Runs the leg dispatcher and its exchanges, each in a green thread of its own.

    Results for one sender that arrive within one iteration of the event loop are sent
    in one message.
    """

    def __init__(
        self,
        upstream: UpstreamInterface,
        timers: TimerService,
        log: EventLog,
        log_decisions: bool = True,
        on_reply: OnUpstreamReply | None = None,
    ) -> None:
        """Initialize without a document or grants.

        Args:
            upstream: Runs the exchanges.
            timers: Clock and timers.
            log: Receives one event for each exchange, failed leg and cancellation.
            log_decisions: Whether to write these events.
            on_reply: Called with the upstream of each reply and its load report, if
                any.
        """
        self._upstream = upstream
        self._timers = timers
        self._log = log
        self._log_decisions = log_decisions
        self._on_reply = on_reply or _ignore_reply
        self._leg_dispatcher = LegDispatcher()
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._grants_by_id: dict[str, int] = {}
        self._results_by_reply: dict[SendReply, list[LegResult]] = {}
        self._is_flush_scheduled = False
        self._is_expiry_scheduled = False

    def set_document(self, document: Document) -> None:
        """Set the document in force."""
        self._upstreams_by_id = document.upstreams_by_id()
        slots = {key: upstream.slots for key, upstream in self._upstreams_by_id.items()}
        self._leg_dispatcher.set_slots(slots)
        self._apply_grants()

    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Set the granted connections of each upstream; others have none.

        A grant for an upstream that is not in the document is applied once a document
        has it.
        """
        self._grants_by_id = dict(connections_by_upstream_id)
        self._apply_grants()

    def submit(self, batch: LegBatch, reply: SendReply) -> None:
        """Run legs; the calls of reply pass exactly one result for each.

        Args:
            batch: Legs with the upstream of each.
            reply: Called with groups of results; must not block for long.
        """
        self._execute(self._leg_dispatcher.submit(self._timers.now(), batch, reply))
        self._schedule_expiry()

    def cancel(self, leg_ids: Iterable[str]) -> None:
        """Cancel legs; each that is still open is answered with LEG_CANCELLED."""
        self._execute(self._leg_dispatcher.cancel(self._timers.now(), leg_ids))

    def in_flight(self) -> int:
        """Return how many exchanges are in flight."""
        return self._leg_dispatcher.in_flight()

    def stats(self) -> tuple[UpstreamQueueStats, ...]:
        """Return the statistics of each upstream's queue, for status and metrics."""
        return self._leg_dispatcher.stats(self._timers.now())

    def counts(self) -> LegDispatcherCounts:
        """Return the totals since the start."""
        return self._leg_dispatcher.counts()

    def _apply_grants(self) -> None:
        known = {
            upstream_id: granted
            for upstream_id, granted in self._grants_by_id.items()
            if upstream_id in self._upstreams_by_id
        }
        self._upstream.set_grants(known)
        self._execute(self._leg_dispatcher.set_grants(self._timers.now(), known))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendResult):
                self._collect(action)
            elif isinstance(action, StartExchange):
                self._log_start(action)
                eventlet.spawn_n(self._run_exchange, action)
            elif isinstance(action, CancelRuns):
                self._log_cancel(action)
                eventlet.spawn_n(self._cancel_running, action)

    def _run_exchange(self, action: StartExchange) -> None:
        exchange_id = action.exchange_id
        now = self._timers.now
        try:
            upstream = self._upstreams_by_id[action.upstream_id]
            for result in self._upstream.run(upstream, action.legs, action.timeout_s):
                if result.load is not None or result.code is ResultCode.OK:
                    self._on_reply(action.upstream_id, result.load)
                self._execute(
                    self._leg_dispatcher.on_result(now(), exchange_id, result)
                )
        except Exception as error:
            # Every exchange must end, or its connection would stay in use forever.
            self._log.write(
                "exchange.error", upstream=action.upstream_id, error=repr(error)
            )
        finally:
            self._execute(self._leg_dispatcher.on_end(now(), exchange_id))

    def _cancel_running(self, action: CancelRuns) -> None:
        upstream = self._upstreams_by_id.get(action.upstream_id)
        if upstream is not None:
            self._upstream.cancel(upstream, action.leg_ids)

    def _collect(self, action: SendResult) -> None:
        if action.result.code is not ResultCode.OK:
            self._log_failure(action.result)
        self._results_by_reply.setdefault(action.sender, []).append(action.result)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._timers.call_later(0.0, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        results_by_reply, self._results_by_reply = self._results_by_reply, {}
        for reply, results in results_by_reply.items():
            try:
                reply(LegResults(tuple(results)))
            except Exception as error:
                self._log.write("reply.error", results=len(results), error=repr(error))

    def _schedule_expiry(self) -> None:
        if not self._is_expiry_scheduled:
            self._is_expiry_scheduled = True
            self._timers.call_later(EXPIRY_INTERVAL_S, self._on_expiry)

    def _on_expiry(self) -> None:
        self._is_expiry_scheduled = False
        self._execute(self._leg_dispatcher.on_timer(self._timers.now()))
        if self._leg_dispatcher.has_open_legs():
            self._schedule_expiry()

    def _log_start(self, action: StartExchange) -> None:
        if self._log_decisions:
            self._log.write(
                "exchange.start",
                exchange=action.exchange_id,
                upstream=action.upstream_id,
                legs=len(action.legs),
                timeout_ms=int(action.timeout_s * 1000),
            )

    def _log_failure(self, result: LegResult) -> None:
        if self._log_decisions:
            self._log.write(
                "leg.fail",
                leg=result.leg_id,
                upstream=result.upstream_id,
                code=int(result.code),
                was_run=result.was_run,
                reason=result.detail,
            )

    def _log_cancel(self, action: CancelRuns) -> None:
        if self._log_decisions:
            self._log.write(
                "exchange.cancel",
                upstream=action.upstream_id,
                legs=len(action.leg_ids),
            )


def make_leg_dispatcher_task(
    upstream: UpstreamInterface,
    timers: TimerService,
    log: EventLog,
    log_decisions: bool = True,
    on_reply: OnUpstreamReply | None = None,
) -> LegDispatcherTask:
    """Return a leg dispatcher task without a document or grants."""
    return LegDispatcherTask(upstream, timers, log, log_decisions, on_reply)


def _ignore_reply(upstream_id: str, report: LoadReport | None) -> None:
    pass
