"""Admission task: blocks the calling green thread until its request is decided on."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from eventlet.event import Event

from almondspool.codes import ResultCode
from almondspool.coordination.admission.admission import (
    Action,
    Admission,
    AdmissionStats,
    Admit,
    Refuse,
)

if TYPE_CHECKING:
    from almondspool.logs import EventLog
    from almondspool.transport.timers import TimerService

# Interval at which waiting requests are checked for those that must be refused.
RECHECK_INTERVAL_S = 0.02


class AdmissionRequest(NamedTuple):
    """Parameters of a request that admission depends on.

    Attributes:
        request_id: Id given by the caller, for the log.
        priority: Priority class.
        deadline_s: Remaining time until the deadline, in seconds.
        kind: Groups requests of similar service time, for example by team and
            whether all shards are searched.
    """

    request_id: str
    priority: int
    deadline_s: float
    kind: str = ""


class AdmissionDecision(NamedTuple):
    """Outcome of ``acquire``.

    Attributes:
        code: OK if admitted, otherwise the reason of the refusal.
        ticket: Identifies an admitted request in ``release``.
        started_at: Time of admission, in monotonic seconds.
        waited_s: Time spent waiting, in seconds.
        retry_after_ms: Delay before a refused caller should retry, in milliseconds.
        detail: Human-readable reason, one line.
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
    """Runs the admission control of one instance."""

    def __init__(
        self, admission: Admission, timers: TimerService, log: EventLog
    ) -> None:
        """Initialize without requests."""
        self._admission = admission
        self._timers = timers
        self._log = log
        self._events_by_ticket: dict[str, Event] = {}
        self._tickets = itertools.count(1)
        self._is_recheck_scheduled = False

    def acquire(self, request: AdmissionRequest) -> AdmissionDecision:
        """Block until a request is admitted or refused.

        The decision on an admitted request must be passed to ``release`` once the
        request has ended.
        """
        # Admission needs unique ids, which the ids given by callers need not be.
        ticket = f"{next(self._tickets)}:{request.request_id}"
        event = self._events_by_ticket[ticket] = Event()
        self._execute(
            self._admission.submit(
                self._timers.now(),
                ticket,
                request.priority,
                request.deadline_s,
                request.kind,
            )
        )
        self._schedule_recheck()
        try:
            decision = event.wait()
        except BaseException:
            # The waiting thread was killed: free the queue entry of its request, or the
            # capacity if the request was admitted but not yet run.
            self._cancel(ticket, event)
            raise
        if not decision.admitted:
            self._log_refusal(request, decision)
        return decision

    def release(self, decision: AdmissionDecision) -> None:
        """Record the end of an admitted request, which may admit waiting ones."""
        now = self._timers.now()
        service_s = now - decision.started_at
        self._execute(self._admission.finish(now, decision.ticket, service_s))

    def stats(self) -> AdmissionStats:
        """Return the state for status and metrics."""
        return self._admission.stats(self._timers.now())

    def _execute(self, actions: list[Action]) -> None:
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

    def _cancel(self, ticket: str, event: Event) -> None:
        now = self._timers.now()
        self._events_by_ticket.pop(ticket, None)
        if not event.ready():
            self._execute(self._admission.cancel(now, ticket))
        elif event.wait().admitted:
            self._execute(self._admission.finish(now, ticket, 0.0))

    def _schedule_recheck(self) -> None:
        if not self._is_recheck_scheduled and self._admission.is_waiting():
            self._is_recheck_scheduled = True
            self._timers.call_later(RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._is_recheck_scheduled = False
        self._execute(self._admission.on_timer(self._timers.now()))
        self._schedule_recheck()

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
        timers: Timer service.
        log: Event log; each refusal writes one event.
        concurrent_requests: Maximum number of requests that run concurrently.
        queue_limit: Maximum number of waiting requests.
        seed: Seed of the retry jitter; should differ between instances.
    """
    admission = Admission(timers.now(), concurrent_requests, queue_limit, seed)
    return AdmissionTask(admission, timers, log)
