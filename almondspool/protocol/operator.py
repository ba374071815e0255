"""Interface for operators: document, status and explanations as JSON over HTTP."""

from __future__ import annotations

import abc
from collections.abc import Callable, Mapping
from typing import TypedDict

import msgspec

from almondspool.codes import ResultCode
from almondspool.errors import AlmondspoolError
from almondspool.protocol.document import MAX_SECTION_BYTES
from almondspool.transport.http_server import HttpRequest, HttpResponse, HttpServer

DOCUMENT_PATH = "/v1/document"
SECTION_PREFIX = "/v1/document/"
STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain"
FLEET_PATH = "/v1/fleet"

_STATUS_BY_CODE = {
    ResultCode.OK: 200,
    ResultCode.DOCUMENT_CONFLICT: 409,
    ResultCode.DOCUMENT_TOO_LARGE: 413,
    ResultCode.DOCUMENT_UNKNOWN_TEAM: 404,
    ResultCode.SERVICE_UNKNOWN: 404,
    ResultCode.SHARD_UNKNOWN: 404,
    ResultCode.INTERNAL: 500,
}


class ErrorAnswer(TypedDict):
    """Reason why a request was refused."""

    code: int
    message: str


class SectionSummary(TypedDict):
    """An accepted section; ``version`` is the generation that accepting it created."""

    team: str
    digest: str
    version: int


class DocumentAnswer(TypedDict):
    """Sections of the document in force at one instance."""

    generation: int
    sections: list[SectionSummary]


class SectionAnswer(TypedDict):
    """A section in force, with its text as its team wrote it."""

    team: str
    digest: str
    version: int
    generation: int
    text: str


class ApplyAnswer(TypedDict):
    """Result of submitting a section.

    Attributes:
        code: OK, or the reason why it was not accepted.
        team: The section's team.
        generation: The generation that contains the section; 0 if none does.
        digest: Digest of the submitted text.
        message: Human-readable description in one or more lines.
        current_digest: Digest of the accepted section, after a conflict.
        current_version: The version of the accepted section, after a conflict.
    """

    code: int
    team: str
    generation: int
    digest: str
    message: str
    current_digest: str
    current_version: int


class MemberRow(TypedDict):
    """An instance as another sees it; ``status`` is a MemberStatus in lower case."""

    instance: str
    zone: str
    status: str
    generation: int
    caller_address: str


class BacklogRow(TypedDict):
    """Statistics of the queue of one service.

    Attributes:
        team: The team whose section contains the service.
        service: The service.
        queued: Number of waiting requests or legs.
        oldest_ms: Longest wait of one of them so far, in milliseconds.
        arrivals_per_s: Arrivals per second.
        served_per_s: Requests or legs served per second.
        drain_s: Seconds to drain the queue without further arrivals; -1.0 for never.
        is_warning: Whether the queue is predicted to reach its limit.
    """

    team: str
    service: str
    queued: int
    oldest_ms: float
    arrivals_per_s: float
    served_per_s: float
    drain_s: float
    is_warning: bool


class StatusAnswer(TypedDict):
    """One instance's view of the system.

    Attributes:
        instance: The instance that answers.
        zone: Its availability zone.
        generation: The generation of the document it uses.
        is_ready: Whether it serves requests.
        is_leaving: Whether it is shutting down.
        members: All instances it knows, including itself.
        backlog: Queues by service.
        platform_calls: Number of calls to the platform since the start, by method.
        refusals: Number of refused configuration inputs since the start, by reason.
    """

    instance: str
    zone: str
    generation: int
    is_ready: bool
    is_leaving: bool
    members: list[MemberRow]
    backlog: list[BacklogRow]
    platform_calls: dict[str, int]
    refusals: dict[str, int]


class FleetMemberRow(TypedDict):
    """Report of an instance on itself; ``age_s`` is the report's age in seconds."""

    instance: str
    zone: str
    generation: int
    load: float
    is_ready: bool
    is_leaving: bool
    age_s: float


class FleetBacklogRow(BacklogRow):
    """The queue of one service at one instance, and the report's age in seconds."""

    instance: str
    age_s: float


class FleetAnswer(TypedDict):
    """The status of the whole fleet.

    Attributes:
        holder: The instance that last wrote the status.
        epoch: Number of times that another instance took over writing it.
        age_s: Age of the last write, in seconds.
        instances: Instances that reported within the last half hour.
        backlog: Their queues by service.
    """

    holder: str
    epoch: int
    age_s: float
    instances: list[FleetMemberRow]
    backlog: list[FleetBacklogRow]


