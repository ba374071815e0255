"""The front: takes callers' requests and gives each its one final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode, describe
from almondspool.coordination.request_run import RequestRun, RunServices
from almondspool.coordination.search import SearchContext, make_session
from almondspool.protocol.caller import (
    CallerInterface,
    EntryList,
    SearchAnswer,
    SearchRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.state.document import Document, Priority, Section

_MS_PER_S = 1000
NO_CONFIGURATION_RETRY_MS = 500


class FrontServices(NamedTuple):
    """What the front uses of its instance.

    Attributes:
        run: What each run uses.
        context: What all sessions share.
        document: Returns the document in force.
        entries: Returns the addresses for a zone.
        is_refusing: Whether new requests are refused because the instance leaves.
    """

    run: RunServices
    context: SearchContext
    document: Callable[[], Document]
    entries: Callable[[str], EntryList]
    is_refusing: Callable[[], bool]


class Front(CallerInterface):
    """Checks, admits and runs requests; each runs on its caller's green thread."""

    def __init__(self, services: FrontServices) -> None:
        """Start without requests."""
        self._services = services
        self._in_flight_ids: set[str] = set()

    def in_flight(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._in_flight_ids)

    def in_flight_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests that have no answer yet."""
        return tuple(sorted(self._in_flight_ids))

    def entries(self, zone: str) -> EntryList:
        """Return the addresses a caller in a zone should use."""
        return self._services.entries(zone)

    def search(self, request: SearchRequest) -> SearchAnswer:
        """Run one request and return its final answer."""
        timers = self._services.run.timers
        arrived = timers.now()
        answer = self._answer(request, arrived)
        elapsed_ms = (timers.now() - arrived) * _MS_PER_S
        answer = answer._replace(
            elapsed_ms=round(elapsed_ms, 3), instance=self._services.context.instance
        )
        self._note(request, answer)
        return answer

    def _answer(self, request: SearchRequest, arrived: float) -> SearchAnswer:
        document = self._services.document()
        section = document.sections_by_team.get(request.team)
        refusal = self._refuse_early(request, document, section)
        if refusal is not None:
            return refusal
        self._in_flight_ids.add(request.request_id)
        self._services.run.metrics.requests_in_flight.inc()
        try:
            return self._run(request, document.generation, section, arrived)
        finally:
            self._in_flight_ids.discard(request.request_id)
            self._services.run.metrics.requests_in_flight.dec()

    def _refuse_early(
        self, request: SearchRequest, document: Document, section: Section | None
    ) -> SearchAnswer | None:
        if self._services.is_refusing():
            return _refusal(request, document, ResultCode.NOT_RUN_LEAVING)
        if document.generation == 0:
            answer = _refusal(request, document, ResultCode.NOT_RUN_NO_CONFIGURATION)
            return answer._replace(retry_after_ms=NO_CONFIGURATION_RETRY_MS)
        if section is None:
            detail = f"no section of team {request.team!r} in the document"
            return _refusal(request, document, ResultCode.SERVICE_UNKNOWN, detail)
        if request.request_id in self._in_flight_ids:
            return _refusal(request, document, ResultCode.REQUEST_DUPLICATE)
        return None

    def _run(
        self,
        request: SearchRequest,
        generation: int,
        section: Section,
        arrived: float,
    ) -> SearchAnswer:
        priority = priority_of(section, request.caller)
        session = make_session(
            self._services.context,
            request,
            lambda: self._section(request.team),
            generation,
            arrived,
            self._services.run.timers.wall_time(),
        )
        run = RequestRun(
            self._services.run,
            request,
            session,
            lambda: self._section(request.team),
            priority,
        )
        return run.run()

    def _section(self, team: str) -> Section | None:
        return self._services.document().sections_by_team.get(team)

    def _note(self, request: SearchRequest, answer: SearchAnswer) -> None:
        metrics = self._services.run.metrics
        metrics.requests.labels(answer.code.name).inc()
        for missing in answer.coverage.missing:
            metrics.shards_missing.labels(missing.outcome.value).inc()
        self._services.run.log.write(
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


def _refusal(
    request: SearchRequest,
    document: Document,
    code: ResultCode,
    detail: str = "",
) -> SearchAnswer:
    return SearchAnswer(
        request.request_id,
        code,
        generation=document.generation,
        message=detail or describe(code),
    )
