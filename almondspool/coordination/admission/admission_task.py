"""Blocks each caller's green thread until its request is admitted or refused."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from eventlet.event import Event

from almondspool.codes import ResultCode
from almondspool.coordination.admission.admission import (
    Action,
    Admission,
    AdmissionRow,
    Admit,
    Refuse,
)

if TYPE_CHECKING:
    from almondspool.logs import EventLog
    from almondspool.transport.timers import TimerService

RECHECK_INTERVAL_S = 0.02


class AdmissionRequest(NamedTuple):
    """What admission needs to know of a request.

    Attributes:
        request_id: The caller's id, for the log.
        priority: Its class.
        deadline_s: Time left for its answer, in seconds.
        kind: Requests of one kind take about the same time, for example the team
            and whether all shards are searched.
    """

    request_id: str
    priority: int
    deadline_s: float
    kind: str = ""


class AdmissionDecision(NamedTuple):
    """Outcome of enter.

    Attributes:
        code: OK if admitted, else why not.
        ticket: Passed to leave when an admitted request has ended.
        started_at: When it was admitted, in monotonic seconds.
        waited_s: How long it waited, in seconds.
        retry_after_ms: When a refused caller should come back.
        detail: One line for people.
    """

    code: ResultCode
    ticket: str = ""
    started_at: float = 0.0
    waited_s: float = 0.0
    retry_after_ms: int = 0
    detail: str = ""

    @property
    def admitted(self) -> bool:
        """Return whether the request may run."""
        return self.code is ResultCode.OK


class AdmissionTask:
    """Owns the admission of one instance."""

    def __init__(
        self, admission: Admission, timers: TimerService, log: EventLog
    ) -> None:
        """Start idle."""
        self._admission = admission
        self._timers = timers
        self._log = log
        self._events_by_ticket: dict[str, Event] = {}
        self._tickets = itertools.count(1)
        self._timer_armed = False

    def enter(self, request: AdmissionRequest) -> AdmissionDecision:
        """Wait until a request is admitted or refused; admitted ones must leave."""
        ticket = f"{next(self._tickets)}:{request.request_id}"
        event = self._events_by_ticket[ticket] = Event()
        self._perform(
            self._admission.arrive(
                self._timers.now(),
                ticket,
                request.priority,
                request.deadline_s,
                request.kind,
            )
        )
        self._arm_timer()
        try:
            decision = event.wait()
        except BaseException:
            # The waiting thread was killed; its place must not be lost.
            self._abandon(ticket, event)
            raise
        if not decision.admitted:
            self._log_refusal(request, decision)
        return decision

    def leave(self, decision: AdmissionDecision) -> None:
        """Take the end of an admitted request."""
        now = self._timers.now()
        service_s = now - decision.started_at
        self._perform(self._admission.finished(now, decision.ticket, service_s))

    def row(self) -> AdmissionRow:
        """Return the state for status and metrics."""
        return self._admission.row(self._timers.now())

    def _perform(self, actions: list[Action]) -> None:
        now = self._timers.now()
        for action in actions:
            if isinstance(action, Admit):
                decision = AdmissionDecision(
                    ResultCode.OK, action.request_id, now, action.waited_s
                )
                self._events_by_ticket.pop(action.request_id).send(decision)
            elif isinstance(action, Refuse):
                decision = AdmissionDecision(
                    action.code,
                    retry_after_ms=action.retry_after_ms,
                    detail=action.detail,
                )
                self._events_by_ticket.pop(action.request_id).send(decision)

    def _abandon(self, ticket: str, event: Event) -> None:
        now = self._timers.now()
        self._events_by_ticket.pop(ticket, None)
        if not event.ready():
            self._perform(self._admission.withdraw(now, ticket))
        elif event.wait().admitted:
            self._perform(self._admission.finished(now, ticket, 0.0))

    def _arm_timer(self) -> None:
        if not self._timer_armed and self._admission.is_waiting():
            self._timer_armed = True
            self._timers.call_later(RECHECK_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_armed = False
        self._perform(self._admission.on_timer(self._timers.now()))
        self._arm_timer()

    def _log_refusal(
        self, request: AdmissionRequest, decision: AdmissionDecision
    ) -> None:
        self._log.write(
            "admission.refuse",
            request=request.request_id,
            priority=int(request.priority),
            code=int(decision.code),
            retry_after_ms=decision.retry_after_ms,
            reason=decision.detail,
        )


def make_admission_task(
    timers: TimerService,
    log: EventLog,
    concurrent_requests: int,
    queue_limit: int,
    seed: int,
) -> AdmissionTask:
    """Return an idle admission task.

    Args:
        timers: The time.
        log: Takes one event for each refusal.
        concurrent_requests: Most requests that run at a time.
        queue_limit: Most requests that wait.
        seed: Of the jitter of retry times; should differ between instances.
    """
    admission = Admission(timers.now(), concurrent_requests, queue_limit, seed)
    return AdmissionTask(admission, timers, log)