class CandidateRow(TypedDict):
    """An upstream that can run a shard.

    Attributes:
        upstream: The upstream.
        zone: Its availability zone.
        score_ms: Expected wait in milliseconds; the lowest one is chosen.
        state: ``serving``, ``drained``, ``draining`` or ``avoided``.
    """

    upstream: str
    zone: str
    score_ms: float
    state: str


class ExplainAnswer(TypedDict):
    """The upstream that would run a shard now, and the reason."""

    team: str
    shard: str
    snapshot: int
    upstream: str
    reason: str
    candidates: list[CandidateRow]


class OperatorInterface(abc.ABC):
    """Operations offered to operators, called by the HTTP routes.

    If a method raises an AlmondspoolError, the answer has its code and message.
    """

    @abc.abstractmethod
    def document(self) -> DocumentAnswer:
        """Return the document in force."""

    @abc.abstractmethod
    def section(self, team: str) -> SectionAnswer:
        """Return one section in force."""

    @abc.abstractmethod
    def apply(self, team: str, text: bytes, base: str, token: str) -> ApplyAnswer:
        """Accept a section edited from the text of a base digest, or return why not."""

    @abc.abstractmethod
    def status(self) -> StatusAnswer:
        """Return this instance's view of the system."""

    @abc.abstractmethod
    def fleet(self) -> FleetAnswer:
        """Return the status of the whole fleet."""

    @abc.abstractmethod
    def explain(self, team: str, shard: str) -> ExplainAnswer:
        """Return the upstream that would run a shard now, and the reason."""


def http_status(code: ResultCode) -> int:
    """Return the HTTP status of a result code in operators' answers."""
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    # Groups 2 (not run), 3 (run without a complete result) and 6 (platform).
    return 503 if code // 100 in (2, 3, 6) else 400


class OperatorRoutes:
    """Decodes operators' HTTP requests and encodes the answers."""

    def __init__(self, operator: OperatorInterface) -> None:
        """Set the operator interface of the instance."""
        self._operator = operator

    def add_to(self, server: HttpServer) -> None:
        """Register every route with a server."""
        server.add_route("GET", DOCUMENT_PATH, self.get_document)
        server.add_route("GET", SECTION_PREFIX, self.get_section)
        server.add_route("PUT", SECTION_PREFIX, self.put_section)
        server.add_route("GET", STATUS_PATH, self.get_status)
        server.add_route("GET", FLEET_PATH, self.get_fleet)
        server.add_route("GET", EXPLAIN_PATH, self.get_explain)

    def get_document(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /v1/document``."""
        return _run_operation(self._operator.document)

    def get_section(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /v1/document/{team}``."""
        return _run_operation(lambda: self._operator.section(request.path))

    def put_section(self, request: HttpRequest) -> HttpResponse:
        """Answer ``PUT /v1/document/{team}?base=DIGEST&token=T``."""
        if len(request.body) > MAX_SECTION_BYTES:
            message = f"section exceeds {MAX_SECTION_BYTES} bytes"
            return _error_response(ResultCode.DOCUMENT_TOO_LARGE, message)
        token = request.query.get("token", "")
        if not 1 <= len(token) <= 64:
            message = "token: allowed are 1 to 64 characters, unique for each write"
            return _error_response(ResultCode.FIELD_INVALID, message)
        base = request.query.get("base", "")
        return _run_operation(
            lambda: self._operator.apply(request.path, request.body, base, token)
        )

    def get_status(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /v1/status``."""
        return _run_operation(self._operator.status)

    def get_fleet(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /v1/fleet``."""
        return _run_operation(self._operator.fleet)

    def get_explain(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /v1/explain?team=T&shard=S``."""
        team = request.query.get("team", "")
        shard = request.query.get("shard", "")
        return _run_operation(lambda: self._operator.explain(team, shard))


def _run_operation(operation: Callable[[], Mapping[str, object]]) -> HttpResponse:
    try:
        answer = operation()
    except AlmondspoolError as error:
        return _error_response(error.code, str(error))
    status = http_status(ResultCode(answer.get("code", 0)))
    return HttpResponse(status, msgspec.json.encode(answer))


def _error_response(code: ResultCode, message: str) -> HttpResponse:
    body = msgspec.json.encode(ErrorAnswer(code=int(code), message=message))
    return HttpResponse(http_status(code), body)
