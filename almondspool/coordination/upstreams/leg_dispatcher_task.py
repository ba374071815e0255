"""Runs the leg dispatcher's decisions in green threads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.leg_dispatcher import LegDispatcher
from almondspool.coordination.upstreams.leg_dispatcher_actions import (
    Action,
    CancelRunning,
    LaneRow,
    LegDispatcherCounts,
    SendResult,
    StartExchange,
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

    Reply = Callable[[LegResults], None]
    OnReply = Callable[[str, LoadReport | None], None]

EXPIRY_INTERVAL_S = 0.02


class LegDispatcherTask:
    """Owns the leg dispatcher and its exchanges; each exchange is one green thread.

    Results that finish in one turn of the hub go to a sender in one message.
    """

    def __init__(
        self,
        upstream: UpstreamInterface,
        timers: TimerService,
        log: EventLog,
        log_decisions: bool = True,
        on_reply: OnReply | None = None,
    ) -> None:
        """Start without a document or grants.

        Args:
            upstream: Runs the exchanges.
            timers: The time and the hub's turns.
            log: Takes one event for each exchange, failed leg and cancellation.
            log_decisions: Whether to write these events.
            on_reply: Takes the upstream of each reply and the report it brought.
        """
        self._upstream = upstream
        self._timers = timers
        self._log = log
        self._log_decisions = log_decisions
        self._on_reply = on_reply or _ignore_reply
        self._leg_dispatcher = LegDispatcher()
        self._upstreams_by_id: dict[str, Upstream] = {}
        self._grants_by_id: dict[str, int] = {}
        self._results_by_reply: dict[Reply, list[LegResult]] = {}
        self._flush_armed = False
        self._expiry_armed = False

    def set_document(self, document: Document) -> None:
        """Take the document in force."""
        self._upstreams_by_id = document.upstreams_by_id()
        slots = {key: item.slots for key, item in self._upstreams_by_id.items()}
        self._leg_dispatcher.set_slots(slots)
        self._apply_grants()

    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Take the granted connections of each upstream; others have none.

        A grant for an upstream that is not in the document waits for the document.
        """
        self._grants_by_id = dict(connections_by_upstream_id)
        self._apply_grants()

    def submit(self, batch: LegBatch, reply: Reply) -> None:
        """Run legs; each gets exactly one result, in some call of reply.

        Args:
            batch: Legs with the upstream of each.
            reply: Takes groups of results; must not block for long.
        """
        self._perform(self._leg_dispatcher.submit(self._timers.now(), batch, reply))
        self._arm_expiry()

    def cancel(self, leg_ids: Iterable[str]) -> None:
        """Withdraw legs; each that is still open is answered LEG_CANCELLED."""
        self._perform(self._leg_dispatcher.cancel(self._timers.now(), leg_ids))

    def in_flight(self) -> int:
        """Return how many exchanges run."""
        return self._leg_dispatcher.in_flight()

    def rows(self) -> tuple[LaneRow, ...]:
        """Return the state of each upstream, for status and metrics."""
        return self._leg_dispatcher.rows(self._timers.now())

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
        self._perform(self._leg_dispatcher.set_grants(self._timers.now(), known))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendResult):
                self._collect(action)
            elif isinstance(action, StartExchange):
                self._log_start(action)
                eventlet.spawn_n(self._run_exchange, action)
            elif isinstance(action, CancelRunning):
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
                self._perform(
                    self._leg_dispatcher.on_result(now(), exchange_id, result)
                )
        except Exception as error:
            # The exchange must end, or its place among the connections is lost.
            self._log.write(
                "exchange.error", upstream=action.upstream_id, error=repr(error)
            )
        finally:
            self._perform(self._leg_dispatcher.on_end(now(), exchange_id))

    def _cancel_running(self, action: CancelRunning) -> None:
        upstream = self._upstreams_by_id.get(action.upstream_id)
        if upstream is not None:
            self._upstream.cancel(upstream, action.leg_ids)

    def _collect(self, action: SendResult) -> None:
        if action.result.code is not ResultCode.OK:
            self._log_failure(action.result)
        self._results_by_reply.setdefault(action.sender, []).append(action.result)
        if not self._flush_armed:
            self._flush_armed = True
            self._timers.call_later(0.0, self._flush)

    def _flush(self) -> None:
        self._flush_armed = False
        groups, self._results_by_reply = self._results_by_reply, {}
        for reply, results in groups.items():
            try:
                reply(LegResults(tuple(results)))
            except Exception as error:
                self._log.write("reply.error", results=len(results), error=repr(error))

    def _arm_expiry(self) -> None:
        if not self._expiry_armed:
            self._expiry_armed = True
            self._timers.call_later(EXPIRY_INTERVAL_S, self._on_expiry)

    def _on_expiry(self) -> None:
        self._expiry_armed = False
        self._perform(self._leg_dispatcher.on_timer(self._timers.now()))
        if self._leg_dispatcher.has_open_legs():
            self._arm_expiry()

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

    def _log_cancel(self, action: CancelRunning) -> None:
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
    on_reply: OnReply | None = None,
) -> LegDispatcherTask:
    """Return a leg dispatcher task without document or grants."""
    return LegDispatcherTask(upstream, timers, log, log_decisions, on_reply)


def _ignore_reply(upstream_id: str, report: LoadReport | None) -> None:
    pass
