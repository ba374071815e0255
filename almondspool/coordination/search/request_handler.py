"""Handling of callers' requests, each of which gets exactly one answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode, describe_code
from almondspool.coordination.admission.admission_task import (
    AdmissionDecision,
    AdmissionRequest,
)
from almondspool.coordination.claims.claims import (
    ClaimState,
    closing_state,
    decode_answer,
    encode_answer,
)
from almondspool.coordination.claims.claims_task import CLAIM_TIMEOUT_S
from almondspool.coordination.search.request_run import RequestRun, RunDependencies
from almondspool.coordination.search.search import make_session
from almondspool.protocol.caller import (
    CallerInterface,
    EntryList,
    SearchAnswer,
    SearchRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.admission.admission_task import AdmissionTask
    from almondspool.coordination.claims.claims import ClaimDecision
    from almondspool.coordination.claims.claims_task import ClaimsTask
    from almondspool.coordination.search.search_context import SearchContext
    from almondspool.state.document import Document, Priority, Section

_MS_PER_S = 1000
# Retry delay without a usable document, and the minimum while the platform is down.
UNAVAILABLE_RETRY_AFTER_MS = 500
# Share of the remaining time that claiming a request may take; the rest is left for
# running it.
CLAIM_TIME_SHARE = 0.5


class RequestHandlerDependencies(NamedTuple):
    """Components of the instance that the request handling uses.

    Attributes:
        run: Components that each run uses.
        context: Returns the state shared by all sessions, which a re-join renews.
        admission: Admits requests by priority.
        claims: Returns the claims of the current incarnation.
        document: Returns the document in force.
        entries: Returns the instance addresses for callers in a zone.
        may_serve: Whether the instance's lease and document allow it to serve.
        may_finish: Returns whether a new request with this time until its deadline, in
            seconds, will be answered before the instance stops.
    """

    run: RunDependencies
    context: Callable[[], SearchContext]
    admission: AdmissionTask
    claims: Callable[[], ClaimsTask]
    document: Callable[[], Document]
    entries: Callable[[str], EntryList]
    may_serve: Callable[[], bool]
    may_finish: Callable[[float], bool]


class _CheckedRequest(NamedTuple):
    """A request that passed the checks before admission.

    Attributes:
        request: The caller's request.
        arrived_at: When it arrived, in monotonic seconds.
        generation: The document generation in force at arrival.
        section: The team's section of that document.
        priority: Priority class of the caller.
    """

    request: SearchRequest
    arrived_at: float
    generation: int
    section: Section
    priority: Priority

    def deadline_s(self) -> float:
        """Return the time from arrival to the deadline, in seconds."""
        return _deadline_s(self.request, self.section)


class RequestHandler(CallerInterface):
    """Checks, admits and runs requests, each on its caller's green thread."""

    def __init__(self, instance: str, dependencies: RequestHandlerDependencies) -> None:
        """Initialize without requests in flight."""
        self._instance = instance
        self._dependencies = dependencies
        self._in_flight_ids: set[str] = set()

    def in_flight(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._in_flight_ids)

    def in_flight_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests that have no answer yet."""
        return tuple(sorted(self._in_flight_ids))

    def entries(self, zone: str) -> EntryList:
        """Return the instance addresses that a caller in a zone should use."""
        return self._dependencies.entries(zone)

    def search(self, request: SearchRequest) -> SearchAnswer:
        """Run one request and return its final answer."""
        timers = self._dependencies.run.timers
        arrived_at = timers.now()
        answer = self._answer(request, arrived_at)
        elapsed_ms = (timers.now() - arrived_at) * _MS_PER_S
        answer = answer._replace(
            elapsed_ms=round(elapsed_ms, 3), instance=self._instance
        )
        self._record_answer(request, answer)
        return answer

    def _answer(self, request: SearchRequest, arrived_at: float) -> SearchAnswer:
        document = self._dependencies.document()
        section = document.sections_by_team.get(request.team)
        refusal = self._refuse_early(request, document, section)
        if refusal is not None:
            return refusal
        priority = priority_of(section, request.caller)
        checked = _CheckedRequest(
            request, arrived_at, document.generation, section, priority
        )
        metrics = self._dependencies.run.metrics
        self._in_flight_ids.add(request.request_id)
        metrics.requests_in_flight.inc()
        try:
            answer = self._admit(checked)
        finally:
            self._in_flight_ids.discard(request.request_id)
            metrics.requests_in_flight.dec()
        elapsed_s = self._dependencies.run.timers.now() - arrived_at
        metrics.request_seconds.labels(priority.name.lower()).observe(elapsed_s)
        return answer

    def _refuse_early(
        self, request: SearchRequest, document: Document, section: Section | None
    ) -> SearchAnswer | None:
        generation = document.generation
        if not self._dependencies.may_finish(_deadline_s(request, section)):
            return _refusal(request, generation, ResultCode.NOT_RUN_LEAVING)
        if generation == 0 or not self._dependencies.may_serve():
            answer = _refusal(request, generation, ResultCode.NOT_RUN_NO_CONFIGURATION)
            return answer._replace(retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS)
        if section is None:
            detail = f"no section of team {request.team!r} in the document"
            return _refusal(request, generation, ResultCode.SERVICE_UNKNOWN, detail)
        if request.request_id in self._in_flight_ids:
            return _refusal(request, generation, ResultCode.REQUEST_DUPLICATE)
        return None

    def _admit(self, checked: _CheckedRequest) -> SearchAnswer:
        request = checked.request
        scope = "one" if request.shard or request.services else "all"
        decision = self._dependencies.admission.acquire(
            AdmissionRequest(
                request.request_id,
                checked.priority,
                checked.deadline_s(),
                f"{request.team}/{scope}",
            )
        )
        if not decision.admitted:
            return _admission_refusal(checked, decision)
        try:
            if request.idempotent:
                return self._run(checked, math.inf)
            return self._run_with_claim(checked)
        finally:
            self._dependencies.admission.release(decision)

    def _run_with_claim(self, checked: _CheckedRequest) -> SearchAnswer:
        """Run a non-idempotent request under its claim, or return its known outcome."""
        claims = self._dependencies.claims()
        elapsed_s = self._dependencies.run.timers.now() - checked.arrived_at
        remaining_s = max(0.0, checked.deadline_s() - elapsed_s)
        timeout_s = min(CLAIM_TIMEOUT_S, CLAIM_TIME_SHARE * remaining_s)
        claim = claims.claim(checked.request, timeout_s)
        if not claim.is_claimed:
            return self._answer_unclaimed(checked, claim)
        state, answer = ClaimState.UNKNOWN, None
        try:
            answer = self._run(checked, claim.send_before)
            state = closing_state(answer.code)
        finally:
            encoded_answer = b"" if answer is None else encode_answer(answer)
            claims.close_claim(checked.request.request_id, state, encoded_answer)
        return answer

    def _answer_unclaimed(
        self, checked: _CheckedRequest, claim: ClaimDecision
    ) -> SearchAnswer:
        if claim.answer:
            return decode_answer(claim.answer)
        request = checked.request
        answer = _refusal(request, checked.generation, claim.code, claim.detail)
        if claim.code is ResultCode.NOT_RUN_PLATFORM_DOWN:
            retry_after_ms = round(claim.retry_after_s * _MS_PER_S)
            return answer._replace(
                retry_after_ms=max(UNAVAILABLE_RETRY_AFTER_MS, retry_after_ms)
            )
        return answer

    def _run(self, checked: _CheckedRequest, send_before: float) -> SearchAnswer:
        request = checked.request

        def current_section() -> Section | None:
            return self._dependencies.document().sections_by_team.get(request.team)

        timers = self._dependencies.run.timers
        session = make_session(
            self._dependencies.context(),
            request,
            current_section,
            checked.generation,
            checked.arrived_at,
            timers.wall_time() - (timers.now() - checked.arrived_at),
            send_before,
        )
        run = RequestRun(
            self._dependencies.run, request, session, current_section, checked.priority
        )
        return run.run()

    def _record_answer(self, request: SearchRequest, answer: SearchAnswer) -> None:
        metrics = self._dependencies.run.metrics
        metrics.requests.labels(answer.code.name).inc()
        for missing in answer.coverage.missing:
            metrics.shards_missing.labels(missing.outcome.value).inc()
        self._dependencies.run.log.write(
            "request.answered",
            request=request.request_id,
            team=request.team,
            caller=request.caller,
            code=int(answer.code),
            snapshot=answer.snapshot,
            generation=answer.generation,
            answered=answer.coverage.answered,
            total=answer.coverage.total,
            elapsed_ms=answer.elapsed_ms,
            retry_after_ms=answer.retry_after_ms,
        )


def priority_of(section: Section, caller: str) -> Priority:
    """Return the priority class of a caller in a section."""
    return section.priority_by_caller.get(caller, section.priority)


def _deadline_s(request: SearchRequest, section: Section | None) -> float:
    """Return the time from arrival to the deadline, in seconds; 0.0 if unknown."""
    default_ms = 0 if section is None else section.deadline_ms
    return (request.deadline_ms or default_ms) / _MS_PER_S


def _refusal(
    request: SearchRequest, generation: int, code: ResultCode, detail: str = ""
) -> SearchAnswer:
    return SearchAnswer(
        request.request_id,
        code,
        generation=generation,
        message=detail or describe_code(code),
    )


def _admission_refusal(
    checked: _CheckedRequest, decision: AdmissionDecision
) -> SearchAnswer:
    answer = _refusal(
        checked.request, checked.generation, decision.code, decision.detail
    )
    return answer._replace(retry_after_ms=decision.retry_after_ms)
